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
	maxUnsentPeerMessages    = 64  // queued for the socket; further ones are dropped, as the network may drop them
	maxUnhandledPeerMessages = 512 // posted to the loop; further ones are dropped
)

// peers exchanges messages with the other schedulers as UDP datagrams, which may be lost. netpoll does not support UDP,
// so the socket is the standard library's, with one goroutine for each direction; the loop never waits for them.
type peers struct {
	front     *Front
	socket    *net.UDPConn
	ranks     map[netip.AddrPort]int // rank of each peer by its address
	outbox    chan []byte
	unhandled atomic.Int64 // messages received that the loop has not processed yet
	dropped   atomic.Int64 // messages dropped in either direction
}

// PeerAddress returns the address at which messages of other schedulers arrive. It is invalid without peers.
func (f *Front) PeerAddress() netip.AddrPort {
	if f.peers == nil {
		return netip.AddrPort{}
	}
	return f.peers.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// openPeerSocket opens the socket and starts its goroutines. Without configured peers it does nothing. An error is a
// *config.Error that names the key peer_listen.
func (f *Front) openPeerSocket() error {
	conf := &f.conf.Peers
	if conf.Listen == "" {
		return nil
	}
	socket, err := link.ListenUDP(conf.Listen)
	if err != nil {
		return &config.Error{Key: "peer_listen", Text: err.Error()}
	}
	p := &peers{front: f, socket: socket, ranks: make(map[netip.AddrPort]int, len(conf.ByRank)), outbox: make(chan []byte, maxUnsentPeerMessages)}
	for rank, a := range conf.ByRank {
		p.ranks[a] = rank
	}
	f.peers = p
	f.core.Broadcast = p.broadcast
	go p.sendLoop(conf.Group)
	go p.receiveLoop()
	return nil
}

// broadcast queues a message for all peers and never blocks. A message that finds the queue full is dropped; the
// protocol tolerates losses.
func (p *peers) broadcast(data []byte) {
	select {
	case p.outbox <- append([]byte(nil), data...):
	default:
		p.dropped.Add(1)
	}
}

// sendLoop writes queued messages until the queue is closed.
func (p *peers) sendLoop(all netip.AddrPort) {
	for data := range p.outbox {
		if _, err := p.socket.WriteToUDPAddrPort(data, all); err != nil {
			p.dropped.Add(1)
		}
	}
}

// receiveLoop reads until the socket is closed. Messages from unknown addresses and messages that are too long are
// ignored.
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
		p.front.loop.Post(func() {
			p.unhandled.Add(-1)
			p.front.core.PeerMessage(rank, data)
		})
	}
}

// close ends both directions; nothing is broadcast any more.
func (p *peers) close() {
	p.front.core.Broadcast = nil
	close(p.outbox)
	p.socket.Close()
	if n := p.dropped.Load(); n > 0 {
		p.front.log.Info("peers: messages dropped", "messages", n)
	}
}
