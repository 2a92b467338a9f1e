package platform

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

const (
	maxUnsentPeerMessages    = 64  // messages that wait for the socket; past it one is dropped, as the network may drop one
	maxUnhandledPeerMessages = 512 // messages that wait for the loop; past it one is dropped
)

// peers carries the messages between schedulers: datagrams, which may be lost. netpoll knows no UDP, so that the
// socket is the standard library's, with a goroutine for each direction; the loop waits for neither.
type peers struct {
	f         *Front
	socket    *net.UDPConn
	ranks     map[netip.AddrPort]int
	out       chan []byte
	unhandled atomic.Int64 // messages heard that the loop has not taken yet
	dropped   atomic.Int64 // in either direction
}

// PeerAddress is where other schedulers' messages arrive; without peers it is not valid.
func (f *Front) PeerAddress() netip.AddrPort {
	if f.peers == nil {
		return netip.AddrPort{}
	}
	return f.peers.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// listenToPeers opens the socket. Without peers nothing is opened.
func (f *Front) openPeerSocket() error {
	conf := &f.conf.Peers
	if conf.Listen == "" {
		return nil
	}
	socket, err := link.ListenUDP(conf.Listen)
	if err != nil {
		return &config.Error{Key: "peer_listen", Text: err.Error()}
	}
	p := &peers{f: f, socket: socket, ranks: make(map[netip.AddrPort]int, len(conf.Each)), out: make(chan []byte, maxUnsentPeerMessages)}
	for rank, a := range conf.Each {
		p.ranks[a] = rank
	}
	f.peers = p
	f.core.Broadcast = p.broadcast
	go p.sendLoop(conf.All)
	go p.receiveLoop()
	return nil
}

// tell never waits: a message that finds the queue full is lost, which the decisions bear.
func (p *peers) broadcast(data []byte) {
	select {
	case p.out <- append([]byte(nil), data...):
	default:
		p.dropped.Add(1)
	}
}

func (p *peers) sendLoop(all netip.AddrPort) {
	for data := range p.out {
		if _, err := p.socket.WriteToUDPAddrPort(data, all); err != nil {
			p.dropped.Add(1)
		}
	}
}

// read hears until the socket is closed. A message of nobody known, or one that is too long, is let pass.
func (p *peers) receiveLoop() {
	buf := make([]byte, core.MaxPeerMessageBytes+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		rank, known := p.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || n > core.MaxPeerMessageBytes {
			continue
		}
		if p.unhandled.Add(1) > maxUnhandledPeerMessages {
			p.unhandled.Add(-1)
			p.dropped.Add(1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		p.f.loop.Post(func() {
			p.unhandled.Add(-1)
			p.f.core.PeerMessage(rank, data)
		})
	}
}

// close ends both directions; nothing is told any more.
func (p *peers) close() {
	p.f.core.Broadcast = nil
	close(p.out)
	p.socket.Close()
	if n := p.dropped.Load(); n > 0 {
		p.f.log.Info("peers: messages dropped", "messages", n)
	}
}
