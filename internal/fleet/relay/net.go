// Package relay simulates the network between the processes of a fleet: it delays, drops, cuts, resets and throttles
// traffic by the pair of sites and the kind of path. Packages fleet and endpoints, which hold one end of each path, use its
// connections and listeners; peer datagrams pass a relay socket.
package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
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

// Network is the network between sites. It is safe for concurrent use.
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

// Traffic counts the connections, segments or datagrams, and bytes of a kind of path.
type Traffic struct{ Opened, Messages, Bytes uint64 }

// New returns a network between sites without impairments. The delays are the least and the greatest one-way delay within
// a site and between sites.
func New(siteCount int, sameSiteDelay, crossSiteDelay [2]time.Duration, seed uint64) *Network {
	return &Network{siteCount: siteCount, sameSiteDelay: sameSiteDelay, crossSiteDelay: crossSiteDelay, rng: rand.New(rand.NewPCG(seed, 0x72656c6179)),
		impairments: make([]Impairment, int(KindCount)*siteCount*siteCount), changed: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

// impairment returns the impairment of a path. The caller holds mu.
func (n *Network) impairment(k Kind, from, to int) *Impairment {
	return &n.impairments[(int(k)*n.siteCount+from)*n.siteCount+to]
}

// UpdateImpairments applies update to the impairments of the paths from one site to another, where a site below 0 stands
// for all, of the given kinds or of all. bothWays includes the opposite direction.
func (n *Network) UpdateImpairments(kinds []Kind, from, to int, bothWays bool, update func(*Impairment)) {
	n.mu.Lock()
	for k := Kind(0); k < KindCount; k++ {
		if len(kinds) > 0 && !slices.Contains(kinds, k) {
			continue
		}
		for a := range n.siteCount {
			for b := range n.siteCount {
				forth := (from < 0 || a == from) && (to < 0 || b == to)
				back := bothWays && (from < 0 || b == from) && (to < 0 || a == to)
				if forth || back {
					update(n.impairment(k, a, b))
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

// ResetConns resets open connections between the sites, whichever opened them, and returns their number. share is the
// probability for each connection; 0 stands for all.
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

// IsOpen reports whether a connection can be established on a path, for which SYN and SYN-ACK have to pass.
func (n *Network) IsOpen(p Path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.impairment(p.Kind, p.From, p.To).Cuts == 0 && n.impairment(p.Kind, p.To, p.From).Cuts == 0
}

// transit counts a segment and returns its transit time from one site to another, the current impairment, and a channel that
// is closed at the next change of impairments.
func (n *Network) transit(k Kind, from, to, size int) (wait time.Duration, impairment Impairment, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	impairment = *n.impairment(k, from, to)
	delay := n.sameSiteDelay
	if from != to {
		delay = n.crossSiteDelay
	}
	wait = delay[0] + time.Duration(n.rng.Float64()*float64(delay[1]-delay[0])) + impairment.Delay
	if impairment.LossRate > 0 && n.rng.Float64() < impairment.LossRate && k != Peer {
		wait += RetransmitDelay
	}
	if impairment.Throttles > 0 {
		wait += time.Duration(size/64) * 20 * time.Millisecond
	}
	n.traffic[k].Messages++
	n.traffic[k].Bytes += uint64(size)
	return wait, impairment, n.changed
}

// Traffic returns the traffic so far on a kind of path.
func (n *Network) Traffic(k Kind) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[k]
}

// drawChance returns true with probability p.
func (n *Network) drawChance(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < p
}
