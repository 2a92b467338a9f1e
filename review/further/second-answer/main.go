// A second answer of a table worker, some milliseconds late, is read as the answer to the next request on the connection.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	workers  = 4
	requests = 60
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

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
	addresses, err := stand.FreeAddresses(2 + workers)
	if err != nil {
		return rec.Abort(err)
	}
	listen, disc := addresses[0], addresses[1]
	var mu sync.Mutex
	attempts := map[string][]*stand.Attempt{}
	var second atomic.Int64
	var entries []stand.Endpoint
	for i, address := range addresses[2:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		// One probe in four is answered twice, the second time 2 to 5 ms late.
		w.Load = func(c *stand.Conn) {
			text := stand.Response(200, "TEXT queue=0, latency_ms=300, inflight=0, x0=4")
			c.WriteText(text)
			if stand.Trouble() && rand.IntN(4) == 0 {
				second.Add(1)
				go func() {
					time.Sleep(time.Duration(2000+rand.IntN(3000)) * time.Microsecond)
					rec.Add("worker %s: second answer to a probe", w.Name)
					c.WriteText(text)
				}()
			}
		}
		w.Serve = func(a *stand.Attempt) {
			mu.Lock()
			for _, other := range attempts[a.ID] {
				if other.IsOut() {
					rec.Break("attempt %d of %s at %s has begun while attempt %d at %s has neither ended nor been given up",
						a.Number, a.ID, a.Worker.Name, other.Number, other.Worker.Name)
				}
			}
			attempts[a.ID] = append(attempts[a.ID], a)
			mu.Unlock()
			time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
			a.Accept()
			go func() {
				w.Tell(a, "started", "")
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
	d, err := stand.StartDiscovery(disc, entries)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()
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
			stand.Post(rec, listen, "board-view", fmt.Sprintf("table%d", i%40), fmt.Sprintf("%016x", rand.Uint64()), 5*time.Second)
		})
		time.Sleep(time.Duration(600+rand.IntN(500)) * time.Millisecond)
	}
	clients.Wait()
	return rec.Finish(fmt.Sprintf("%d requests, %d second answers", requests, second.Load()))
}
