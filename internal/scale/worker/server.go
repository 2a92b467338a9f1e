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

var errInvalidSettings = errors.New("workers, zones and slots must be above 0, and workers at most MaxWorkers")

const (
	loopbackDevice = "lo"
	maxBodyBytes   = 64 << 10
	idleTimeout    = 5 * time.Minute
	addressBlock   = 64 // worker addresses are 127.64.x.y
)

// server accepts the connections to all workers and identifies the worker by the address that was dialled.
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

// startServer opens the listener. A socket bound to a loopback address accepts connections to that address alone, so a
// listener for all worker addresses has to be bound to the wildcard address. It is bound to the loopback device in
// addition, so that no other device reaches it, and the listener rejects peers outside of 127.0.0.0/8.
func startServer(f *Fleet) (*server, error) {
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var bindErr error
		if err := raw.Control(func(fd uintptr) { bindErr = unix.BindToDevice(int(fd), loopbackDevice) }); err != nil {
			return err
		}
		return bindErr
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

// address returns a worker's address.
func (s *server) address(worker int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, addressBlock, byte(worker >> 8), byte(worker)}), s.port)
}

// workerAt returns the number of the worker at an address, and whether there is one.
func (s *server) workerAt(a netip.AddrPort) (int, bool) {
	octets := a.Addr().Unmap().As4()
	worker := int(octets[2])<<8 | int(octets[3])
	return worker, octets[0] == 127 && octets[1] == addressBlock && worker < s.fleet.settings.Workers
}

// listener returns connections from the loopback network to workers that are up, and resets all others.
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

// resetConns resets all connections to a worker.
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

// ServeHTTP handles a probe, a job or a cancellation.
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
	runTime, err := time.ParseDuration(string(body))
	id := r.Header.Get(platform.HeaderID)
	if err != nil || id == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.fleet.accept(c.worker, id, runTime) {
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	rw.Header().Set(platform.HeaderUnprocessed, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}
