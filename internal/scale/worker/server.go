package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/traffic"
)

var errInvalidSettings = errors.New("workers, zones and slots have to be above 0, and workers within their bound")

const (
	loopbackDevice = "lo"
	maxBodyBytes   = 64 << 10
	idleTimeout    = 5 * time.Minute
	addressBlock   = 64 // workers are at 127.64.x.y
)

// server takes the connections to all workers and tells by the address that was dialled which of them is meant.
type server struct {
	fleet *Fleet
	http  *http.Server
	port  uint16

	mu    sync.Mutex
	conns map[*workerConn]struct{}
}

// workerConn is a scheduler's connection to a worker.
type workerConn struct {
	*traffic.Conn
	tcp    *net.TCPConn
	worker int
}

type connKey struct{}

// serve opens the one listener. A socket bound to an address of the loopback network takes connections to this address
// alone, so that one for all addresses can be had only without an address. It is bound to the loopback device instead:
// nothing reaches it from another, and a peer outside 127.0.0.0/8 is turned away besides.
func startServer(f *Fleet) (*server, error) {
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) { failed = unix.BindToDevice(int(fd), loopbackDevice) }); err != nil {
			return err
		}
		return failed
	}}
	ln, err := listen.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listener on the loopback device: %w", err)
	}
	s := &server{fleet: f, port: ln.Addr().(*net.TCPAddr).AddrPort().Port(), conns: map[*workerConn]struct{}{}}
	s.http = &http.Server{Handler: s, IdleTimeout: idleTimeout, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				s.removeConn(c.(*workerConn))
			}
		}}
	go s.http.Serve(&listener{Listener: ln, server: s})
	return s, nil
}

func (s *server) close() { s.http.Close() }

// address is a worker's.
func (s *server) address(worker int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, addressBlock, byte(worker >> 8), byte(worker)}), s.port)
}

// workerAt is the number of the worker at an address.
func (s *server) workerAt(a netip.AddrPort) (int, bool) {
	at := a.Addr().Unmap().As4()
	worker := int(at[2])<<8 | int(at[3])
	return worker, at[0] == 127 && at[1] == addressBlock && worker < s.fleet.settings.Workers
}

// listener gives out connections from the loopback network to workers that are up, and resets all others.
type listener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp := nc.(*net.TCPConn)
		worker, known := l.server.workerAt(tcp.LocalAddr().(*net.TCPAddr).AddrPort())
		peer := tcp.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		if known && peer.IsLoopback() && !l.server.fleet.isDown(worker) {
			c := &workerConn{Conn: l.server.fleet.counter.WrapMixedConn(tcp), tcp: tcp, worker: worker}
			l.server.mu.Lock()
			l.server.conns[c] = struct{}{}
			l.server.mu.Unlock()
			return c, nil
		}
		tcp.SetLinger(0)
		tcp.Close()
	}
}

func (s *server) removeConn(c *workerConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// reset breaks all connections to a worker.
func (s *server) resetConns(worker int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.worker == worker {
			c.tcp.SetLinger(0)
			c.tcp.Close()
		}
	}
}

// ServeHTTP takes a probe, a job or a withdrawal.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*workerConn)
	if r.URL.Path == platform.PathLoad {
		c.BeginRequest(traffic.Probe)
		io.WriteString(rw, s.fleet.loadReport(c.worker))
		return
	}
	c.BeginRequest(traffic.Job)
	if r.Method == http.MethodDelete {
		s.fleet.cancel(c.worker, strings.TrimPrefix(r.URL.Path, platform.PathJobs))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	c.EndRequest()
	if err != nil {
		return
	}
	runs, err := time.ParseDuration(string(body))
	id := r.Header.Get(platform.HeaderID)
	if err != nil || id == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.accept(c.worker, id, runs) {
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	rw.Header().Set(platform.HeaderUnprocessed, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}
