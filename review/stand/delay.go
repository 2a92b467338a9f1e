package stand

import (
	"net"
	"time"
)

// DelayProxy passes connections on to an address and delays what goes through, one way as the other: the distance between
// two sites.
type DelayProxy struct {
	Address, Target string
	Delay           time.Duration

	listener net.Listener
}

// StartDelayProxy starts a proxy.
func StartDelayProxy(p *DelayProxy) error {
	ln, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.listener = ln
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				to, err := net.DialTimeout("tcp", p.Target, time.Second)
				if err != nil {
					from.(*net.TCPConn).SetLinger(0)
					from.Close()
					return
				}
				go p.pass(from.(*net.TCPConn), to.(*net.TCPConn))
				p.pass(to.(*net.TCPConn), from.(*net.TCPConn))
			}()
		}
	}()
	return nil
}

// Close ends the proxy's listener.
func (p *DelayProxy) Close() { p.listener.Close() }

type delayed struct {
	due  time.Time
	data []byte // nil: the end
	err  error
}

func (p *DelayProxy) pass(from, to *net.TCPConn) {
	queue := make(chan delayed, 1024)
	go func() {
		for item := range queue {
			time.Sleep(time.Until(item.due))
			if item.data == nil {
				if item.err != nil && item.err.Error() != "EOF" { // a reset goes on as a reset
					to.SetLinger(0)
					to.Close()
				} else {
					to.CloseWrite()
				}
				return
			}
			if _, err := to.Write(item.data); err != nil {
				from.SetLinger(0)
				from.Close()
			}
		}
	}()
	for {
		buf := make([]byte, 16<<10)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- delayed{due: time.Now().Add(p.Delay), data: buf[:n]}
		}
		if err != nil {
			queue <- delayed{due: time.Now().Add(p.Delay), err: err}
			close(queue)
			return
		}
	}
}
