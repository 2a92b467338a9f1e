package link

import (
	"errors"
	"io"

	"cobaltflow/internal/core"
	"cobaltflow/internal/reactor"
)

// MessageReader says how the input of an accepted connection is split into messages.
type MessageReader struct {
	Poller *reactor.Poller
	Loop   *core.Loop
	// Parse parses the message at the start of the input.
	Parse ParseFunc
	// Handle is called on the loop for a complete or invalid message and must arrange for one call of ReleaseBuffer.
	Handle func()
	// Refuse is called on the loop in place of Handle for a message that is complete and that there is no memory for. The
	// message is in no buffer, and ReleaseBuffer is due too.
	Refuse func()
	// MaxBytes is the size of the largest message.
	MaxBytes int
}

// HandleInput takes a turn: it posts the next message to the loop, if that is whole. A part of a message stays in the kernel.
func (l *Link) HandleInput(in *reactor.Input, r *MessageReader) reactor.Next {
	if l.discardsInput.Load() {
		return l.DiscardTurn(in, r.Poller)
	}
	wanted := max(l.needed, reactor.SmallBuffer)
	if wanted > reactor.SmallBuffer && in.Unread() < l.needed && !in.HasPeerEnded() {
		in.Need(l.needed)
		return reactor.Wait
	}
	buffer := l.buffers.Acquire(wanted)
	if buffer == nil {
		return l.refuseTurn(in, r)
	}
	n, err := in.Peek(buffer)
	receivedAt := r.Loop.Clock()
	if n == 0 {
		l.buffers.Release(buffer)
		if err == nil {
			return reactor.Wait
		}
		return l.endTurn(r, err)
	}
	size, required, invalid := r.Parse(buffer[:n], false)
	if !invalid && required > 0 {
		l.buffers.Release(buffer)
		return l.awaitRest(in, r, n, len(buffer), required)
	}
	if invalid {
		size = n
	}
	l.post(in, r, buffer, size, receivedAt, r.Handle)
	return reactor.Pause
}

// awaitRest waits for the rest of a message of which n bytes have been seen.
func (l *Link) awaitRest(in *reactor.Input, r *MessageReader, n, bufferBytes, required int) reactor.Next {
	if in.HasPeerEnded() {
		return l.endTurn(r, io.EOF) // the message can't be completed
	}
	l.needed = min(required, r.MaxBytes)
	if n == bufferBytes {
		l.needed = max(l.needed, n+1)
		return reactor.Again
	}
	in.Need(l.needed)
	return reactor.Wait
}

// post passes a message to the loop.
func (l *Link) post(in *reactor.Input, r *MessageReader, buffer []byte, size int, receivedAt core.Time, handle func()) {
	l.needed = 0
	l.ReceivedAt = min(receivedAt, in.ArrivedBy(size))
	if l.CountsQueuedTime {
		l.ReceivedAt = min(l.ReceivedAt, l.ArrivalTime(r.Loop))
	}
	l.message = buffer
	l.hasPendingMessage.Store(true)
	in.Consume(size)
	r.Poller.Post(handle)
}

// refuseTurn posts that there is no memory for a message, which is discarded from now on together with what is behind it.
func (l *Link) refuseTurn(in *reactor.Input, r *MessageReader) reactor.Next {
	l.post(in, r, nil, 0, r.Loop.Clock(), r.Refuse)
	return reactor.Pause
}

// endTurn ends the connection, over which no further message can come.
func (l *Link) endTurn(r *MessageReader, err error) reactor.Next {
	if !errors.Is(err, io.EOF) {
		l.Conn.Close()
	}
	r.Poller.Post(func() {
		if !l.Ended {
			l.Close(PeerClosed)
		}
	})
	return reactor.Pause
}

// ResumeInput lets an accepted connection take its next turn, after one of its front's own that ended with reactor.Pause.
func (l *Link) ResumeInput() { l.accepted.Resume() }

// TakeTurnSoon lets an accepted connection take a turn without further input, once it is not paused.
func (l *Link) TakeTurnSoon() { l.accepted.TakeTurnSoon() }

// DiscardsInput reports whether DiscardInput was called.
func (l *Link) DiscardsInput() bool { return l.discardsInput.Load() }

// DiscardTurn is a turn that discards what has arrived, see DiscardInput, while an answer waits to be written: its peer may read that
// only behind what it sends. Else the input stays where it is, until the connection is closed.
func (l *Link) DiscardTurn(in *reactor.Input, poller *reactor.Poller) reactor.Next {
	if l.IsWriterIdle() {
		return reactor.Pause
	}
	n, err := in.Discard()
	if err != nil {
		poller.Post(func() { l.Close(PeerClosed) })
		return reactor.Pause
	}
	if n == 0 {
		return reactor.Wait
	}
	return reactor.Again
}

// releaseMessage gives the buffer of the message back that the loop has, and lets the connection take its next turn.
func (l *Link) releaseMessage() {
	if !l.hasPendingMessage.Load() {
		return
	}
	if buffer := l.message; buffer != nil {
		l.message = nil
		l.buffers.Release(buffer)
	}
	l.hasPendingMessage.Store(false)
	l.accepted.Resume()
}
