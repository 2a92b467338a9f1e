package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// closeRaceTimeout bounds the wait for a connection to reach the accept queue of a listener that is about to close: a front
// that has new connections refused or given to another listener by then never gets one.
const closeRaceTimeout = 500 * time.Millisecond

// HookedListener runs functions of a test immediately before and after a listener closes, once each.
type HookedListener struct {
	netpoll.Listener
	Before, After func()
	once          sync.Once
}

// Close implements net.Listener.
func (l *HookedListener) Close() (err error) {
	l.once.Do(func() {
		l.Before()
		err = l.Listener.Close()
		l.After()
	})
	return err
}

// QueuedConns returns the number of connections in the accept queue of a listener: established, and not accepted yet.
func QueuedConns(t *testing.T, l netpoll.Listener) int {
	info, err := unix.GetsockoptTCPInfo(l.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	require.NoError(t, err)
	return int(info.Unacked) // of a listening socket: the length of its accept queue
}

// PausePoller stops the pollers of a node, so that none of its listeners accepts and no connection is read, until resume is called.
// It also stops netpoll's poller, which all nodes of this process have for their connections to workers: tests that use it must
// not run in parallel with others.
func PausePoller(n *Node) (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	resumeOwn := sync.OnceFunc(func() { close(resumed) })
	n.T.Cleanup(resumeOwn)
	n.Gateway.Poller().Do(func() {
		close(paused)
		<-resumed
	})
	<-paused
	resumeNetpoll := pauseNetpoll(n.T)
	return func() {
		resumeOwn()
		resumeNetpoll()
	}
}

// pauseNetpoll stops netpoll's poller until resume is called.
func pauseNetpoll(t *testing.T) (resume func()) {
	l, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	paused, resumed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	resume = func() { once.Do(func() { close(resumed) }) }
	t.Cleanup(resume)
	server, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
		netpoll.WithOnPrepare(func(netpoll.Connection) context.Context { // runs on the poller
			close(paused)
			<-resumed
			return context.Background()
		}))
	require.NoError(t, err)
	go server.Serve(l)
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	<-paused
	return resume
}

// CloseRace is a race of new connections with the close of a listener.
type CloseRace struct {
	t       *testing.T
	results chan error
	clients int
	resume  func()
}

// RaceClose makes clients connect and send between the last accept of a listener and its close. It returns the listener to
// put in place of l. exchange connects, sends a request and reads the answer; it reports an end without an answer as an
// error. A connection that is refused was never established and is no error.
func RaceClose(n *Node, l netpoll.Listener, clients int, exchange func(client int) error) (*HookedListener, *CloseRace) {
	t := n.T
	r := &CloseRace{t: t, results: make(chan error, clients), clients: clients}
	before := func() {
		r.resume = PausePoller(n)
		for i := range clients {
			go func() { r.results <- exchange(i) }()
		}
		for start := time.Now(); QueuedConns(t, l) == 0 && time.Since(start) < closeRaceTimeout; {
			time.Sleep(time.Millisecond)
		}
		t.Log("connections in the accept queue at the close:", QueuedConns(t, l))
	}
	return &HookedListener{Listener: l, Before: before, After: func() { r.resume() }}, r
}

// Failures waits until all clients have ended and returns the errors of those that were not answered.
func (r *CloseRace) Failures() (failures []error) {
	for range r.clients {
		select {
		case err := <-r.results:
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
				failures = append(failures, err)
			}
		case <-time.After(WaitTimeout):
			return append(failures, errors.New("a client did not end"))
		}
	}
	return failures
}

// Exchange connects to an address, sends a request, and has read read the answer. An error names the step that failed.
func Exchange(address, request string, read func(*bufio.Reader) error) error {
	c, err := net.DialTimeout("tcp", address, WaitTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(WaitTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := read(bufio.NewReader(c)); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}
