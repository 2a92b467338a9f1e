package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() {
	cases["second-answer"] = func(r *run) (int, error) { return failingWorker(r, true) }
	cases["repeated-call"] = func(r *run) (int, error) { return failingWorker(r, false) }
}

// failingWorker: one of eight table workers fails half of its board views. Either it answers 500, and a second time some milliseconds
// later; or its call "failed" is repeated, since the answer to it was lost. Without the trouble it fails as often, and tells it once.
func failingWorker(r *run, byAnswer bool) (int, error) {
	s := fijiTables()
	listen := freeAddress()
	f := newFleet(r.record, listen)
	rng := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	calls, err := startRelay(listen)
	if err != nil {
		return cantRun, err
	}
	mean := map[string]float64{"board-view": 0.46, "move": 0.9, "settle": 1.8}
	var list []endpoint
	for i := range 8 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		isBad := i == 0
		w.runTime = func(j *job) (time.Duration, string) {
			length := mean[j.class] * (0.5 + random())
			if isBad && !byAnswer && j.class == "board-view" && random() < 0.5 {
				j.fails = true
				length /= 4
			}
			return time.Duration(length * float64(time.Second)), "result-" + j.id
		}
		if isBad && byAnswer {
			w.onJob = func(c net.Conn, j *job) bool {
				if j.class != "board-view" || random() >= 0.5 {
					return false
				}
				f.note(w, j, "error")
				writeAnswer(c, 500, "", "")
				if r.trouble {
					time.Sleep(5 * time.Millisecond)
					r.record.line("worker %s: a second answer to %s attempt %d: 500", w.name, j.id, j.attempt)
					writeAnswer(c, 500, "", "")
				}
				return true
			}
		}
		if isBad && !byAnswer {
			w.callbackAddress = func(j *job, state string) string {
				if state != "failed" || !r.trouble {
					return ""
				}
				return calls.address()
			}
		}
		w.serve()
		list = append(list, w.endpoint("suva"))
	}
	lostOnce := false
	calls.losesAnswer = func() bool { // every second answer
		mu.Lock()
		defer mu.Unlock()
		lostOnce = !lostOnce
		return lostOnce
	}
	d, err := startDiscovery(list)
	if err != nil {
		return cantRun, err
	}
	p, err := startScheduler(r.root, r.dir, listen, d.address, s, list, "")
	if err != nil {
		return cantRun, err
	}
	defer p.kill()
	t := newTraffic(r, s, listen, []float64{0.43, 0.43, 0.14}, 85)
	t.phase(15.5, 30*time.Second)
	statuses := t.end()
	r.record.say("%d requests, answers by status: %v", len(t.all), statuses)
	lines := f.copies(r.record.start)
	for _, line := range lines {
		r.record.say("COPY: %s", line)
	}
	if p.hasEnded() {
		return cantRun, fmt.Errorf("the scheduler has ended")
	}
	if len(lines) > 0 {
		r.record.say("rule broken: %d second copies", len(lines))
		return broken, nil
	}
	r.record.say("rule held")
	return held, nil
}
