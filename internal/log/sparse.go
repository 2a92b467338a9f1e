package log

// Sparse thins out the news of peers that can't be reached: the first failure of a peer is told, then one
// after growing intervals, with the number of failures so far. It reads no clock: times come in, in
// microseconds. It belongs to one goroutine.
type Sparse struct{ peers map[string]*failing }

type failing struct {
	count    int
	last     int64
	next     int64 // the next is told from then on
	interval int64
}

// Intervals between two lines about a peer, in microseconds, and the peers that are remembered at once.
const (
	sparseFirst = 1_000_000
	sparseMost  = 300_000_000
	sparsePeers = 1024
)

// Failed counts a failure and says whether it is to be told, and how many there were.
func (s *Sparse) Failed(peer string, now int64) (count int, tell bool) {
	p := s.peers[peer]
	if p == nil {
		s.room()
		p = &failing{interval: sparseFirst / 2}
		s.peers[peer] = p
	}
	p.count++
	p.last = now
	if p.count > 1 && now < p.next {
		return p.count, false
	}
	p.interval = min(2*p.interval, sparseMost)
	p.next = now + p.interval
	return p.count, true
}

// Reached tells that the peer was reached. It gives the failures before it; 0: there were none.
func (s *Sparse) Reached(peer string) (failures int) {
	if p := s.peers[peer]; p != nil {
		failures = p.count
		delete(s.peers, peer)
	}
	return failures
}

// room forgets the peer that has not been tried for longest where there are too many.
func (s *Sparse) room() {
	if s.peers == nil {
		s.peers = map[string]*failing{}
	}
	if len(s.peers) < sparsePeers {
		return
	}
	oldest := ""
	for name, p := range s.peers {
		if oldest == "" || p.last < s.peers[oldest].last {
			oldest = name
		}
	}
	delete(s.peers, oldest)
}
