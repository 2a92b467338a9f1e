// Package relay stands on every path between the processes of a rig: it delays, loses, cuts, resets and trickles what
// passes, by the pair of sites and the kind of path. One end of each path is the rig's own, so that a relay is a
// connection that holds back what it carries, and a listener that can fall silent. Datagrams pass a socket between.
package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Kind is what a path carries.
type Kind uint8

// The kinds of paths, from the side that opens the connection.
const (
	Client   Kind = iota // clients to schedulers
	Job                  // schedulers to table workers
	Callback             // table workers to schedulers
	List                 // schedulers to discovery
	Peer                 // schedulers to schedulers
	KindCount
)

var kindNames = [KindCount]string{"client", "job", "back", "list", "peer"}

// String is a kind's name in scenario files and records.
func (k Kind) String() string { return kindNames[k] }

// KindOf gives a kind by its name; Kinds: there is none of it.
func ParseKind(name string) Kind {
	if k := slices.Index(kindNames[:], name); k >= 0 {
		return Kind(k)
	}
	return KindCount
}

// Trouble is what a path suffers in one direction. Several at once add up.
type Impairment struct {
	Cuts      int           // above 0: nothing passes
	Delay     time.Duration // added
	LossRate  float64       // part of the segments that come a retransmission later, and of datagrams that never do
	Throttles int           // above 0: 64 bytes at a time, 20 ms apart
}

// Retransmit is how much later a lost segment of a connection comes.
const RetransmitDelay = 200 * time.Millisecond

// Net is the network between sites. Its methods may be called from any goroutine.
type Network struct {
	siteCount      int
	sameSiteDelay  [2]time.Duration
	crossSiteDelay [2]time.Duration
	mu             sync.Mutex
	rng            *rand.Rand
	impairments    []Impairment  // by kind, from, to
	changed        chan struct{} // closed at each change
	conns          map[*Conn]struct{}
	listeners      []*Listener
	traffic        [KindCount]Traffic
}

// Traffic is what has passed on a kind of path.
type Traffic struct{ Opened, Messages, Bytes uint64 }

// New makes a network of so many sites; same and cross are the least and the most time one way.
func New(sites int, same, cross [2]time.Duration, seed uint64) *Network {
	return &Network{siteCount: sites, sameSiteDelay: same, crossSiteDelay: cross, rng: rand.New(rand.NewPCG(seed, 0x72656c6179)),
		impairments: make([]Impairment, int(KindCount)*sites*sites), changed: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

func (n *Network) impairment(k Kind, from, to int) *Impairment {
	return &n.impairments[(int(k)*n.siteCount+from)*n.siteCount+to]
}

// Change alters what the paths suffer from one site to another, below 0 for any, for the kinds named or all. With both
// directions the way back is altered too.
func (n *Network) UpdateImpairments(kinds []Kind, from, to int, both bool, f func(*Impairment)) {
	n.mu.Lock()
	for k := Kind(0); k < KindCount; k++ {
		if len(kinds) > 0 && !slices.Contains(kinds, k) {
			continue
		}
		for a := range n.siteCount {
			for b := range n.siteCount {
				forth := (from < 0 || a == from) && (to < 0 || b == to)
				back := both && (from < 0 || b == from) && (to < 0 || a == to)
				if forth || back {
					f(n.impairment(k, a, b))
				}
			}
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
	listeners := append([]*Listener(nil), n.listeners...)
	n.mu.Unlock()
	for _, l := range listeners {
		l.updateBacklog()
	}
}

// Reset breaks the open connections of the paths, in both directions, a share of them (0: all).
func (n *Network) ResetConns(kinds []Kind, from, to int, share float64) int {
	n.mu.Lock()
	var hit []*Conn
	for c := range n.conns {
		if len(kinds) > 0 && !slices.Contains(kinds, c.path.Kind) || share > 0 && n.rng.Float64() >= share {
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

// Open tells whether a connection can come up on a path: its first message and the answer to it both have to pass.
func (n *Network) IsOpen(p Path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.impairment(p.Kind, p.From, p.To).Cuts == 0 && n.impairment(p.Kind, p.To, p.From).Cuts == 0
}

// way gives what a segment from one site to another takes now, whether it is cut off, and what tells of a change.
func (n *Network) transit(k Kind, from, to, size int) (wait time.Duration, t Impairment, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t = *n.impairment(k, from, to)
	ends := n.sameSiteDelay
	if from != to {
		ends = n.crossSiteDelay
	}
	wait = ends[0] + time.Duration(n.rng.Float64()*float64(ends[1]-ends[0])) + t.Delay
	if t.LossRate > 0 && n.rng.Float64() < t.LossRate && k != Peer {
		wait += RetransmitDelay
	}
	if t.Throttles > 0 {
		wait += time.Duration(size/64) * 20 * time.Millisecond
	}
	n.traffic[k].Messages++
	n.traffic[k].Bytes += uint64(size)
	return wait, t, n.changed
}

// Traffic tells what has passed on a kind of path.
func (n *Network) Traffic(k Kind) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[k]
}

// chance draws.
func (n *Network) drawChance(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}
