package standin

import (
	"fmt"
	"maps"
	"sync"
)

// RunCounter counts how often workers ran each job. It may be used from any goroutine.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int // by job ID
}

// Record counts a run of a job and returns the number of distinct jobs that have run.
func (r *RunCounter) Record(jobID string) (jobs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[jobID]++
	return len(r.counts)
}

// Counts returns a copy of the number of runs of each job.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// StartVanishingWorkers starts Faktory workers that disconnect after so many fetches without acknowledging the last job,
// and reconnect under another worker ID. They run until stop is closed; the returned group waits for all of them.
func (n *Node) StartVanishingWorkers(workers, fetches int, runs *RunCounter, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range workers {
		all.Go(func() {
			for connection := 0; n.fetchUntilDisconnect(fmt.Sprintf("w-%d-%d", i, connection), fetches, runs, stop); connection++ {
			}
		})
	}
	return &all
}

// fetchUntilDisconnect runs one connection of such a worker. It reports whether the worker disconnected with a job
// unacknowledged and shall reconnect.
func (n *Node) fetchUntilDisconnect(wid string, fetches int, runs *RunCounter, stop <-chan struct{}) (mayReconnect bool) {
	w := NewFaktory(n.T, n.Faktory.Address(), wid, "")
	for fetched := 0; ; {
		select {
		case <-stop:
			w.Close()
			return false
		default:
		}
		jid, reply := w.Fetch()
		if jid == "" {
			if reply == "(closed)" {
				return false
			}
			continue
		}
		runs.Record(jid)
		if fetched++; fetched == fetches {
			w.Close()
			return true
		}
		w.Do("ACK", fmt.Sprintf(`{"jid":%q}`, jid))
	}
}
