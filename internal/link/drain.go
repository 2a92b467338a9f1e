package link

import (
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
)

// Times of a listener's drain.
const (
	// handshakeGrace is how long a drain waits for handshakes that had begun before it. One that takes longer is dropped
	// by the close, and its client's next retransmission goes to whoever listens then.
	handshakeGrace = 50 * core.Millisecond
	// drainPollInterval is the interval at which the accept queue is examined after that.
	drainPollInterval = 5 * core.Millisecond
	// maxDrainPolls bounds the polls that find connections in the queue where the kernel goes on putting new ones there.
	// Polls are counted instead of time, since a process that was stopped has not accepted meanwhile.
	maxDrainPolls = 20
)

// DrainingListener is a listener whose Close resets no connection that the kernel has established. Linux resets the accept
// queue of a listening socket that is closed. Close therefore only begins a drain: the kernel ignores new connection
// attempts, whose clients repeat them after 1 s and reach whoever listens at the address by then, the poller goes on
// accepting, and the socket is closed once its accept queue is empty. With SteerToSuccessor, the kernel gives new
// connections to the successor at once.
//
// Accept runs on the poller, Registered on any goroutine, all other methods on the loop.
type DrainingListener struct {
	netpoll.Listener
	name   string // of the front, for the log
	loop   *core.Loop
	log    *slog.Logger
	socket drainableSocket // nil: the accept queue is unknown

	hasBegun        bool      // the drain
	begun           core.Time // of the drain
	hasSuccessor    bool      // exactly one other process listens at the address
	steers          bool      // the kernel gives new connections to it
	ignoresNew      bool      // the kernel ignores new connection attempts
	polls           int
	closed          bool
	isDraining      atomic.Bool
	drained         atomic.Int64 // connections accepted since the drain began
	pendingAccepts  atomic.Int64 // accepts in progress, and accepted connections not registered on the loop yet
	openConns       atomic.Int64 // accepted and not closed
	maxOpenConns    int64        // 0: no limit
	onListenerClose []func()
}

// drainableSocket is what a drain needs of a listening socket.
type drainableSocket interface {
	// steerToSuccessor makes the kernel give new connections to the successor's listener.
	steerToSuccessor() error
	// stopSteering undoes steerToSuccessor.
	stopSteering() error
	// ignoreNewConnections makes the kernel ignore new connection attempts.
	ignoreNewConnections() error
	// queuedConnections returns the length of the accept queue.
	queuedConnections() (int, error)
}

// NewDrainingListener returns a draining listener in place of one that Listen has returned. name stands in the log.
func NewDrainingListener(l netpoll.Listener, name string, loop *core.Loop, log *slog.Logger) *DrainingListener {
	d := &DrainingListener{Listener: l, name: name, loop: loop, log: log}
	if tolerant, ok := l.(tolerantListener); ok {
		d.socket, _ = tolerant.Listener.(drainableSocket)
	}
	return d
}

// Accept implements net.Listener. A connection counts as pending from before it leaves the accept queue, so that at no
// moment it is neither in the queue nor counted.
func (d *DrainingListener) Accept() (net.Conn, error) {
	d.pendingAccepts.Add(1)
	nc, err := d.Listener.Accept()
	switch {
	case nc == nil:
		d.pendingAccepts.Add(-1)
	case d.openConns.Add(1) > d.maxOpenConns && d.maxOpenConns > 0:
		d.reject(nc, OverBudget)
		return nil, nil
	case hasLeft(nc):
		d.reject(nc, PeerClosed)
		return nil, nil
	case d.isDraining.Load():
		d.drained.Add(1)
	}
	return nc, err
}

// LimitOpen sets the number of connections above which new ones are closed at once, without a word: a front that is to tell a
// client why it closes the connection needs a descriptor for that. It must be called before the listener is served, and
// Closed for each connection that Accept returns.
func (d *DrainingListener) LimitOpen(connections int) { d.maxOpenConns = int64(connections) }

// Closed records that a connection that Accept has returned is closed. It may be called on any goroutine.
func (d *DrainingListener) Closed() { d.openConns.Add(-1) }

// hasLeft reports whether the peer of a connection that is accepted has already closed it, and has sent nothing.
func hasLeft(nc net.Conn) bool {
	conn, ok := nc.(*acceptedConn)
	if !ok {
		return false
	}
	events := []unix.PollFd{{Fd: int32(conn.fd), Events: unix.POLLRDHUP}}
	if n, err := unix.Poll(events, 0); err != nil || n == 0 { // returns at once
		return false
	}
	unread, err := unix.IoctlGetInt(conn.fd, unix.TIOCINQ)
	return err == nil && unread == 0
}

// reject closes a connection that no front gets.
func (d *DrainingListener) reject(nc net.Conn, reason string) {
	peer := nc.RemoteAddr().String()
	nc.Close()
	d.Closed()
	d.pendingAccepts.Add(-1)
	d.loop.Post(func() { LogEnd(d.log, d.name, peer, reason, 0, 0) })
}

// Registered records that a connection that Accept has returned is registered on the loop, or was closed.
func (d *DrainingListener) Registered() { d.pendingAccepts.Add(-1) }

// IsClosed reports whether the drain is complete and the socket closed.
func (d *DrainingListener) IsClosed() bool { return d.closed }

// HasPendingAccepts reports whether a connection is being accepted, or not registered yet. Once the listener is closed, a
// false result is final.
func (d *DrainingListener) HasPendingAccepts() bool { return d.pendingAccepts.Load() > 0 }

// OnClosed adds a function that is called on the loop when the socket has been closed.
func (d *DrainingListener) OnClosed(f func()) { d.onListenerClose = append(d.onListenerClose, f) }

// SteerToSuccessor makes a drain that begins later give new connections to the successor. Exactly one other process must
// listen at the address.
func (d *DrainingListener) SteerToSuccessor() { d.hasSuccessor = true }

// Close implements net.Listener: it begins the drain. A second call has no effect.
func (d *DrainingListener) Close() error {
	if d.hasBegun {
		return nil
	}
	d.hasBegun, d.begun = true, d.loop.Now()
	d.isDraining.Store(true)
	d.holdOffNewConnections()
	// The grace counts from the next turn, whose clock is read after the call: this turn's may be late.
	d.loop.Post(func() { d.loop.At(d.loop.Now()+handshakeGrace, d.poll) })
	return nil
}

// holdOffNewConnections makes the kernel steer new connections to a successor, and ignore those that come all the same. An
// option that the kernel refuses is done without.
func (d *DrainingListener) holdOffNewConnections() {
	if d.socket == nil {
		return
	}
	if d.hasSuccessor {
		err := d.socket.steerToSuccessor()
		if d.steers = err == nil; err != nil {
			d.log.Debug("listener: new connections can't be steered to the successor", "front", d.name, "error", err)
		}
	}
	err := d.socket.ignoreNewConnections()
	if d.ignoresNew = err == nil; err != nil {
		d.log.Debug("listener: new connections can't be held off while it drains", "front", d.name, "error", err)
	}
}

// poll closes the socket if its accept queue is empty. A queue that new connections no longer enter is waited for without a
// bound, as only accepts can change it; any other one has maxDrainPolls to become empty.
func (d *DrainingListener) poll() {
	queued := 0
	if d.socket != nil {
		var err error
		if queued, err = d.socket.queuedConnections(); err != nil {
			d.log.Debug("listener: the accept queue can't be examined", "front", d.name, "error", err)
			queued = 0
		}
	}
	if d.polls++; queued > 0 && (d.ignoresNew || d.polls < maxDrainPolls) {
		d.loop.At(d.loop.Now()+drainPollInterval, d.poll)
		return
	}
	d.closed = true
	if d.steers {
		if err := d.socket.stopSteering(); err != nil {
			d.log.Debug("listener: new connections are still steered", "front", d.name, "error", err)
		}
	}
	if err := d.Listener.Close(); err != nil {
		d.log.Debug("listener: close", "front", d.name, "error", err)
	}
	d.log.Info("listener closed", "front", d.name, "accepted", d.drained.Load(), "drain_ms", (d.loop.Now()-d.begun)/core.Millisecond,
		"queued", queued, "ignored_new", d.ignoresNew, "steered", d.steers)
	for _, f := range d.onListenerClose {
		f()
	}
}
