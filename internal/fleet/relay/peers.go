package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// PeerRelay relays the peer datagrams of schedulers. Each scheduler has a public address at the relay, which the others send
// to and receive from, and listens at an address of its own.
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

// NewPeerRelay opens a public address for each scheduler, given by its site and its own address. lossRate and duplicateRate
// are probabilities for each datagram; delay returns a delay that is added to that of the path.
func (n *Network) NewPeerRelay(sites []int, schedulers []netip.AddrPort, lossRate, duplicateRate float64, delay func() time.Duration) (*PeerRelay, error) {
	p := &PeerRelay{network: n, sites: sites, lossRate: lossRate, duplicateRate: duplicateRate, delay: delay, schedulers: schedulers, ranks: map[netip.AddrPort]int{}}
	open := func() (*net.UDPConn, error) {
		return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	}
	var err error
	if p.broadcast, err = open(); err != nil {
		return nil, err
	}
	for i, address := range schedulers {
		p.ranks[address] = i
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

// receive reads datagrams from c until it is closed, and forwards those that a scheduler has sent. It counts and drops
// datagrams over 256 bytes.
func (p *PeerRelay) receive(c *net.UDPConn, forward func(from int, data []byte)) {
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
		forward(rank, append([]byte(nil), buf[:size]...))
	}
}

// forward sends a datagram to a scheduler after the delay of the path, unless it is lost, and maybe twice.
func (p *PeerRelay) forward(from, to int, data []byte) {
	wait, impairment, _ := p.network.transit(Peer, p.sites[from], p.sites[to], len(data))
	if impairment.Cuts > 0 || p.network.drawChance(p.lossRate) || p.network.drawChance(impairment.LossRate) {
		return
	}
	copies := 1
	if p.network.drawChance(p.duplicateRate) {
		copies = 2
	}
	for range copies {
		time.AfterFunc(wait+p.delay(), func() {
			p.mu.Lock()
			p.delivered++
			p.mu.Unlock()
			p.public[from].WriteToUDPAddrPort(data, p.schedulers[to])
		})
	}
}

// Addresses returns the public addresses of the schedulers, and the broadcast address that reaches all others.
func (p *PeerRelay) Addresses() (each []string, all string) {
	for _, c := range p.public {
		each = append(each, c.LocalAddr().String())
	}
	return each, p.broadcast.LocalAddr().String()
}

// Counts returns the number of delivered datagrams, and of those over 256 bytes, which no scheduler should send.
func (p *PeerRelay) Counts() (passed, tooLong uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delivered, p.tooLong
}

// Close closes all sockets of the relay.
func (p *PeerRelay) Close() {
	p.broadcast.Close()
	for _, c := range p.public {
		c.Close()
	}
}
