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

// A client that leaves in the turn in which its request was sent: nothing is carried, the decisions hear how the attempt
// ended, and the worker's places are free for others. A hundred of them once took the worker's places for good.
func TestAClientThatLeavesInTheTurnOfItsRequestTakesNoPlace(t *testing.T) {
	for name, leave := range map[string]func(*Core, *Request){"cancelled": (*Core).ClientDisconnected, "left": (*Core).DetachClient} {
		t.Run(name, func(t *testing.T) {
			s := &stub{}
			c := newCore(t, s, "a")
			var log bytes.Buffer
			c.Log = slog.New(slog.NewTextHandler(&log, nil))
			for i := range 100 {
				gone := &Request{ID: fmt.Sprint("gone-", i), Deadline: c.Loop.now + Second, Client: s}
				c.Loop.turn([]func(){func() { c.Accept(gone); leave(c, gone) }})
				assert.Equal(t, i, s.released, "its pass has no outcome yet")
				c.Loop.turn(mailbox(c))
				assert.Equal(t, i+1, s.released)
			}
			assert.Empty(t, s.carried)
			assert.Empty(t, log.String())
			assert.Zero(t, c.InFlightAttempts())
			assert.Zero(t, c.requests.Len())
			for i := range 8 {
				take(c, s, fmt.Sprint("stays-", i))
			}
			assert.Len(t, s.carried, 8, "the worker takes eight")
		})
	}
}

func mailbox(c *Core) []func() {
	events := c.Loop.mailbox
	c.Loop.mailbox = nil
	return events
}

// A client that leaves while an attempt may be with a worker: that one goes on, and its end is the request's. Another
// does not begin, whether it was there to choose or not, and the answer tells whether the request may have run.
func TestNoAttemptBeginsBehindAClientThatLeft(t *testing.T) {
	for status, want := range map[rules.Status]AnswerKind{rules.OK: Served, rules.Refused: Refused, rules.Unreachable: Refused,
		rules.Reset: Failed, rules.Error: Failed} {
		s := &stub{ran: true}
		c := newCore(t, s, "a", "b")
		tr := take(c, s, "r")
		require.Len(t, s.carried, 1)
		c.Loop.turn([]func(){func() { c.DetachClient(tr) }})
		require.Zero(t, s.answers, "it goes on")
		assert.False(t, c.BeginAttempt(s.carried[0].Ref), "nor on a second connection")
		c.Loop.turn([]func(){func() { c.AttemptEnded(s.carried[0].Ref, status, nil, rules.Load{}) }})
		c.Loop.turn(mailbox(c))
		assert.Len(t, s.carried, 1, "status %d", status)
		assert.Equal(t, []int{1, 1}, []int{s.answers, s.released}, "status %d", status)
		assert.Equal(t, want, s.last.Kind, "status %d", status)
	}
	s := &stub{}
	c := newCore(t, s, "a", "b")
	tr := take(c, s, "r")
	c.Loop.turn([]func(){func() { c.DetachClient(tr) }})
	c.Loop.turn(mailbox(c))
	assert.Len(t, s.carried, 1, "one that has not begun is withdrawn, and goes nowhere else")
	assert.Equal(t, []int{1, 1}, []int{s.answers, s.released})
	assert.Equal(t, Refused, s.last.Kind)
}
