// A Faktory worker reports a job on another connection than it fetched it on, and an upgrade has begun between the two.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"review/stand"
)

const jobs = 20

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
	addresses, err := stand.FreeAddresses(5)
	if err != nil {
		return rec.Abort(err)
	}
	listen, faktory, disc := addresses[0], addresses[1], addresses[2]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"faktory":{"listen":%q,"queue":"default"}}`, faktory), 0o600); err != nil {
		return rec.Abort(err)
	}
	d, err := stand.StartDiscovery(disc, nil)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()
	start := func(label, admin string) (*stand.Scheduler, error) {
		return stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: label, Listen: listen, Discovery: disc,
			Admin: admin, TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil), Extra: " --config " + config})
	}
	old, err := start("old", addresses[3])
	defer old.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	fetching, err := stand.DialFaktory(faktory, "worker-0")
	if err != nil {
		return rec.Abort(err)
	}
	defer fetching.Close()
	for until := time.Now().Add(11 * time.Second); time.Now().Before(until); { // until the worker is warm
		fetching.Do("FETCH default")
	}
	if stand.Trouble() {
		next, err := start("new", addresses[4])
		defer next.Kill()
		if err != nil {
			return rec.Abort(err)
		}
	}
	// Settles over HTTP/1.1, by clients that the kernel gave to the old process: the others find no worker and are not counted.
	var clients sync.WaitGroup
	var acked sync.Map
	wrong := 0
	var mu sync.Mutex
	go func() {
		for {
			text, err := fetching.Do("FETCH default")
			if err != nil {
				return
			}
			var job struct {
				JID string `json:"jid"`
			}
			if text == "" || json.Unmarshal([]byte(text), &job) != nil {
				continue
			}
			time.Sleep(50 * time.Millisecond)
			reporting, err := stand.DialFaktory(faktory, "worker-0") // a new connection of the same process
			if err != nil {
				rec.Add("worker-0: %v", err)
				continue
			}
			reply, err := reporting.Do(fmt.Sprintf(`ACK {"jid":%q,"result":"settled"}`, job.JID))
			reporting.Close()
			rec.Add("worker-0: ran %s; ACK: %q, %v", job.JID, reply, err)
			if reply == "OK" {
				acked.Store(job.JID, true)
			}
		}
	}()
	for range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			answer := stand.Post(rec, listen, "settle", "match", id, 6*time.Second)
			if _, isAcked := acked.Load(id); isAcked && answer.Status != 200 {
				mu.Lock()
				wrong++
				mu.Unlock()
				rec.Break("settle %s ran and its ACK got +OK; its client was answered %d after %.1f s", id, answer.Status, answer.After.Seconds())
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	clients.Wait()
	return rec.Finish(fmt.Sprintf("%d jobs, %d acknowledged and not answered with their result", jobs, wrong))
}
