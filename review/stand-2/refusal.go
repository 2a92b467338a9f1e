package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-refusal"] = secondRefusal }

// secondRefusal: a full fleet turns most of what comes away, one table worker after another is slow, and clients that are refused try again
// at once. With the trouble each "turned away" is answered a second time some milliseconds later. No job that must never run twice may be
// sent on while a worker has it.
func secondRefusal(r *run) (int, error) {
	const (
		workers   = 5
		rate      = 31.0 // jobs a second
		turned    = 0.7  // share of what comes that a full worker turns away
		slowFor   = 20 * time.Second
		burstFor  = 10 * time.Second
		burst     = 2.3
		slowTimes = 9.6
	)
	s := fijiTables()
	listen := freeAddress()
	f := newFleet(r.record, listen)
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 9))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	mean := map[string]float64{"board-view": 0.46, "move": 0.9, "settle": 1.8}
	var slow, seconds atomic.Int64 // the worker that is slow; how many second answers there were
	slow.Store(-1)
	var list []endpoint
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		w.slots = 8
		times := func() float64 {
			if slow.Load() == int64(i) {
				return slowTimes
			}
			return 1
		}
		w.runTime = func(j *job) (time.Duration, string) {
			return time.Duration(mean[j.class] * (0.5 + random()) * float64(time.Second)), "result-" + j.id
		}
		w.answerDelay = func() time.Duration { // 5 to 14 ms of a worker at its usual speed
			return time.Duration((5 + 9*random()) * times() * float64(time.Millisecond))
		}
		w.onJob = func(c net.Conn, j *job) bool {
			if random() >= turned {
				return false
			}
			f.note(w, j, "refused")
			const headers = "X-Unprocessed: 1\r\n"
			writeAnswer(c, 503, headers, "")
			if r.trouble {
				time.Sleep(time.Duration((8 + 2*random()) * float64(time.Millisecond)))
				seconds.Add(1)
				r.record.line("worker %s: a second answer to %s attempt %d: 503", w.name, j.id, j.attempt)
				writeAnswer(c, 503, headers, "")
			}
			return true
		}
		w.serve()
		list = append(list, w.endpoint("suva"))
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
	t := newTraffic(r, s, listen, []float64{0.43, 0.43, 0.14}, 300)
	t.retries = 2
	for i := range 3 { // one worker of five at a time
		slow.Store(int64(i))
		r.record.line("worker %d is slow", i+1)
		t.phase(rate, slowFor)
		r.record.line("the traffic jumps to %.1f times the usual for %v", burst, burstFor)
		t.phase(burst*rate, burstFor)
	}
	slow.Store(-1)
	statuses := t.end()
	r.record.say("%d requests, answers by status: %v; %d second answers", len(t.all), statuses, seconds.Load())
	var lines []string
	for _, line := range f.copies(r.record.start) {
		// What its worker turns away later on has never run.
		if !strings.HasPrefix(line, "board-view") && !strings.Contains(line, "(refused at") {
			lines = append(lines, "SENT ON: "+line)
		}
	}
	ranTwice := f.runTwice("move", "settle")
	for _, line := range ranTwice {
		lines = append(lines, "RUN TWICE: "+line)
	}
	spans := f.spans()
	for _, o := range t.all {
		if o.status == 503 && o.class != "board-view" && slices.ContainsFunc(spans[o.id], func(a *attemptSpan) bool { return a.hasRun }) {
			lines = append(lines, fmt.Sprintf("REFUSED: %s %s was answered 503, trying again is harmless, and has run", o.class, o.id))
		}
	}
	for _, line := range lines {
		r.record.say("%s", line)
	}
	if p.hasEnded() {
		return cantRun, fmt.Errorf("the scheduler has ended")
	}
	if len(lines) > 0 {
		r.record.say("rule broken: %d findings, %d jobs that must never run twice have", len(lines), len(ranTwice))
		return broken, nil
	}
	r.record.say("rule held")
	return held, nil
}
