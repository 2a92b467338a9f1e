package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// traffic sends jobs at random times, in the shares of the brief, over kept connections.
type traffic struct {
	r       *run
	site    site
	address string
	shares  []float64 // of the classes
	keys    int
	retries int // how often a client that is refused tries again, at once
	rng     *rand.Rand
	conns   chan *clientConn
	wg      sync.WaitGroup
	mu      sync.Mutex
	all     []*outcome
}

func newTraffic(r *run, s site, address string, shares []float64, conns int) *traffic {
	t := &traffic{r: r, site: s, address: address, shares: shares, keys: 16, rng: rand.New(rand.NewPCG(1, 2)), conns: make(chan *clientConn, conns)}
	for range conns {
		t.conns <- &clientConn{address: address}
	}
	return t
}

func (t *traffic) submit(c class, key string) {
	defer t.wg.Done()
	conn := <-t.conns
	defer func() { t.conns <- conn }()
	for try := 0; ; try++ {
		id := newID()
		t.r.record.line("client: sends %s %s, key %s, try %d", c.name, id, key, try+1)
		o := conn.do(id, c.name, key, time.Duration(c.deadlineMS)*time.Millisecond, "{}")
		t.r.record.line("client: %s %s %v", c.name, id, o)
		t.mu.Lock()
		t.all = append(t.all, o)
		t.mu.Unlock()
		if o.status != 503 || try == t.retries {
			return
		}
	}
}

// phase sends jobs at a rate for a time.
func (t *traffic) phase(rate float64, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second)))
		pick, i := t.rng.Float64(), 0
		for i < len(t.shares)-1 && pick >= t.shares[i] {
			pick -= t.shares[i]
			i++
		}
		key := fmt.Sprintf("t%d", t.rng.IntN(t.keys))
		t.wg.Add(1)
		go t.submit(t.site.classes[i], key)
	}
}

// end waits for the last answers and returns how many answers of each status there were.
func (t *traffic) end() map[int]int {
	t.wg.Wait()
	statuses := map[int]int{}
	for _, o := range t.all {
		statuses[o.status]++
	}
	return statuses
}
