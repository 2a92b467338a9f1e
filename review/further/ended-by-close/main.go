// A message whose body ends with its connection (RFC 9112, section 6.3) is taken for a broken one. With "worker", one table
// worker of four frames its 202 so; with "discovery", discovery frames the whole list so.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	workers = 4
	// Whatever discovery has to tell counts as told 6 s afterwards at the latest; the grace of the settings is 1 s.
	drainLimit = 7*time.Second + 50*time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Args[3])) }

func run(root, folder, who string) int {
	rec, err := stand.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return rec.Abort(err)
	}
	defer os.RemoveAll(tmp)
	addresses, err := stand.FreeAddresses(2 + workers)
	if err != nil {
		return rec.Abort(err)
	}
	listen, disc := addresses[0], addresses[1]
	var mu sync.Mutex
	attempts := map[string][]*stand.Attempt{}
	var drainsAt atomic.Int64 // of the first worker; 0: it is up
	var entries []stand.Endpoint
	for i, address := range addresses[2:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		w.Serve = func(a *stand.Attempt) {
			if at := drainsAt.Load(); i == 0 && at > 0 && time.Now().UnixNano()-at > int64(drainLimit) {
				rec.Break("%s reaches %s %.1f s after it began to drain", a.ID, w.Name, float64(time.Now().UnixNano()-at)/1e9)
			}
			mu.Lock()
			for _, other := range attempts[a.ID] {
				if other.IsOut() {
					rec.Break("attempt %d of %s at %s has begun while attempt %d at %s has neither ended nor been given up",
						a.Number, a.ID, a.Worker.Name, other.Number, other.Worker.Name)
				}
			}
			attempts[a.ID] = append(attempts[a.ID], a)
			mu.Unlock()
			if stand.Trouble() && who == "worker" && i == 0 {
				a.Accepted()
				rec.Add("worker %s: 202 for attempt %d of %s, ended by the end of its connection", w.Name, a.Number, a.ID)
				a.Conn.WriteText("HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n")
				a.Conn.Close()
			} else {
				a.Accept()
			}
			go func() {
				time.Sleep(time.Duration(320+rand.IntN(290)) * time.Millisecond)
				a.End("done")
				w.Tell(a, "done", "view of "+a.ID)
			}()
		}
		if err := stand.StartWorker(rec, w); err != nil {
			return rec.Abort(err)
		}
		defer w.Close()
		entries = append(entries, stand.Endpoint{Name: w.Name, Address: address, Zone: "suva", Type: "gen2", Group: 1, Status: "up", Weight: 1})
	}
	ln, err := net.Listen("tcp", disc)
	if err != nil {
		return rec.Abort(err)
	}
	defer ln.Close()
	var calls, watches atomic.Int64
	list := func() (index int, text []byte) {
		current := append([]stand.Endpoint(nil), entries...)
		if index = 1; drainsAt.Load() > 0 {
			index, current[0].Status = 2, "draining"
		}
		text, _ = json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": current})
		return index, text
	}
	serve := func(nc net.Conn) {
		defer nc.Close()
		for in := bufio.NewReader(nc); ; {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			told, text := list()
			if request.URL.Query().Get("watch") == "" {
				calls.Add(1)
				if stand.Trouble() && who == "discovery" {
					io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\n\r\n"+string(text))
					return
				}
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				continue
			}
			watches.Add(1)
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			var last time.Time
			for ; ; time.Sleep(50 * time.Millisecond) {
				line := ""
				if last.IsZero() {
					line = string(text)
				} else if index, text := list(); index > told {
					told, line = index, string(text)
				}
				if line == "" && time.Since(last) < 2*time.Second {
					continue
				}
				if _, err := fmt.Fprintf(nc, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
					return
				}
				last = time.Now()
			}
		}
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc,
		TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil),
		Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	defer s.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	var clients sync.WaitGroup
	for i := range 140 {
		if i == 30 && who == "discovery" {
			drainsAt.Store(time.Now().UnixNano())
			rec.Add("discovery: s-0000000 begins to drain")
		}
		clients.Go(func() {
			stand.Post(rec, listen, "board-view", fmt.Sprintf("table%d", i%20), fmt.Sprintf("%016x", rand.Uint64()), 5*time.Second)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	return rec.Finish(fmt.Sprintf("%s: %d calls for the list, %d watches", who, calls.Load(), watches.Load()))
}
