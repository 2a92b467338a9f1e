package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Peers relays the datagrams of schedulers. Each is known by an address of ours, from which the others hear it, and
// hears at an address of its own.
type Peers struct {
	net    *Net
	sites  []int
	lost   float64
	twice  float64
	delay  func() time.Duration
	public []*net.UDPConn
	all    *net.UDPConn
	own    []netip.AddrPort
	ranks  map[netip.AddrPort]int

	mu      sync.Mutex
	passed  uint64
	tooLong uint64
}

// NewPeers opens the addresses of schedulers at sites, whose own addresses are own.
func (n *Net) NewPeers(sites []int, own []netip.AddrPort, lost, twice float64, delay func() time.Duration) (*Peers, error) {
	p := &Peers{net: n, sites: sites, lost: lost, twice: twice, delay: delay, own: own, ranks: map[netip.AddrPort]int{}}
	open := func() (*net.UDPConn, error) {
		return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	var err error
	if p.all, err = open(); err != nil {
		return nil, err
	}
	for i, a := range own {
		p.ranks[a] = i
		c, err := open()
		if err != nil {
			p.Close()
			return nil, err
		}
		p.public = append(p.public, c)
	}
	for i, c := range p.public {
		go p.relay(c, func(from int, data []byte) { p.pass(from, i, data) })
	}
	go p.relay(p.all, func(from int, data []byte) {
		for i := range p.public {
			if i != from {
				p.pass(from, i, data)
			}
		}
	})
	return p, nil
}

func (p *Peers) relay(c *net.UDPConn, to func(from int, data []byte)) {
	buf := make([]byte, 2048)
	for {
		size, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		rank, known := p.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			continue
		}
		if size > 256 {
			p.mu.Lock()
			p.tooLong++
			p.mu.Unlock()
			continue
		}
		to(rank, append([]byte(nil), buf[:size]...))
	}
}

func (p *Peers) pass(from, to int, data []byte) {
	wait, t, _ := p.net.way(Peer, p.sites[from], p.sites[to], len(data))
	if t.Cut > 0 || p.net.chance(p.lost) || p.net.chance(t.Lost) {
		return
	}
	times := 1
	if p.net.chance(p.twice) {
		times = 2
	}
	for range times {
		time.AfterFunc(wait+p.delay(), func() {
			p.mu.Lock()
			p.passed++
			p.mu.Unlock()
			p.public[from].WriteToUDPAddrPort(data, p.own[to])
		})
	}
}

// Addresses are those by which the schedulers know one another, and the one that reaches all.
func (p *Peers) Addresses() (each []string, all string) {
	for _, c := range p.public {
		each = append(each, c.LocalAddr().String())
	}
	return each, p.all.LocalAddr().String()
}

// Counts are the datagrams that were delivered, and those over 256 bytes, which never should be.
func (p *Peers) Counts() (passed, tooLong uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed, p.tooLong
}

// Close ends the relaying.
func (p *Peers) Close() {
	p.all.Close()
	for _, c := range p.public {
		c.Close()
	}
}
