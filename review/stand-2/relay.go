package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// relay is a proxy before an address. Its hooks are set before it serves.
type relay struct {
	listener net.Listener
	target   string
	// slow makes it pass on what clients send in pieces, over this time; 0: at once.
	slow atomic.Int64
	// losesAnswer says that the next answer is lost: the connection is reset in its place.
	losesAnswer func() bool
}

func startRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(c.(*net.TCPConn))
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) pass(c *net.TCPConn) {
	defer c.Close()
	s, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		defer s.(*net.TCPConn).CloseWrite()
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if n > 0 && r.passOn(s, buf[:n]) != nil || err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := s.Read(buf)
		if n > 0 && r.losesAnswer != nil && r.losesAnswer() {
			c.SetLinger(0)
			return
		}
		if n > 0 {
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

const slowPieces = 16

// passOn writes what a client has sent, in pieces while the path is slow.
func (r *relay) passOn(w io.Writer, data []byte) error {
	over := time.Duration(r.slow.Load())
	if over == 0 {
		_, err := w.Write(data)
		return err
	}
	size := (len(data) + slowPieces - 1) / slowPieces
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		if data = data[n:]; len(data) > 0 {
			time.Sleep(over / (slowPieces - 1))
		}
	}
	return nil
}
