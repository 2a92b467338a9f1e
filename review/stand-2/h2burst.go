package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["h2-burst"] = h2Burst }

// h2Burst: a client with many jobs on one HTTP/2 connection reads every answer at once. Its traffic jumps to 2.3 times the usual for 10 s.
// The client is that of Go's standard library.
func h2Burst(r *run) (int, error) {
	s := fijiTables()
	listen, listenH2 := freeAddress(), freeAddress()
	f := newFleet(r.record, listen)
	rng := rand.New(rand.NewPCG(5, 6))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	mean := map[string]float64{"board-view": 0.46, "move": 0.9, "settle": 1.8}
	view := strings.Repeat("v", 24<<10) // a board view is 24 KiB, other results are short
	var list []endpoint
	for i := range 14 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		w.runTime = func(j *job) (time.Duration, string) {
			result := "result-" + j.id
			if j.class == "board-view" {
				result += view
			}
			return time.Duration(mean[j.class] * (0.5 + random()) * float64(time.Second)), result
		}
		w.serve()
		list = append(list, w.endpoint("suva"))
	}
	d, err := startDiscovery(list)
	if err != nil {
		return cantRun, err
	}
	p, err := startScheduler(r.root, r.dir, listen, d.address, s, list, `{"http2": {"listen": "`+listenH2+`"}}`)
	if err != nil {
		return cantRun, err
	}
	defer p.kill()

	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, MaxConnsPerHost: 1, DisableCompression: true}}
	var wg sync.WaitGroup
	statuses, lost := map[int]int{}, 0
	submit := func(c class) {
		defer wg.Done()
		id := newID()
		left := time.Duration(c.deadlineMS) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), left+600*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s/%s/t%d", listenH2, c.name, id[len(id)-1]%16), bytes.NewReader([]byte("{}")))
		if err != nil {
			panic(err)
		}
		req.Header.Set("X-Correlation-Id", id)
		req.Header.Set("X-Service-Class", c.name)
		req.Header.Set("X-Time-Left-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		r.record.line("client: sends %s %s", c.name, id)
		sent := time.Now()
		resp, err := client.Do(req)
		status, size := 0, 0
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			status, size = resp.StatusCode, len(body)
		}
		r.record.line("client: %s %s status %d, %d bytes, error %v, after %.3f s", c.name, id, status, size, err, time.Since(sent).Seconds())
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			lost++
			r.record.say("LOST: %s %s got no answer, or not all of it, after %.3f s: %v", c.name, id, time.Since(sent).Seconds(), err)
			return
		}
		statuses[status]++
	}
	n := 0
	phase := func(rate float64, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); n++ {
			mu.Lock()
			wait, pick := rng.ExpFloat64()/rate, rng.Float64()
			mu.Unlock()
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
	const usual = 15.5 // jobs a second at one of two schedulers
	phase(usual, 10*time.Second)
	rate := usual
	if r.trouble {
		rate *= 2.3
		r.record.say("the traffic jumps to 2.3 times the usual for 10 s")
	}
	phase(rate, 10*time.Second)
	phase(usual, 5*time.Second)
	wg.Wait()
	r.record.say("%d requests, answers by status: %v", n, statuses)
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
