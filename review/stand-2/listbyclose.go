package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["list-by-close"] = listByClose }

// listByClose: a new configuration moves discovery to another address, which sends its whole list without a length and ends it with the
// connection. Then two of five table workers begin to drain.
func listByClose(r *run) (int, error) {
	s := fijiTables()
	listen := freeAddress()
	f := newFleet(r.record, listen)
	var list []endpoint
	for i := range 5 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		w.serve()
		list = append(list, w.endpoint("suva"))
	}
	first, err := startDiscovery(append([]endpoint(nil), list...))
	if err != nil {
		return cantRun, err
	}
	second, err := startDiscovery(append([]endpoint(nil), list...))
	if err != nil {
		return cantRun, err
	}
	second.endsByClose = true
	p, err := startScheduler(r.root, r.dir, listen, first.address, s, list, "")
	if err != nil {
		return cantRun, err
	}
	defer p.kill()
	t := newTraffic(r, s, listen, []float64{0.43, 0.43, 0.14}, 85)
	t.phase(15.5, 4*time.Second)
	told := time.Now()
	if r.trouble {
		path := filepath.Join(r.dir, "config.json")
		text, err := os.ReadFile(path)
		if err != nil {
			return cantRun, err
		}
		next := strings.ReplaceAll(string(text), first.address, second.address)
		if err := os.WriteFile(path+".new", []byte(next), 0o600); err != nil {
			return cantRun, err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return cantRun, err
		}
		r.record.line("SIGHUP: discovery moves from %s to %s", first.address, second.address)
		p.signal(syscall.SIGHUP)
		told = told.Add(4 * time.Second) // "Whatever discovery has to tell counts as told 4 s after SIGHUP"
		time.AfterFunc(1500*time.Millisecond, func() { first.server.Close() })
	}
	t.phase(15.5, 2*time.Second)
	draining := map[string]bool{}
	for _, e := range list[:2] {
		r.record.line("%s begins to drain", e.Name)
		first.set(e.Name, "draining")
		second.set(e.Name, "draining")
		draining[e.Name] = true
	}
	if now := time.Now(); now.After(told) {
		told = now
	}
	t.phase(15.5, 14*time.Second)
	statuses := t.end()
	r.record.say("%d requests, answers by status: %v", len(t.all), statuses)
	if p.hasEnded() {
		return cantRun, fmt.Errorf("the scheduler has ended")
	}
	// 1 s of grace, the 50 ms of the rules on sockets, and 0.15 s for which a scheduler may be held up.
	until := told.Add(time.Second + 50*time.Millisecond + 150*time.Millisecond)
	late := 0
	for _, e := range f.events() {
		if e.what == "arrived" && draining[e.worker] && e.at.After(until) {
			late++
			r.record.say("DRAIN: %s %s came to %s %.3f s after it counts as told that this worker drains", e.class, e.id, e.worker, e.at.Sub(told).Seconds())
		}
	}
	if late > 0 {
		r.record.say("rule broken: %d attempts at draining table workers", late)
		return broken, nil
	}
	r.record.say("rule held")
	return held, nil
}
