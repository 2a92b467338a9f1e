// Package link owns one connection, accepted by package reactor or dialed by netpoll: its writer, its buffer, its end and its log
// line. The fronts, the pool of connections to the workers and the discovery watch call it.
//
// # Ownership of the read buffer
//
// On an accepted connection a turn (see Link.HandleInput) posts one complete message to the loop and pauses the connection. On a
// dialed one netpoll calls OnRequest on one of its goroutines as long as input is unread, and Link.Read waits for one complete
// message, posts it and blocks. From then on the loop owns the buffer until it calls ReleaseBuffer, exactly once; only then does
// the connection go on. So a connection has at most one message in processing, and a request is kept
// without a copy for as long as it is open in the core.
package link

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bytedance/gopkg/util/gopool"
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
	"cobaltflow/internal/reactor"
)

// Reasons for which a connection ends, as written to its log line.
const (
	PeerClosed       = "peer-closed" // the peer closed the connection
	Answered         = "answered"    // closed after an answer that announced it
	BadInput         = "bad-input"   // the input was invalid
	SlowInput        = "slow-input"  // a message was not complete in time
	NotReading       = "not-reading" // the peer did not read what was written
	Flooding         = "flooding"    // the peer sent more than may be read ahead
	IdleTimeout      = "idle"        // the connection was idle for too long
	AttemptCancelled = "given-up"    // an attempt was cancelled before the worker accepted it
	NoAnswer         = "no-answer"   // a call was not answered in time
	OverBudget       = "over-budget" // too many connections of its party (clients, workers)
	OverMemory       = "over-memory" // it held most of the bytes that the process may hold for all clients
	ConnectFailed    = "refused"     // the connection was never established
	AddressChanged   = "moved"       // the peer has another address now
	Shutdown         = "shut-down"   // the process ends
)

// Limits of a connection.
const (
	readTimeout  = 10 * time.Second // for an incomplete message to be completed
	writeTimeout = 2 * time.Second  // for the peer to accept written data
	// MaxReadAheadBytes bounds the input that may wait unread behind a message in processing.
	MaxReadAheadBytes = 64 << 10

	lingerTimeout  = 300 * core.Millisecond // for the peer to close its side after CloseWrite
	maxLingerBytes = 128 << 10              // discarded input of a dialed connection above which it is closed as flooding
)

// Link is one connection with its writer. The fields belong to the loop goroutine, except for the outbox, which mu
// guards, and those that are marked as OnRequest's.
type Link struct {
	Conn          Conn   // the underlying connection
	Party         string // kind of peer, for the log line
	Peer          string // the peer's address
	Opened        core.Time
	ReceivedAt    core.Time // when the last bytes of the message were read that the loop has from Read until ReleaseBuffer
	MessageCount  int       // messages received or, on a connection to a worker, calls started
	Ended         bool      // the connection has ended and its log line is written, see MarkEnded
	ClosedLocally bool      // Close was called; the end event may still be pending
	CloseReason   string    // why this side closes the connection; empty: the peer closed it
	OnClose       func()    // called by Close before the buffer is released: slices of it are invalid from then on
	OnAbandon     func()    // called when the link is about to be closed over the account's limit: drops what the front keeps for it
	// CountsQueuedTime makes ReceivedAt the time of arrival, as far as the kernel tells it, in place of that of the read. It is
	// set before anything is read.
	CountsQueuedTime bool

	accepted *reactor.Conn // Conn, if it was accepted; nil: it was dialed
	message  []byte        // of an accepted connection: the buffer of the message that the loop has, see HandleInput
	buffers  *reactor.Buffers
	needed   int            // bytes that the next message has at least; used by HandleInput alone
	input    netpoll.Reader // of a dialed connection

	released          chan struct{} // OnRequest waits here while the loop owns its buffer
	hasPendingMessage atomic.Bool   // a message is complete and its buffer not released yet
	discardsInput     atomic.Bool   // input is skipped from now on
	lingers           atomic.Bool   // CloseWrite was called: discarded input counts from now on
	discardedBytes    int           // bytes skipped since CloseWrite; used by OnRequest alone
	isWriteClosed     bool          // the writing side is closed; the peer's may stay open for a moment

	mu          sync.Mutex
	outbox      []Outgoing
	isWriting   bool
	isFDClosed  bool         // the descriptor is being closed: its number may soon be reused
	queuedBytes atomic.Int64 // bytes that the peer has not accepted yet
	held        holding
}

// Outgoing is a message to write.
type Outgoing struct {
	Message    []byte      // must not be modified after Send: it may be written after the turn
	Done       func(error) // posted to the loop when the message is written or has failed; may be nil
	CloseAfter bool        // the writing side is closed behind this message, see Link.CloseWrite

	heldBytes int // that the message keeps in memory, those included that are written already
}

// Conn is what a link needs of its connection.
type Conn interface {
	Write(b []byte) (int, error)
	Close() error
	IsActive() bool
}

// Init prepares a link for a connection that was dialed. It must be called before anything is read from the connection. party and
// peer stand in its log line: party is the kind of peer, peer its address.
func (l *Link) Init(nc netpoll.Connection, party, peer string, now core.Time) {
	l.Conn, l.Party, l.Peer, l.Opened, l.released = nc, party, peer, now, make(chan struct{}, 1)
	l.input = nc.Reader()
	nc.SetReadTimeout(readTimeout)
	nc.SetWriteTimeout(writeTimeout)
	nc.AddCloseCallback(func(netpoll.Connection) error { // runs before netpoll's own callback, which closes the descriptor
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isFDClosed = true
		return nil
	})
}

// InitAccepted is Init for a connection that was accepted.
func (l *Link) InitAccepted(conn *reactor.Conn, buffers *reactor.Buffers, party string) {
	l.Conn, l.accepted, l.buffers, l.Party, l.Peer = conn, conn, buffers, party, conn.RemoteAddr().String()
	conn.SetWriteTimeout(writeTimeout)
}

// withFD calls f with the connection's descriptor, unless that is closed.
func (l *Link) withFD(f func(fd int)) {
	if l.accepted != nil {
		l.accepted.WithFD(f)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.Conn.(netpoll.Conn); ok && !l.isFDClosed {
		f(conn.Fd())
	}
}

// UnreadBytes returns how much input has arrived that was not handled. Of an accepted connection it is in the kernel, of a dialed
// one it has been read.
func (l *Link) UnreadBytes() int {
	if l.accepted != nil {
		return l.accepted.Unread()
	}
	return l.input.Len()
}

// MayHaveMessage reports whether an accepted connection has a complete message that was not released, or input that waits for its
// turn and may be one.
func (l *Link) MayHaveMessage() bool {
	// In this order: a message is pending before its bytes are consumed.
	return l.accepted.HasUnseenInput() || l.HasPendingMessage()
}

// IsPeerGone is HasPeerEnded by the present state of the system, which the poller may have to learn yet.
func (l *Link) IsPeerGone() bool { return l.accepted != nil && l.accepted.IsPeerGone() }

// ReleaseBuffer returns the buffer to OnRequest and never blocks. One call is due for each message: a second one would
// release the next message too early.
func (l *Link) ReleaseBuffer() {
	if l.accepted != nil {
		l.releaseMessage()
		return
	}
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// Send queues a message and never blocks: a goroutine writes it. The connection is closed when the peer does not accept
// the message within writeTimeout.
func (l *Link) Send(loop *core.Loop, o Outgoing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.heldBytes = cap(o.Message)
	if l.sendAtOnce(loop, &o) {
		return
	}
	l.outbox = append(l.outbox, o)
	l.queuedBytes.Add(int64(len(o.Message)))
	l.Hold(o.heldBytes)
	if !l.isWriting {
		l.isWriting = true
		// A pooled goroutine, as netpoll uses them: the stack of a new one would have to grow for each message.
		gopool.Go(func() { l.write(loop) })
		if l.accepted != nil && l.DiscardsInput() {
			l.accepted.TakeTurnSoon()
			l.accepted.Resume()
		}
	}
}

// sendAtOnce writes what the system takes of a message without waiting, if nothing is being written, and reports whether that was
// all of it. Link.mu is held. An error is left to the writer.
func (l *Link) sendAtOnce(loop *core.Loop, o *Outgoing) (isDone bool) {
	if l.accepted == nil || l.isWriting {
		return false
	}
	n, err := l.accepted.TryWrite(o.Message)
	if err != nil {
		return false
	}
	if o.Message = o.Message[n:]; len(o.Message) > 0 {
		return false
	}
	l.finishMessage(loop, o, nil)
	return true
}

// finishMessage posts what follows from the end of a message's write.
func (l *Link) finishMessage(loop *core.Loop, o *Outgoing, err error) {
	if done := o.Done; done != nil {
		loop.Post(func() { done(err) })
	}
	if err != nil {
		loop.Post(func() { l.Close(NotReading) })
	} else if o.CloseAfter {
		loop.Post(func() { l.CloseWrite(loop, Answered) })
	}
}

func (l *Link) write(loop *core.Loop) {
	for {
		l.mu.Lock()
		if len(l.outbox) == 0 {
			l.isWriting = false
			l.mu.Unlock()
			return
		}
		o := l.outbox[0]
		l.outbox[0] = Outgoing{} // the array would hold the message until it is replaced
		l.outbox = l.outbox[1:]
		l.mu.Unlock()
		l.held.beginWrite(int64(o.heldBytes))
		err := l.writeMessage(o.Message)
		l.queuedBytes.Add(-int64(len(o.Message)))
		l.held.endWrite()
		l.finishMessage(loop, &o, err)
	}
}

// MaxPartBytes is the largest part of a message that is written at once, as netpoll copies what it is given to write. A front
// that collects what it has to say in a turn passes it to Send in parts of about this size: an array that grows is held twice.
const MaxPartBytes = 128 << 10

// writeMessage writes a message in parts. It blocks until the peer has accepted all of it, or none of a part within
// writeTimeout.
func (l *Link) writeMessage(message []byte) error {
	for {
		part := message[:min(len(message), MaxPartBytes)]
		// Write instead of Writer: a connection that ends releases its buffers at once, and only Write takes the lock
		// with which netpoll guards them. Writer caused a crash on a message to a peer that had just disconnected.
		if !l.Conn.IsActive() {
			return errConnEnded
		}
		if err := l.writePart(part); err != nil {
			return err
		}
		if message = message[len(part):]; len(message) == 0 {
			return nil
		}
	}
}

// writePart writes a part of a message. netpoll copies what it is given.
func (l *Link) writePart(part []byte) error {
	if l.accepted == nil {
		l.Hold(len(part))
		defer l.Hold(-len(part))
	}
	_, err := l.Conn.Write(part)
	return err
}

var errConnEnded = errors.New("connection already ended")

// NeverSent reports whether a write failed in the call itself, so that the last byte certainly did not leave. A write
// that was still waiting when the connection ended may have been completed by the poller.
func NeverSent(err error) bool {
	return errors.Is(err, errConnEnded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ENOTCONN)
}

// DiscardInput skips all further input without parsing it. The connection stays open so that the peer can read the reason for
// its end: until that is written, however much the peer sends, and from CloseWrite on for maxLingerBytes.
func (l *Link) DiscardInput() {
	l.discardsInput.Store(true)
	if l.accepted != nil {
		l.accepted.TakeTurnSoon() // it may wait for the rest of a message
	}
}

// HasPendingMessage reports whether a complete message waits for the loop or is being processed by it.
func (l *Link) HasPendingMessage() bool { return l.hasPendingMessage.Load() }

// HasUnreadInput reports whether input has arrived whose message was not released: in the read buffer, or in the kernel, where it
// is while the poller is behind. It is called on the loop.
func (l *Link) HasUnreadInput() bool {
	if l.UnreadBytes() > 0 {
		return true
	}
	if l.accepted != nil {
		return l.HasPendingMessage() // asked for second: a message is pending before its bytes are consumed
	}
	unread := 0
	l.withFD(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil { // else the read buffer decides
			unread = n
		}
	})
	return unread > 0
}

// CloseWrite closes the writing side of the connection (TCP FIN) behind all that was written, which must already have
// been passed to the system. Further input is skipped and never processed: the peer reads the end and may send
// elsewhere any request that was under way.
//
// Input is skipped because a close with unread input resets the connection, and the reset may destroy an answer that
// the peer has not read yet. The connection is closed when the peer closes its side, or after lingerTimeout. The first
// reason given is kept.
func (l *Link) CloseWrite(loop *core.Loop, reason string) {
	if l.isWriteClosed || l.ClosedLocally || l.Ended {
		return
	}
	l.isWriteClosed = true
	// An error means that the peer has already disconnected, which the close callback reports.
	l.withFD(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	l.DiscardInput()
	l.lingers.Store(true)
	if l.CloseReason == "" {
		l.CloseReason = reason
	}
	loop.At(loop.Now()+lingerTimeout, func() {
		if !l.Ended {
			l.Close(reason)
		}
	})
}

// IsWriteClosed reports whether CloseWrite has closed the writing side.
func (l *Link) IsWriteClosed() bool { return l.isWriteClosed }

// Close closes the connection from this side. The first reason given is kept.
func (l *Link) Close(reason string) {
	if l.CloseReason == "" {
		l.CloseReason = reason
	}
	l.ClosedLocally = true
	if l.OnClose != nil {
		l.OnClose()
	}
	l.ReleaseBuffer()
	l.Conn.Close()
}

// Abort closes the connection with a reset (TCP RST), which drops the data that the peer has not acknowledged. After
// Close the system would go on sending that data, for minutes on a broken network path, and the peer might act on it
// after the caller has given up.
func (l *Link) Abort(reason string) {
	// An error means that the peer has already disconnected.
	l.withFD(func(fd int) {
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	l.Close(reason)
}

// MarkEnded records the end of the connection and writes its log line. It returns false if that was done before.
func (l *Link) MarkEnded(log *slog.Logger, now core.Time) (first bool) {
	if l.Ended {
		return false
	}
	l.Ended = true
	l.endHolding()
	reason := l.CloseReason
	if reason == "" {
		reason = PeerClosed
	}
	LogEnd(log, l.Party, l.Peer, reason, l.MessageCount, now-l.Opened)
	return true
}

// LogEnd writes the log line of an ended connection, and counts it. attrs are further keys and values.
func LogEnd(log *slog.Logger, party, peer, reason string, messages int, age core.Time, attrs ...any) {
	endCounts.add(reason)
	log.Info("conn end", append([]any{"party", party, "peer", peer, "reason", reason, "messages", messages,
		"age_ms", age / core.Millisecond}, attrs...)...)
}

// QueuedBytes returns the number of bytes that the peer has not accepted yet.
func (l *Link) QueuedBytes() int64 { return l.queuedBytes.Load() }

// IsWriterIdle reports whether nothing waits to be written.
func (l *Link) IsWriterIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isWriting
}
