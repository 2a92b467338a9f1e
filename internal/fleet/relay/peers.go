package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Peers relays the datagrams of schedulers. Each is known by an address of ours, from which the others hear it, and
// hears at an address of its own.
type PeerRelay struct {
	network       *Network
	sites         []int
	lossRate      float64
	duplicateRate float64
	delay         func() time.Duration
	public        []*net.UDPConn
	broadcast     *net.UDPConn
	schedulers    []netip.AddrPort
	ranks         map[netip.AddrPort]int

	mu        sync.Mutex
	delivered uint64
	tooLong   uint64
}

// NewPeers opens the addresses of schedulers at sites, whose own addresses are own.
func (n *Network) NewPeerRelay(sites []int, own []netip.AddrPort, lost, twice float64, delay func() time.Duration) (*PeerRelay, error) {
	p := &PeerRelay{network: n, sites: sites, lossRate: lost, duplicateRate: twice, delay: delay, schedulers: own, ranks: map[netip.AddrPort]int{}}
	open := func() (*net.UDPConn, error) {
		return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	var err error
	if p.broadcast, err = open(); err != nil {
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
		go p.receive(c, func(from int, data []byte) { p.forward(from, i, data) })
	}
	go p.receive(p.broadcast, func(from int, data []byte) {
		for i := range p.public {
			if i != from {
				p.forward(from, i, data)
			}
		}
	})
	return p, nil
}

func (p *PeerRelay) receive(c *net.UDPConn, to func(from int, data []byte)) {
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

func (p *PeerRelay) forward(from, to int, data []byte) {
	wait, t, _ := p.network.transit(Peer, p.sites[from], p.sites[to], len(data))
	if t.Cuts > 0 || p.network.drawChance(p.lossRate) || p.network.drawChance(t.LossRate) {
		return
	}
	times := 1
	if p.network.drawChance(p.duplicateRate) {
		times = 2
	}
	for range times {
		time.AfterFunc(wait+p.delay(), func() {
			p.mu.Lock()
			p.delivered++
			p.mu.Unlock()
			p.public[from].WriteToUDPAddrPort(data, p.schedulers[to])
		})
	}
}

// Addresses are those by which the schedulers know one another, and the one that reaches all.
func (p *PeerRelay) Addresses() (each []string, all string) {
	for _, c := range p.public {
		each = append(each, c.LocalAddr().String())
	}
	return each, p.broadcast.LocalAddr().String()
}

// Counts are the datagrams that were delivered, and those over 256 bytes, which never should be.
func (p *PeerRelay) Counts() (passed, tooLong uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delivered, p.tooLong
}

// Close ends the relaying.
func (p *PeerRelay) Close() {
	p.broadcast.Close()
	for _, c := range p.public {
		c.Close()
	}
}
