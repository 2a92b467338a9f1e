package link

import (
	"io"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/core"
)

// runOnLoop runs a function on the loop and waits for its end.
func runOnLoop(loop *core.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// Guards against small connections that are closed for a large one: the links that hold most are closed, and no more than needed.
func TestAccountClosesTheLargestLinks(t *testing.T) {
	const limit = 100
	_, _, loop, _ := newTestLink(t)
	account := NewAccount(loop, limit)
	var links []*Link
	for _, held := range []int{30, 50, 20, 40} {
		l, _, _, _ := newTestLink(t)
		links = append(links, l)
		runOnLoop(loop, func() {
			l.Hold(held) // before the link is added, as input is that comes first
			account.Add(l)
		})
	}
	runOnLoop(loop, func() {})
	for i, isClosed := range []bool{false, true, false, false} {
		runOnLoop(loop, func() { assert.Equal(t, isClosed, links[i].CloseReason == OverMemory, "link %d", i) })
	}
	assert.EqualValues(t, 90, account.used.Load())
	runOnLoop(loop, func() { account.SetLimit(limit / 2) })
	runOnLoop(loop, func() {})
	assert.EqualValues(t, 50, account.used.Load())
	links[3].Hold(1000) // a closed link counts no more
	assert.EqualValues(t, 50, account.used.Load())
}

// Guards against input that is handled while the bytes of a closed link are still in its writer's hands, and out of order.
func TestAccountHoldsInputBackUntilBytesAreFree(t *testing.T) {
	l, _, loop, ended := newTestLink(t)
	account := NewAccount(loop, 1<<20)
	var order []int
	runOnLoop(loop, func() {
		account.Add(l)
		l.Send(loop, Outgoing{Message: make([]byte, 64<<20)}) // more than the kernel takes
		for !account.IsOver() {
			runtime.Gosched()
		}
		account.Enforce()
		for i := range 3 {
			account.WhenFree(func() { order = append(order, i) })
		}
		account.resume()
		assert.True(t, account.IsOver() == (len(order) == 0))
	})
	<-ended
	require.Eventually(t, func() (done bool) {
		runOnLoop(loop, func() { done = len(order) == 3 })
		return done
	}, 5*time.Second, time.Millisecond)
	assert.Equal(t, []int{0, 1, 2}, order)
	assert.Zero(t, account.used.Load())
	assert.Zero(t, account.releasing.Load())
}

// Guards against connections that keep their last message for as long as they are open: the queue's array held it.
func TestWrittenMessageIsNotKept(t *testing.T) {
	l, peer, loop, _ := newTestLink(t)
	go io.Copy(io.Discard, peer)
	message := make([]byte, 1<<20)
	kept := weak.Make(&message[0])
	done := make(chan error, 1)
	l.Send(loop, Outgoing{Message: message, Done: func(err error) { done <- err }})
	message = nil
	require.NoError(t, <-done)
	require.Eventually(t, func() bool {
		runtime.GC()
		return kept.Value() == nil
	}, 5*time.Second, 10*time.Millisecond)
	runtime.KeepAlive(l)
}

// Guards against bytes that count for ever, until the fronts handle no input any more: those of a write that ends in the moment in
// which its link ends.
func TestAccountIsEmptyAfterWritesThatEndWithTheirLinks(t *testing.T) {
	account := NewAccount(core.NewLoop(), 1<<20)
	for range 20_000 {
		l := &Link{}
		l.joinAccount(account)
		l.Hold(10)
		written := make(chan struct{})
		go func() {
			l.held.beginWrite(10)
			l.held.endWrite()
			close(written)
		}()
		l.endHolding()
		<-written
	}
	assert.Zero(t, account.used.Load())
	assert.Zero(t, account.releasing.Load())
}
