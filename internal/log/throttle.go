package log

// FailureThrottle limits the log lines about unreachable peers: it reports the first failure of a peer, then one failure
// after each of a series of growing intervals, with the number of failures so far. The caller passes the time, in
// microseconds. A FailureThrottle must be used by one goroutine at a time. Its zero value is ready for use.
type FailureThrottle struct{ peers map[string]*peerFailures }

type peerFailures struct {
	count       int
	lastFailure int64
	nextReport  int64 // failures before this time are not reported
	interval    int64
}

const (
	firstInterval = 1_000_000   // microseconds between the first two reports on a peer; each further interval is twice as long
	maxInterval   = 300_000_000 // microseconds between two reports at most
	maxPeers      = 1024        // peers whose failures are counted at the same time
)

// Failed counts a failure of a peer. It returns the number of failures so far and whether to report this one.
func (t *FailureThrottle) Failed(peer string, now int64) (count int, report bool) {
	p := t.peers[peer]
	if p == nil {
		t.evictOldest()
		p = &peerFailures{interval: firstInterval / 2}
		t.peers[peer] = p
	}
	p.count++
	p.lastFailure = now
	if p.count > 1 && now < p.nextReport {
		return p.count, false
	}
	p.interval = min(2*p.interval, maxInterval)
	p.nextReport = now + p.interval
	return p.count, true
}

// Reached resets the count of a peer that was reached and returns the number of failures before; 0: there were none.
func (t *FailureThrottle) Reached(peer string) (failures int) {
	if p := t.peers[peer]; p != nil {
		failures = p.count
		delete(t.peers, peer)
	}
	return failures
}

// evictOldest makes space for another peer: if there are maxPeers, it forgets the one whose last failure is the oldest.
func (t *FailureThrottle) evictOldest() {
	if t.peers == nil {
		t.peers = map[string]*peerFailures{}
	}
	if len(t.peers) < maxPeers {
		return
	}
	oldest := ""
	for name, p := range t.peers {
		if oldest == "" || p.lastFailure < t.peers[oldest].lastFailure {
			oldest = name
		}
	}
	delete(t.peers, oldest)
}
