package link

import (
	"errors"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
)

// ParseFunc parses the message at the start of buf, which holds all that has arrived of it, and returns either the size of the
// complete message or the least number of bytes needed; invalid reports a syntax error. The flag ended says that the peer has
// ended its output behind buf.
type ParseFunc func(buf []byte, ended bool) (size, need int, invalid bool)

// Read is the body of an OnRequest handler. handle is posted to the loop for a complete or invalid message and must arrange for
// one call of ReleaseBuffer. netpoll waits for the missing parts of a message.
func (l *Link) Read(loop *core.Loop, parse ParseFunc, handle func()) error {
	if l.discardsInput.Load() {
		return l.skipInput(loop)
	}
	r := l.input
	for need := 1; ; {
		buf, err := r.Peek(max(need, r.Len()))
		receivedAt := loop.Clock()
		ended := l.isEndOfInput(err)
		if ended {
			buf, err = r.Peek(r.Len())
		}
		if err != nil {
			return l.endRead(loop, err)
		}
		size, required, invalid := parse(buf, ended)
		switch {
		case invalid || required == 0:
		case ended:
			return l.endRead(loop, netpoll.ErrEOF)
		default:
			need = max(required, len(buf)+1)
			continue
		}
		l.ReceivedAt = receivedAt
		if l.CountsQueuedTime {
			l.ReceivedAt = min(receivedAt, l.ArrivalTime(loop))
		}
		l.hasPendingMessage.Store(true)
		loop.Post(handle)
		<-l.released
		l.hasPendingMessage.Store(false)
		if invalid {
			size = r.Len()
		}
		r.Skip(size)
		return r.Release()
	}
}

// skipInput discards what has arrived, see DiscardInput.
func (l *Link) skipInput(loop *core.Loop) error {
	r := l.input
	n := r.Len()
	if l.lingers.Load() {
		l.discardedBytes += n
	}
	if l.discardedBytes > maxLingerBytes {
		loop.Post(func() { l.Close(Flooding) })
		l.Conn.Close()
	}
	r.Skip(n)
	return r.Release()
}

// isEndOfInput reports whether a read failed because the peer has ended its output in order, behind all that has arrived.
func (l *Link) isEndOfInput(err error) bool {
	return errors.Is(err, netpoll.ErrEOF) && l.HasPeerFinished()
}

// endRead ends the connection over a message that can't be completed.
func (l *Link) endRead(loop *core.Loop, err error) error {
	reason := PeerClosed
	if errors.Is(err, netpoll.ErrReadTimeout) {
		reason = SlowInput
	}
	loop.Post(func() { l.Close(reason) })
	r := l.input
	r.Skip(r.Len())
	l.Conn.Close() // otherwise netpoll calls again for the bytes of the incomplete message
	return nil
}

// HasPeerFinished reports whether the peer has ended its output in order (TCP FIN), so that all of it has arrived. A reset does
// not count, nor does a connection that was ended from this side. It may be called on any goroutine until the connection's
// close callbacks have run.
func (l *Link) HasPeerFinished() bool {
	isFinished := false
	l.withFD(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		isFinished = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return isFinished
}
