// Package link is one connection on netpoll, accepted or dialed, as both fronts and the pool use it.
//
// # Who holds a buffer
//
// netpoll calls OnRequest on a goroutine of its own, again and again while input is unread, and the
// slices it hands out die on Release. Here OnRequest waits until one whole message is there (Read), posts
// it to the loop and then waits itself. From the post on the loop holds the buffer, until it calls
// Release, once; only then does OnRequest skip the message and give its slices back. So a connection
// has one message in hand at a time, and a request is held, uncopied, for as long as it is open in the core.
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
)

// Reasons for which a connection ends, as they stand in its log line.
const (
	PeerClosed       = "peer-closed" // the other side ended it
	Answered         = "answered"    // ended after an answer that said so
	BadInput         = "bad-input"   // what came could not be taken
	SlowInput        = "slow-input"  // a message did not come to its end in time
	NotReading       = "not-reading" // the peer did not take what was written
	Flooding         = "flooding"    // more came than a peer may send ahead
	IdleTimeout      = "idle"        // stood idle
	AttemptCancelled = "given-up"    // an attempt was withdrawn before it was accepted
	NoAnswer         = "no-answer"   // a call went unanswered for its time
	OverBudget       = "over-budget" // more connections than the budget of its party
	ConnectFailed    = "refused"     // never came up
	AddressChanged   = "moved"       // the peer has another address now
	Shutdown         = "shut-down"   // the program ends
)

// Limits of a connection.
const (
	readTimeout       = 10 * time.Second // for a message to come to its end, once begun
	writeTimeout      = 2 * time.Second  // for a peer to take what is written
	MaxReadAheadBytes = 64 << 10         // bytes that may wait unread behind a message

	lingerTimeout  = 300 * core.Millisecond // for a peer to read the end, and end its side
	maxLingerBytes = 128 << 10              // bytes of it that are read over meanwhile
)

// Link is one connection, accepted or dialed, with its writer. Fields are the loop's but for the
// outbox.
type Link struct {
	Conn          netpoll.Connection
	Party         string
	Peer          string
	Opened        core.Time
	MessageCount  int // messages taken
	Ended         bool
	ClosedLocally bool   // by us; the end is still to come
	CloseReason   string // why we ended it; empty: the peer did
	OnClose       func() // called by Close before the buffer is given back: what is made of it must not be used on

	released          chan struct{} // OnRequest waits here while the loop holds its buffer
	hasPendingMessage atomic.Bool   // a message has come whole, and its buffer was not given back yet
	discardsInput     atomic.Bool   // what comes from now on is read over
	discardedBytes    int           // bytes that were; OnRequest's
	isWriteClosed     bool          // our side has ended; the peer's may go on for a moment

	mu          sync.Mutex
	outbox      []Outgoing
	isWriting   bool
	isFDClosed  bool         // the descriptor is being given back: its number may soon be another's
	queuedBytes atomic.Int64 // bytes that the peer has not taken yet
}

// Outgoing is a message to be written.
type Outgoing struct {
	Message    []byte      // not touched again by the sender: it may be written after the turn
	Done       func(error) // posted to the loop when all is written, or could not be
	CloseAfter bool        // our side of the connection ends with it, see Shut
}

// Init readies a link for a connection; it is called before anything is read.
func (l *Link) Init(nc netpoll.Connection, party, peer string, now core.Time) {
	l.Conn, l.Party, l.Peer, l.Opened, l.released = nc, party, peer, now, make(chan struct{}, 1)
	nc.SetReadTimeout(readTimeout)
	nc.SetWriteTimeout(writeTimeout)
	nc.AddCloseCallback(func(netpoll.Connection) error { // called before netpoll's own, which gives the descriptor back
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isFDClosed = true
		return nil
	})
}

// Release gives the buffer back to OnRequest.
func (l *Link) ReleaseBuffer() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// Send queues a message. It never blocks: a goroutine writes, and where the peer does not take it
// within the write time the connection is closed.
func (l *Link) Send(loop *core.Loop, o Outgoing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbox = append(l.outbox, o)
	l.queuedBytes.Add(int64(len(o.Message)))
	if !l.isWriting {
		l.isWriting = true
		// From a pool, as netpoll's own: a new goroutine's stack would have to grow for each message.
		gopool.Go(func() { l.write(loop) })
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
		l.outbox = l.outbox[1:]
		l.mu.Unlock()
		// Write, not Writer: a connection that ends gives its buffers back at once, and only Write takes
		// netpoll's lock against that. Through Writer a message for a peer that had just gone crashed us.
		err := errConnEnded
		if l.Conn.IsActive() {
			_, err = l.Conn.Write(o.Message)
		}
		l.queuedBytes.Add(-int64(len(o.Message)))
		if o.Done != nil {
			loop.Post(func() { o.Done(err) })
		}
		if err != nil {
			loop.Post(func() { l.Close(NotReading) })
		} else if o.CloseAfter {
			loop.Post(func() { l.CloseWrite(loop, Answered) })
		}
	}
}

var errConnEnded = errors.New("the connection had ended")

// Unwritten tells of a write that failed in the call itself, so that the last byte surely never left.
// A write that was still waiting when the connection went may have been completed by the poller.
func NeverSent(err error) bool {
	return errors.Is(err, errConnEnded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ENOTCONN)
}

// Discard has all that comes from now on read over, unparsed, up to a bound: the peer is to read why, not
// to be read.
func (l *Link) DiscardInput() { l.discardsInput.Store(true) }

// InHand tells that a message has come whole and waits for the loop, or is held by it.
func (l *Link) HasPendingMessage() bool { return l.hasPendingMessage.Load() }

// Shut ends our side of the connection, behind all that was written, which must be with the system by now. What the
// peer sends from then on is read over and never taken: the peer reads the end, and sends elsewhere what has crossed
// it. So nothing lies unread at the close: a close over unread bytes resets the connection, and an answer that the peer
// has not read yet may go with it. The connection is closed when the peer ends its side too, or lingerTime later. The
// first reason stands.
func (l *Link) CloseWrite(loop *core.Loop, reason string) {
	if l.isWriteClosed || l.ClosedLocally || l.Ended {
		return
	}
	l.isWriteClosed = true
	l.mu.Lock()
	if conn, ok := l.Conn.(netpoll.Conn); ok && !l.isFDClosed {
		// An error tells that the peer has gone already, of which we hear by itself.
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR)
	}
	l.mu.Unlock()
	l.DiscardInput()
	if l.CloseReason == "" {
		l.CloseReason = reason
	}
	loop.At(loop.Now()+lingerTimeout, func() {
		if !l.Ended {
			l.Close(reason)
		}
	})
}

// IsShut tells that our side has ended.
func (l *Link) IsWriteClosed() bool { return l.isWriteClosed }

// Close ends the connection from our side; the first reason stands.
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

// Abort ends the connection from our side with a reset: what the peer has not acknowledged is dropped. After Close the
// system goes on sending it, for minutes where the network is cut, and the peer may act on it when nobody waits any more.
func (l *Link) Abort(reason string) {
	l.mu.Lock()
	if conn, ok := l.Conn.(netpoll.Conn); ok && !l.isFDClosed {
		// An error tells that the peer has gone already.
		_ = unix.SetsockoptLinger(conn.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	l.mu.Unlock()
	l.Close(reason)
}

// Farewell writes the log line of an ended connection, once.
func (l *Link) MarkEnded(log *slog.Logger, now core.Time) (first bool) {
	if l.Ended {
		return false
	}
	l.Ended = true
	reason := l.CloseReason
	if reason == "" {
		reason = PeerClosed
	}
	LogEnd(log, l.Party, l.Peer, reason, l.MessageCount, now-l.Opened)
	return true
}

// LogEnd writes the log line of an ended connection; more are further keys and values.
func LogEnd(log *slog.Logger, party, peer, reason string, messages int, age core.Time, more ...any) {
	log.Info("conn end", append([]any{"party", party, "peer", peer, "reason", reason, "messages", messages,
		"age_ms", age / core.Millisecond}, more...)...)
}

// Queued is the number of bytes that wait for the peer to take them.
func (l *Link) QueuedBytes() int64 { return l.queuedBytes.Load() }

// IdleWriter tells that nothing waits to be written.
func (l *Link) IsWriterIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isWriting
}

// Read is the body of an OnRequest. parse is given all that has come of a message and says how much of
// it the message took, or how much is needed at the least; take is posted to the loop with the parser's
// fault, if any, and has to see to it that Release is called. Small waits between parts are netpoll's.
func (l *Link) Read(loop *core.Loop, parse func(buf []byte) (size, need int, fault bool), take func()) error {
	r := l.Conn.Reader()
	if l.discardsInput.Load() {
		n := r.Len()
		if l.discardedBytes += n; l.discardedBytes > maxLingerBytes {
			loop.Post(func() { l.Close(Flooding) })
			l.Conn.Close()
		}
		r.Skip(n)
		return r.Release()
	}
	for need := 1; ; {
		buf, err := r.Peek(max(need, r.Len()))
		if err != nil {
			reason := PeerClosed
			if errors.Is(err, netpoll.ErrReadTimeout) {
				reason = SlowInput
			}
			loop.Post(func() { l.Close(reason) })
			r.Skip(r.Len())
			l.Conn.Close() // or netpoll would call again for the bytes of a message that never ended
			return nil
		}
		size, more, fault := parse(buf)
		if !fault && more > 0 {
			need = max(more, len(buf)+1)
			continue
		}
		l.hasPendingMessage.Store(true)
		loop.Post(take)
		<-l.released
		l.hasPendingMessage.Store(false)
		if fault {
			size = r.Len()
		}
		r.Skip(size)
		return r.Release()
	}
}
