package log

// Sparse thins out the news of peers that can't be reached: the first failure of a peer is told, then one
// after growing intervals, with the number of failures so far. It reads no clock: times come in, in
// microseconds. It belongs to one goroutine.
type FailureThrottle struct{ peers map[string]*peerFailures }

type peerFailures struct {
	count       int
	lastFailure int64
	nextReport  int64 // the next is told from then on
	interval    int64
}

// Intervals between two lines about a peer, in microseconds, and the peers that are remembered at once.
const (
	firstInterval = 1_000_000
	maxInterval   = 300_000_000
	maxPeers      = 1024
)

// Failed counts a failure and says whether it is to be told, and how many there were.
func (s *FailureThrottle) Failed(peer string, now int64) (count int, tell bool) {
	p := s.peers[peer]
	if p == nil {
		s.evictOldest()
		p = &peerFailures{interval: firstInterval / 2}
		s.peers[peer] = p
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

// Reached tells that the peer was reached. It gives the failures before it; 0: there were none.
func (s *FailureThrottle) Reached(peer string) (failures int) {
	if p := s.peers[peer]; p != nil {
		failures = p.count
		delete(s.peers, peer)
	}
	return failures
}

// room forgets the peer that has not been tried for longest where there are too many.
func (s *FailureThrottle) evictOldest() {
	if s.peers == nil {
		s.peers = map[string]*peerFailures{}
	}
	if len(s.peers) < maxPeers {
		return
	}
	oldest := ""
	for name, p := range s.peers {
		if oldest == "" || p.lastFailure < s.peers[oldest].lastFailure {
			oldest = name
		}
	}
	delete(s.peers, oldest)
}
