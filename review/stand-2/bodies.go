package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// bodies: a burst of jobs whose bodies have the size that the protocol allows, at the smallest limits that the pages name.
func bodies(r *run) (int, error) {
	s := fijiTables()
	s.memoryMB, s.sockets = 32, 256
	const (
		usualRate = 24.0 // jobs a second at this scheduler
		burstRate = usualRate * 2.3
		maxConns  = 256 / 3 // "Clients hold at most a third of the descriptors for requests"
		bodySize  = 64 << 10
	)
	listen := freeAddress()
	f := newFleet(r.record, listen)
	rng := rand.New(rand.NewPCG(1, 2))
	var rngMu sync.Mutex
	mean := map[string]time.Duration{"board-view": 600 * time.Millisecond, "move": 1200 * time.Millisecond, "settle": 2400 * time.Millisecond}
	var list []endpoint
	for i := range 14 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		w.runTime = func(j *job) (time.Duration, string) {
			rngMu.Lock()
			defer rngMu.Unlock()
			return time.Duration(float64(mean[j.class]) * (0.5 + rng.Float64())), "result-" + j.id
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

	body := strings.Repeat("x", bodySize)
	conns := make(chan *clientConn, maxConns)
	for range maxConns {
		conns <- &clientConn{address: listen}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*outcome
	open, most := 0, 0
	submit := func(c class) {
		defer wg.Done()
		conn := <-conns
		defer func() { conns <- conn }()
		id := newID()
		mu.Lock()
		open++
		most = max(most, open)
		mu.Unlock()
		r.record.line("client: sends %s %s, %d bytes", c.name, id, bodySize)
		o := conn.do(id, c.name, fmt.Sprintf("t%d", id[len(id)-1]%16), time.Duration(c.deadlineMS)*time.Millisecond, body)
		r.record.line("client: %s %s %v", c.name, id, o)
		mu.Lock()
		open--
		all = append(all, o)
		mu.Unlock()
	}
	phase := func(rate float64, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); {
			rngMu.Lock()
			wait, pick := rng.ExpFloat64()/rate, rng.Float64()
			rngMu.Unlock()
			time.Sleep(time.Duration(wait * float64(time.Second)))
			c := s.classes[0]
			if pick > 0.86 {
				c = s.classes[2]
			} else if pick > 0.43 {
				c = s.classes[1]
			}
			wg.Add(1)
			go submit(c)
		}
	}
	phase(usualRate, 8*time.Second)
	rate := usualRate
	if r.trouble {
		rate = burstRate
		r.record.say("the traffic jumps to 2.3 times the usual for 10 s")
	}
	phase(rate, 10*time.Second)
	phase(usualRate, 4*time.Second)
	wg.Wait()

	statuses, lost := map[int]int{}, 0
	for _, o := range all {
		statuses[o.status]++
		if o.status == 0 && o.written {
			lost++
			r.record.say("LOST: %s %s was sent whole and got no final answer: %v", o.class, o.id, o)
		}
	}
	r.record.say("%d requests, at most %d open at once, answers by status: %v", len(all), most, statuses)
	if p.hasEnded() {
		return cantRun, fmt.Errorf("the scheduler has ended")
	}
	if lost > 0 {
		r.record.say("rule broken: %d requests lost", lost)
		return broken, nil
	}
	r.record.say("rule held")
	return held, nil
}
