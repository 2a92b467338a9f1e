// What the HTTP/2 and Faktory fronts do not bound, by mode: "half" (64 clients stop in the middle of a request and stay),
// "descriptors" and "descriptors-faktory" (3,200 connections that say nothing), "drain" (the operators' drain).
package main

import (
	"fmt"
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

const sockets = 1024 // the scheduler's limit

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Args[3])) }

func run(root, folder, mode string) int {
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
	addresses, err := stand.FreeAddresses(6)
	if err != nil {
		return rec.Abort(err)
	}
	listen, h2, faktory, disc, admin := addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"http2":{"listen":%q},"faktory":{"listen":%q}}`, h2, faktory), 0o600); err != nil {
		return rec.Abort(err)
	}
	w := &stand.Worker{Name: "s-0000000", Address: addresses[5], CallAddress: listen}
	w.Serve = func(a *stand.Attempt) {
		a.Accept()
		go func() {
			time.Sleep(300 * time.Millisecond)
			a.End("done")
			w.Tell(a, "done", "view")
		}()
	}
	if err := stand.StartWorker(rec, w); err != nil {
		return rec.Abort(err)
	}
	defer w.Close()
	entries := []stand.Endpoint{{Name: w.Name, Address: w.Address, Zone: "suva", Type: "gen2", Group: 1, Status: "up", Weight: 1}}
	d, err := stand.StartDiscovery(disc, entries)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()
	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc, Admin: admin,
		TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil), Sockets: sockets, Extra: " --config " + config,
		Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	defer s.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	switch mode {
	case "half":
		return half(rec, h2)
	case "drain":
		return drain(rec, listen, h2, admin)
	case "descriptors-faktory":
		return descriptors(rec, s, faktory)
	}
	return descriptors(rec, s, h2)
}

// submit sends a job and returns what came of it.
func submit(address string) string {
	c, err := stand.DialH2(address, 1<<20, 4<<20)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Request([]byte("work"), ":method", "POST", ":scheme", "http", ":path", "/board-view/t1", ":authority", "api.internal", "x-correlation-id",
		fmt.Sprintf("%016x", rand.Uint64()), "x-service-class", "board-view", "x-time-left-ms", "2000")
	for {
		f, err := c.ReadFrame()
		switch {
		case err != nil:
			return err.Error()
		case f.Kind == stand.H2GoAway:
			return fmt.Sprintf("GOAWAY %q", f.Payload[8:])
		case f.Stream == 1 && f.Flags&1 != 0:
			return fmt.Sprintf("answered, %q", f.Payload)
		}
	}
}

// half has 64 clients send the head of a request and stay. Each is owed an error or a close within 3 s.
func half(rec *stand.Record, address string) int {
	rec.Add("client before: %s", submit(address))
	var clients []*stand.H2Conn
	for range 64 {
		c, err := stand.DialH2(address, 1<<20, 4<<20)
		if err != nil {
			return rec.Abort(err)
		}
		defer c.Close()
		c.Half(":method", "POST", ":scheme", "http", ":path", "/board-view/t1", ":authority", "api.internal", "x-correlation-id",
			fmt.Sprintf("%016x", rand.Uint64()), "x-service-class", "board-view", "x-time-left-ms", "2000")
		clients = append(clients, c)
	}
	for range 4 {
		time.Sleep(5 * time.Second)
		rec.Add("another client: %s", submit(address))
	}
	owed := 0
	for _, c := range clients {
		c.SetDeadline(time.Now().Add(20 * time.Millisecond))
		for ended := false; !ended; {
			f, err := c.ReadFrame()
			if netErr, isNet := err.(net.Error); isNet && netErr.Timeout() {
				owed++
				break
			}
			ended = err != nil || f.Kind == stand.H2GoAway || f.Kind == stand.H2Reset || f.Stream == 1
		}
	}
	if owed > 0 {
		rec.Break("%d of 64 clients that stopped in the middle of a request had neither an error nor a close in 20 s", owed)
	}
	return rec.Finish("last other client: " + submit(address))
}

// drain calls the operators' drain. 4 s after it readiness has to say no.
func drain(rec *stand.Record, http1, http2, admin string) int {
	if _, err := http.Post("http://"+admin+"/-/drain", "", nil); err != nil {
		return rec.Abort(err)
	}
	time.Sleep(4500 * time.Millisecond)
	answer, err := http.Get("http://" + http1 + "/-/ready")
	if err != nil {
		return rec.Abort(err)
	}
	c, err := stand.DialH2(http2, 1<<20, 4<<20)
	if err != nil {
		return rec.Abort(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Request(nil, ":method", "GET", ":scheme", "http", ":path", "/-/ready", ":authority", "api.internal")
	for {
		f, err := c.ReadFrame()
		if err != nil {
			return rec.Abort(err)
		}
		if f.Kind == 1 {
			if f.Payload[0] == 0x88 { // ":status: 200" of the static table (RFC 7541, appendix A)
				rec.Break("4.5 s after the drain GET /-/ready says 200 over HTTP/2")
			}
			break
		}
	}
	return rec.Finish(fmt.Sprintf("over HTTP/1.1 it says %d; a job over HTTP/2: %s", answer.StatusCode, submit(http2)))
}

// descriptors opens 3,200 connections that say nothing, and counts the process's descriptors meanwhile.
func descriptors(rec *stand.Record, s *stand.Scheduler, address string) int {
	var peak atomic.Int64
	stop := make(chan struct{})
	var counting sync.WaitGroup
	counting.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.Pid()))
			peak.Store(max(peak.Load(), int64(len(open))))
		}
	})
	var opening sync.WaitGroup
	for range 8 {
		opening.Go(func() {
			for range 400 {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					defer c.Close()
				}
			}
		})
	}
	opening.Wait()
	time.Sleep(time.Second)
	close(stop)
	counting.Wait()
	if peak.Load() > sockets {
		rec.Break("the process holds %d descriptors, its limit is %d", peak.Load(), sockets)
	}
	return rec.Finish("3,200 connections that say nothing")
}
