// Package relay simulates the network between the processes of a fleet: it delays, drops, cuts, resets and throttles
// traffic by the pair of sites and the kind of path. Packages fleet and endpoints, which hold one end of each path, use its
// connections and listeners; peer datagrams pass a relay socket.
package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of traffic on a path.
type Kind uint8

// The kinds of paths, from the side that opens the connection.
const (
	Client    Kind = iota // clients to schedulers
	Job                   // schedulers to table workers
	Callback              // table workers to schedulers
	List                  // schedulers to discovery
	Peer                  // schedulers to schedulers
	KindCount             // number of kinds
)

var kindNames = [KindCount]string{"client", "job", "back", "list", "peer"}

// String returns the kind's name in scenario files and records.
func (k Kind) String() string { return kindNames[k] }

// ParseKind returns a kind by its name, or KindCount if there is none of that name.
func ParseKind(name string) Kind {
	if k := slices.Index(kindNames[:], name); k >= 0 {
		return Kind(k)
	}
	return KindCount
}

// Impairment is the impairment of a path in one direction. Concurrent faults add up.
type Impairment struct {
	Cuts      int           // number of cuts; above 0: nothing passes
	Delay     time.Duration // added
	LossRate  float64       // part of the segments that are delayed by RetransmitDelay, and of the datagrams that are dropped
	Throttles int           // number of throttles; above 0: 64 bytes pass each 20 ms
}

// RetransmitDelay is the additional delay of a lost segment of a connection.
const RetransmitDelay = 200 * time.Millisecond

// Network is the network between sites. It is safe for concurrent use. What each segment needs takes no lock, see transit.
type Network struct {
	siteCount      int
	sameSiteDelay  [2]time.Duration
	crossSiteDelay [2]time.Duration
	state          atomic.Pointer[networkState] // replaced under mu
	random         randomSequence
	traffic        [KindCount]trafficCounters

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	listeners []*Listener
}

// networkState holds the impairments at a time. It is never modified: a change replaces it.
type networkState struct {
	impairments []Impairment  // by kind, from, to
	changed     chan struct{} // closed when the state is replaced
}

// randomSequence is a seeded sequence of random numbers (SplitMix64) that many goroutines may draw from without a lock.
type randomSequence struct{ state atomic.Uint64 }

// float64 returns the next number, in [0, 1).
func (s *randomSequence) float64() float64 {
	x := s.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// trafficCounters are the counters behind a Traffic.
type trafficCounters struct{ opened, messages, bytes atomic.Uint64 }

// Traffic counts the connections, segments or datagrams, and bytes of a kind of path.
type Traffic struct{ Opened, Messages, Bytes uint64 }

// New returns a network between sites without impairments. The delays are the least and the greatest one-way delay within
// a site and between sites.
func New(siteCount int, sameSiteDelay, crossSiteDelay [2]time.Duration, seed uint64) *Network {
	n := &Network{siteCount: siteCount, sameSiteDelay: sameSiteDelay, crossSiteDelay: crossSiteDelay, conns: map[*Conn]struct{}{}}
	n.random.state.Store(seed)
	n.state.Store(&networkState{make([]Impairment, int(KindCount)*siteCount*siteCount), make(chan struct{})})
	return n
}

// index returns the index of a path in networkState.impairments.
func (n *Network) index(k Kind, from, to int) int {
	return (int(k)*n.siteCount+from)*n.siteCount + to
}

// UpdateImpairments applies update to the impairments of the paths from one site to another, where a site below 0 stands
// for all, of the given kinds or of all. bothWays includes the opposite direction.
func (n *Network) UpdateImpairments(kinds []Kind, from, to int, bothWays bool, update func(*Impairment)) {
	n.mu.Lock()
	old := n.state.Load()
	next := &networkState{slices.Clone(old.impairments), make(chan struct{})}
	for k := Kind(0); k < KindCount; k++ {
		if len(kinds) > 0 && !slices.Contains(kinds, k) {
			continue
		}
		for a := range n.siteCount {
			for b := range n.siteCount {
				forth := (from < 0 || a == from) && (to < 0 || b == to)
				back := bothWays && (from < 0 || b == from) && (to < 0 || a == to)
				if forth || back {
					update(&next.impairments[n.index(k, a, b)])
				}
			}
		}
	}
	n.state.Store(next)
	close(old.changed)
	listeners := append([]*Listener(nil), n.listeners...)
	n.mu.Unlock()
	var group sync.WaitGroup // in parallel, as filling a backlog takes some milliseconds
	for _, l := range listeners {
		group.Go(l.updateBacklog)
	}
	group.Wait()
}

// ResetConns resets open connections between the sites, whichever opened them, and returns their number. share is the
// probability for each connection; 0 stands for all.
func (n *Network) ResetConns(kinds []Kind, from, to int, share float64) int {
	n.mu.Lock()
	var hit []*Conn
	for c := range n.conns {
		if len(kinds) > 0 && !slices.Contains(kinds, c.path.Kind) || share > 0 && n.random.float64() >= share {
			continue
		}
		if (from < 0 || c.path.From == from || c.path.To == from) && (to < 0 || c.path.From == to || c.path.To == to) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.Abort()
	}
	return len(hit)
}

// IsOpen reports whether a connection can be established on a path, for which SYN and SYN-ACK have to pass.
func (n *Network) IsOpen(p Path) bool {
	isOpen, _ := n.openState(p)
	return isOpen
}

// openState reports what IsOpen does, and returns a channel that is closed at the next change of impairments.
func (n *Network) openState(p Path) (isOpen bool, changed chan struct{}) {
	state := n.state.Load()
	isOpen = state.impairments[n.index(p.Kind, p.From, p.To)].Cuts == 0 && state.impairments[n.index(p.Kind, p.To, p.From)].Cuts == 0
	return isOpen, state.changed
}

// transit counts a segment and returns its transit time from one site to another, the current impairment, and a channel that
// is closed at the next change of impairments. It takes no lock: each read and write of each connection passes here, and
// on a busy machine they would wait for each other in a row.
func (n *Network) transit(k Kind, from, to, size int) (wait time.Duration, impairment Impairment, changed chan struct{}) {
	state := n.state.Load()
	impairment = state.impairments[n.index(k, from, to)]
	delay := n.sameSiteDelay
	if from != to {
		delay = n.crossSiteDelay
	}
	wait = delay[0] + time.Duration(n.random.float64()*float64(delay[1]-delay[0])) + impairment.Delay
	if impairment.LossRate > 0 && n.random.float64() < impairment.LossRate && k != Peer {
		wait += RetransmitDelay
	}
	if impairment.Throttles > 0 {
		wait += time.Duration(size/64) * 20 * time.Millisecond
	}
	n.traffic[k].messages.Add(1)
	n.traffic[k].bytes.Add(uint64(size))
	return wait, impairment, state.changed
}

// Traffic returns the traffic so far on a kind of path.
func (n *Network) Traffic(k Kind) Traffic {
	counters := &n.traffic[k]
	return Traffic{Opened: counters.opened.Load(), Messages: counters.messages.Load(), Bytes: counters.bytes.Load()}
}

// drawChance returns true with probability p.
func (n *Network) drawChance(p float64) bool { return p > 0 && n.random.float64() < p }
