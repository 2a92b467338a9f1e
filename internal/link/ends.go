package link

import (
	"cmp"
	"slices"
	"sync"
)

// EndCount is how many connections have ended for a reason since the process started.
type EndCount struct {
	Reason string
	Count  uint64
}

// endCounter counts ended connections. The reasons are constants of the fronts, which bounds it.
type endCounter struct {
	mu     sync.Mutex
	counts map[string]uint64
}

var endCounts = endCounter{counts: map[string]uint64{}}

func (e *endCounter) add(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[reason]++
}

// EndedConnections returns the ended connections of all fronts and of the connections to workers, ordered by reason.
func EndedConnections() []EndCount {
	endCounts.mu.Lock()
	defer endCounts.mu.Unlock()
	var all []EndCount
	for reason, count := range endCounts.counts {
		all = append(all, EndCount{reason, count})
	}
	slices.SortFunc(all, func(a, b EndCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return all
}
