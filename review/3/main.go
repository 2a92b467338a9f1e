// Case 3: a request that may be repeated only within a window reaches a worker of the Faktory front after it.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	tableWorkers = 2
	window       = time.Second           // in which a settle may be repeated, by the settings
	slack        = 50 * time.Millisecond // of every time limit, by the protocol page
	requests     = 400
	interval     = 160 * time.Millisecond // between two requests
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// judge knows when the first attempt of each settle arrived whole; it may have run.
type judge struct {
	rec   *stand.Record
	mu    sync.Mutex
	first map[string]time.Time
}

// begin judges an attempt that has arrived at a worker.
func (j *judge) begin(id, class, worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if class != "settle" {
		return
	}
	first, known := j.first[id]
	if !known {
		j.first[id] = time.Now()
		return
	}
	if late := time.Since(first); late > window+slack {
		j.rec.Break("settle %s reaches %s %.2f s after its first attempt, which may have run; its window is %.0f s", id, worker, late.Seconds(), window.Seconds())
	}
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
	addresses, err := stand.FreeAddresses(3 + tableWorkers)
	if err != nil {
		return rec.Abort(err)
	}
	listen, faktory, disc := addresses[0], addresses[1], addresses[2]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"faktory":{"listen":%q,"queue":"default"}}`, faktory), 0o600); err != nil {
		return rec.Abort(err)
	}

	j := &judge{rec: rec, first: map[string]time.Time{}}
	var resets atomic.Int64
	var entries []stand.Endpoint
	for i, address := range addresses[3:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		w.Serve = func(a *stand.Attempt) {
			j.begin(a.ID, a.Class, w.Name)
			if stand.Trouble() && a.Class == "settle" && a.Number == 1 && rand.IntN(3) == 0 {
				resets.Add(1)
				rec.Add("network: the connection of %s to %s is reset; the request has begun", a.ID, w.Name)
				a.Conn.Conn.(*net.TCPConn).SetLinger(0)
				a.Conn.Close()
				go func() { // what has begun goes on
					rec.Add("worker %s: runs %s", w.Name, a.ID)
					time.Sleep(runningTime(a.Class))
					a.End("done")
					w.Tell(a, "done", "of "+a.ID)
				}()
				return
			}
			a.Accept()
			go func() {
				rec.Add("worker %s: runs %s", w.Name, a.ID)
				w.Tell(a, "started", "")
				time.Sleep(runningTime(a.Class))
				a.End("done")
				w.Tell(a, "done", "of "+a.ID)
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
	settings := stand.Settings(func(s map[string]any) {
		settle := s["classes"].([]any)[2].(map[string]any)
		settle["effect"], settle["group"], settle["windowUs"] = "by_key", "all", window.Microseconds()
	})
	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc,
		TmpDir: filepath.Join(tmp, "tmp"), Settings: settings, Extra: " --config " + config,
		Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	defer s.Kill()
	if err != nil {
		return rec.Abort(err)
	}

	// A worker of the Faktory front that fetches the HTTP front's jobs, one at a time.
	stop := make(chan struct{})
	var fetching sync.WaitGroup
	c, err := stand.DialFaktory(faktory, "worker-0")
	if err != nil {
		return rec.Abort(err)
	}
	defer c.Close()
	var fetched atomic.Int64
	fetching.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			text, err := c.Do("FETCH default")
			if err != nil {
				rec.Add("worker-0: FETCH: %v", err)
				return
			}
			if text == "" {
				continue
			}
			var job struct {
				JID  string `json:"jid"`
				Type string `json:"jobtype"`
			}
			if err := json.Unmarshal([]byte(text), &job); err != nil {
				rec.Add("worker-0: FETCH: %q", text)
				return
			}
			fetched.Add(1)
			rec.Add("worker-0: runs %s (%s)", job.JID, job.Type)
			j.begin(job.JID, job.Type, "worker-0")
			time.Sleep(runningTime(job.Type))
			reply, err := c.Do(fmt.Sprintf(`ACK {"jid":%q,"result":"of %s"}`, job.JID, job.JID))
			rec.Add("worker-0: ACK of %s: %q, %v", job.JID, reply, err)
		}
	})

	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() {
			class, left := "settle", 20*time.Second
			if rand.IntN(2) == 0 {
				class, left = "board-view", 5*time.Second
			}
			stand.Post(rec, listen, class, fmt.Sprintf("table%d", rand.IntN(40)), fmt.Sprintf("%016x", rand.Uint64()), left)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	close(stop)
	fetching.Wait()
	return rec.Finish(fmt.Sprintf("%d requests, %d resets, %d jobs fetched", requests, resets.Load(), fetched.Load()))
}

// runningTime draws how long a job runs.
func runningTime(class string) time.Duration {
	if class == "settle" {
		return time.Duration(1300+rand.IntN(1100)) * time.Millisecond
	}
	return time.Duration(320+rand.IntN(290)) * time.Millisecond
}
