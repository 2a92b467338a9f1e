package standin

import (
	"fmt"
	"maps"
	"sync"
)

// Runs counts how often workers ran each job. It may be used from any goroutine.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int // by the job's id
}

// Ran notes a run of a job, and gives the number of jobs that have run.
func (r *RunCounter) Record(id string) (jobs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[id]++
	return len(r.counts)
}

// Counts gives how often each job ran.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// VanishingWorkers starts Faktory workers that break off with the last of so many fetched jobs unacknowledged,
// and come again under another name. They go on until stop is closed; the group is done when all have ended.
func (n *Node) StartVanishingWorkers(workers, fetches int, runs *RunCounter, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range workers {
		all.Go(func() {
			for life := 0; n.fetchUntilDisconnect(fmt.Sprintf("w-%d-%d", i, life), fetches, runs, stop); life++ {
			}
		})
	}
	return &all
}

// fetchUntilGone is the life of one such worker; again tells that it broke off with its last job.
func (n *Node) fetchUntilDisconnect(wid string, fetches int, runs *RunCounter, stop <-chan struct{}) (again bool) {
	w := NewFaktory(n.T, n.Faktory.Address(), wid, "")
	for fetched := 0; ; {
		select {
		case <-stop:
			w.Close()
			return false
		default:
		}
		jid, none := w.Fetch()
		if jid == "" {
			if none == "(closed)" {
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
