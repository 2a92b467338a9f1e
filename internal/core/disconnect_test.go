package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/rules"
)

// A client that disconnects in the turn in which its request is accepted leaves no attempt behind: nothing is sent, and
// the Dispatcher gets the outcome of the queued send. Without that outcome a hundred such clients occupied the worker's
// slots for good.
func TestDisconnectInTheTurnOfTheRequestFreesTheSlot(t *testing.T) {
	for name, disconnect := range map[string]func(*Core, *Request){
		"cancelled": (*Core).ClientDisconnected, "left": (*Core).DetachClient,
	} {
		t.Run(name, func(t *testing.T) {
			s := &stub{}
			c := newCore(t, s, "a")
			var log bytes.Buffer
			c.Log = slog.New(slog.NewTextHandler(&log, nil))
			for i := range 100 {
				request := &Request{ID: fmt.Sprint("gone-", i), Deadline: c.Loop.now + Second, Client: s}
				c.Loop.turn([]func(){func() { c.Accept(request); disconnect(c, request) }})
				assert.Equal(t, i, s.released, "its attempt has no outcome yet")
				c.Loop.turn(mailbox(c))
				assert.Equal(t, i+1, s.released)
			}
			assert.Empty(t, s.sent)
			assert.Empty(t, log.String())
			assert.Zero(t, c.InFlightAttempts())
			assert.Zero(t, c.requests.Len())
			for i := range 8 {
				accept(c, s, fmt.Sprint("stays-", i))
			}
			assert.Len(t, s.sent, 8, "the worker has eight free slots")
		})
	}
}

// mailbox takes the events that wait for the next turn.
func mailbox(c *Core) []func() {
	events := c.Loop.mailbox
	c.Loop.mailbox = nil
	return events
}

// After DetachClient an attempt that may have reached a worker goes on, and its end determines the answer: a refusal only
// if the request never ran. No further attempt begins, even where a retry would be allowed. An attempt that has not begun
// is cancelled.
func TestNoAttemptBeginsAfterClientIsDetached(t *testing.T) {
	for status, want := range map[rules.Status]AnswerKind{rules.OK: Served, rules.Refused: Refused, rules.Unreachable: Refused,
		rules.Reset: Failed, rules.Error: Failed} {
		s := &stub{hasBegun: true}
		c := newCore(t, s, "a", "b")
		request := accept(c, s, "r")
		require.Len(t, s.sent, 1)
		c.Loop.turn([]func(){func() { c.DetachClient(request) }})
		require.Zero(t, s.answers, "the attempt goes on")
		assert.Nil(t, c.BeginAttempt(s.sent[0].Ref), "it may not begin again, on a second connection")
		c.Loop.turn([]func(){func() { c.AttemptEnded(s.sent[0].Ref, status, nil, rules.Load{}) }})
		c.Loop.turn(mailbox(c))
		assert.Len(t, s.sent, 1, "status %d", status)
		assert.Equal(t, []int{1, 1}, []int{s.answers, s.released}, "status %d", status)
		assert.Equal(t, want, s.last.Kind, "status %d", status)
	}
	s := &stub{}
	c := newCore(t, s, "a", "b")
	request := accept(c, s, "r")
	c.Loop.turn([]func(){func() { c.DetachClient(request) }})
	c.Loop.turn(mailbox(c))
	assert.Len(t, s.sent, 1, "an attempt that has not begun is cancelled and not retried")
	assert.Equal(t, []int{1, 1}, []int{s.answers, s.released})
	assert.Equal(t, Refused, s.last.Kind)
}
