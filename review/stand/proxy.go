package stand

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LossyProxy passes connections on to an address. It loses the answer on a connection when Lose says so: what the peer has
// sent goes through, and at the first byte that comes back both sides are reset.
type LossyProxy struct {
	Address, Target string
	// Lose is asked once a connection, with what its peer has sent first.
	Lose func(sent []byte) bool

	rec      *Record
	listener net.Listener
	Lost     atomic.Int64
}

// StartLossyProxy starts a proxy.
func StartLossyProxy(rec *Record, p *LossyProxy) error {
	ln, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.rec, p.listener = rec, ln
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(nc.(*net.TCPConn))
		}
	}()
	return nil
}

// Close ends the proxy's listener.
func (p *LossyProxy) Close() { p.listener.Close() }

func (p *LossyProxy) pass(from *net.TCPConn) {
	defer from.Close()
	nc, err := net.DialTimeout("tcp", p.Target, time.Second)
	if err != nil {
		from.SetLinger(0)
		return
	}
	to := nc.(*net.TCPConn)
	defer to.Close()
	var lose atomic.Bool
	var once sync.Once
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				once.Do(func() { lose.Store(p.Lose(buf[:n])) })
				to.Write(buf[:n])
			}
			if err != nil {
				to.CloseWrite()
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := to.Read(buf)
		if n > 0 {
			if lose.Load() {
				p.Lost.Add(1)
				p.rec.Add("network: an answer of %d bytes is lost, its connection is reset", n)
				from.SetLinger(0)
				to.SetLinger(0)
				return
			}
			from.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}
