// An operator takes a worker of the Faktory front out; an attempt that waits for its FETCH is handed out all the same.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	tableWorkers = 0
	grace        = time.Second           // of the rule on drains, by the settings
	slack        = 50 * time.Millisecond // of every time limit, by the protocol page
	rounds       = 8                     // in which the worker is out for 3 s
	requests     = 120
	interval     = 500 * time.Millisecond // between two requests
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
	addresses, err := stand.FreeAddresses(4 + tableWorkers)
	if err != nil {
		return rec.Abort(err)
	}
	listen, faktory, disc, admin := addresses[0], addresses[1], addresses[2], addresses[3]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"faktory":{"listen":%q,"queue":"default"}}`, faktory), 0o600); err != nil {
		return rec.Abort(err)
	}

	var entries []stand.Endpoint
	for i, address := range addresses[4:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		w.Serve = func(a *stand.Attempt) {
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
	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc,
		TmpDir: filepath.Join(tmp, "tmp"), Admin: admin, Settings: stand.Settings(nil), Extra: " --config " + config,
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
	var fetched, out atomic.Int64 // out: when the operator had the yes; 0: the worker is in use
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
			if at := out.Load(); at > 0 && time.Duration(time.Now().UnixNano()-at) > grace+slack {
				rec.Break("%s reaches worker-0 %.2f s after the operator's yes", job.JID, time.Duration(time.Now().UnixNano()-at).Seconds())
			}
			time.Sleep(runningTime(job.Type))
			reply, err := c.Do(fmt.Sprintf(`ACK {"jid":%q,"result":"of %s"}`, job.JID, job.JID))
			rec.Add("worker-0: ACK of %s: %q, %v", job.JID, reply, err)
		}
	})

	over := make(chan struct{})
	var calls sync.WaitGroup
	call := func(verb string) {
		out.Store(0)
		answer, err := http.Post("http://"+admin+"/-/table-workers/faktory:worker-0/"+verb, "", nil)
		if err == nil {
			answer.Body.Close()
			rec.Add("operator: %s worker-0: %d", verb, answer.StatusCode)
		}
		if err == nil && verb == "disable" && answer.StatusCode == 200 {
			out.Store(time.Now().UnixNano())
		}
	}
	calls.Go(func() {
		time.Sleep(12 * time.Second) // until the worker is warm
		for range rounds {
			if !stand.Trouble() {
				return
			}
			call("disable")
			time.Sleep(3 * time.Second)
			call("enable")
			select {
			case <-over:
				return
			case <-time.After(3 * time.Second):
			}
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
	close(over)
	calls.Wait()
	clients.Wait()
	close(stop)
	fetching.Wait()
	return rec.Finish(fmt.Sprintf("%d requests, %d jobs fetched", requests, fetched.Load()))
}

// runningTime draws how long a job runs.
func runningTime(class string) time.Duration {
	if class == "settle" {
		return time.Duration(1300+rand.IntN(1100)) * time.Millisecond
	}
	return time.Duration(320+rand.IntN(290)) * time.Millisecond
}
