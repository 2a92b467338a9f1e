// The answer to a table worker's "failed" is lost, and the same request is sent out twice at once.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"review/stand"
)

const (
	workers  = 8 // one of which fails
	requests = 240
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// judge knows the attempts of each request.
type judge struct {
	rec      *stand.Record
	mu       sync.Mutex
	attempts map[string][]*stand.Attempt
}

// begin judges an attempt that has arrived whole: no other one of its request may be out.
func (j *judge) begin(a *stand.Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, other := range j.attempts[a.ID] {
		if other.IsOut() {
			j.rec.Break("attempt %d of %s at %s has begun while attempt %d at %s has neither ended nor been given up",
				a.Number, a.ID, a.Worker.Name, other.Number, other.Worker.Name)
		}
	}
	j.attempts[a.ID] = append(j.attempts[a.ID], a)
}

func run(root, folder string) int {
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
	addresses, err := stand.FreeAddresses(3 + workers)
	if err != nil {
		return rec.Abort(err)
	}
	listen, disc, network := addresses[0], addresses[1], addresses[2]

	j := &judge{rec: rec, attempts: map[string][]*stand.Attempt{}}
	var entries []stand.Endpoint
	for i, address := range addresses[3:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: network}
		fails := i == 0
		w.Serve = func(a *stand.Attempt) {
			j.begin(a)
			a.Accept()
			go func() {
				w.Tell(a, "started", "")
				time.Sleep(time.Duration(320+rand.IntN(290)) * time.Millisecond)
				if fails && a.Number == 1 {
					a.End("failed")
					w.Tell(a, "failed", "")
					return
				}
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
	d, err := stand.StartDiscovery(disc, entries)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()

	// The network between table workers and scheduler: the answer to the first call with "failed" for a request is lost.
	var lost sync.Map
	proxy := &stand.LossyProxy{Address: network, Target: listen, Lose: func(sent []byte) bool {
		_, event, isCall := bytes.Cut(sent, []byte("\r\n\r\n"))
		if !stand.Trouble() || !isCall || !bytes.Contains(event, []byte(`"state":"failed"`)) {
			return false
		}
		_, known := lost.LoadOrStore(string(event), true)
		return !known
	}}
	if err := stand.StartLossyProxy(rec, proxy); err != nil {
		return rec.Abort(err)
	}
	defer proxy.Close()

	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc,
		TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil),
		Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	defer s.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			stand.Post(rec, listen, "board-view", fmt.Sprintf("table%d", i%20), id, 5*time.Second)
		})
		time.Sleep(80 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return rec.Finish(fmt.Sprintf("%d requests, %d answers to calls lost", requests, proxy.Lost.Load()))
}
