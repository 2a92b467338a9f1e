package jobs

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// exportTo passes the jobs that are due from one machine to another, as package faktory does between two processes.
func (h *fakeHost) exportTo(successor *fakeHost) {
	for {
		records := h.Export(h.now, 3, 1<<20)
		if len(records) == 0 {
			return
		}
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(records); err != nil {
			panic(err)
		}
		var received []Record
		if err := gob.NewDecoder(&wire).Decode(&received); err != nil {
			panic(err)
		}
		for _, r := range received {
			r.Shift(successor.now - h.now)
			if !successor.Import(successor.now, r) {
				panic("job " + r.ID + " is owned by both machines")
			}
		}
	}
}

// newSuccessor returns a machine whose clock differs from the predecessor's.
func newSuccessor() *fakeHost {
	next := newFakeHost(nil)
	next.now += 777 * Second
	return next
}

// Guards against queued jobs that get lost, change their order or get more time on the way to another process.
func TestQueuedJobsKeepOrderAndTimeInTheSuccessor(t *testing.T) {
	h, next := newFakeHost(nil), newSuccessor()
	h.push("first", nil)
	h.push("urgent", func(j *Job) { j.Priority = MaxPriority })
	h.push("second", nil)
	h.push("later", func(j *Job) { j.NotBefore = h.now + 10*Second })
	h.push("short", func(j *Job) { j.TimeLeft, j.Queue = 5*Second, "b" })
	h.push("locked", func(j *Job) { j.UniqueFor, j.Fingerprint, j.Queue = 60*Second, [32]byte{1}, "b" })
	h.advanceClock(2 * Second)
	h.BeginExport()
	assert.Equal(t, ShutDown, h.push("refused", nil).Rejected)
	h.exportTo(next)
	assert.Zero(t, h.Stats().Held)
	assert.Zero(t, h.Stats().HeldBytes)
	assert.Nil(t, h.Find("first"))
	assert.NotNil(t, next.push("first", nil).Existing)
	assert.True(t, next.push("other", func(j *Job) { j.UniqueFor, j.Fingerprint = 60*Second, [32]byte{1} }).NotUnique)
	next.advanceClock(3*Second - 1)
	assert.Equal(t, Enqueued, next.Find("short").State)
	next.advanceClock(1)
	assert.Equal(t, Refused, next.Find("short").State)
	assert.Equal(t, Expired, next.Find("short").Reason)
	for _, want := range []string{"urgent", "first", "second"} {
		assert.Equal(t, want, next.fetch("a").ID)
	}
	next.advanceClock(5*Second - 1)
	assert.Nil(t, next.fetch("a"))
	next.advanceClock(1)
	assert.Equal(t, "later", next.fetch("a").ID)
}

// Guards against a job that has ended, or may have run, and runs again in another process.
func TestEndedJobsDoNotRunAgainInTheSuccessor(t *testing.T) {
	h, next := newFakeHost(nil), newSuccessor()
	end := func(id string, class int32, outcome Outcome) {
		h.push(id, func(j *Job) { j.Class = class })
		h.Machine.RequestEnded(h.now, h.fetch("a"), outcome, 0, nil)
	}
	end("served", 1, OutcomeServed)
	end("dead", 1, OutcomeFailed)
	end("retried", 0, OutcomeFailed)
	h.BeginExport()
	h.exportTo(next)
	assert.Equal(t, Served, next.push("served", nil).Existing.State)
	assert.Equal(t, Dead, next.push("dead", nil).Existing.State)
	assert.Equal(t, MayHaveRun, next.requeue(next.now, next.Find("dead")))
	assert.Nil(t, next.fetch("a"))
	next.advanceClock(60 * Second)
	again := next.fetch("a")
	require.NotNil(t, again)
	assert.Equal(t, "retried", again.ID)
	assert.EqualValues(t, 1, again.Failures)
}

// A job that a worker holds stays with the process that it was fetched from. Guards against a second run in the successor, and
// against an outcome that gets lost, for each way in which the run may end.
func TestRunThatOutlivesAnExportEndsOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int32
		outcome Outcome
		want    State
	}{
		{"served", 1, OutcomeServed, Served}, {"returned unrun", 1, OutcomeRefused, Enqueued},
		{"failed, no second run", 1, OutcomeFailed, Dead}, {"failed, may run again", 0, OutcomeFailed, Retrying},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, next := newFakeHost(nil), newSuccessor()
			h.push("job", func(j *Job) { j.Class = c.class })
			j := h.fetch("a")
			h.BeginExport()
			h.exportTo(next)
			assert.True(t, next.push("job", nil).Existing.IsRemote())
			assert.Nil(t, next.fetch("a"))
			next.advanceClock(7200 * Second)
			assert.Equal(t, Working, next.Find("job").State, "the predecessor decides on the reservation")
			h.Machine.RequestEnded(h.now, j, c.outcome, 0, nil)
			h.exportTo(next)
			assert.Nil(t, h.Find("job"))
			assert.Equal(t, c.want, next.Find("job").State)
			if c.want == Enqueued {
				assert.Equal(t, "job", next.fetch("a").ID)
			}
		})
	}
}

// Guards against a job that waits for ever, or runs again, once the process has ended that its worker fetched it from.
func TestRunOfAnEndedPredecessorEndsWithItsReservation(t *testing.T) {
	h, next := newFakeHost(nil), newSuccessor()
	h.push("job", func(j *Job) { j.Class = 1 })
	h.fetch("a")
	h.BeginExport()
	h.exportTo(next)
	h.ForgetExported()
	assert.Equal(t, []string{"job"}, h.cancelled)
	assert.Zero(t, h.Stats().Held)
	next.PredecessorEnded(next.now)
	assert.True(t, next.Find("job").IsOrphanOf("w"))
	assert.False(t, next.Find("job").IsOrphanOf("w-2"))
	next.advanceClock(1800*Second - 1)
	assert.Equal(t, Working, next.Find("job").State)
	next.advanceClock(1)
	assert.Equal(t, Dead, next.Find("job").State)
	assert.Equal(t, MayHaveRun, next.Find("job").Reason)
	assert.Nil(t, next.fetch("a"))
	assert.Empty(t, next.expired, "there is no request to expire")
}

// Guards against jobs that stay behind when the successor ends during the export.
func TestAbortedExportEndsTheRest(t *testing.T) {
	h := newFakeHost(nil)
	for _, id := range []string{"one", "two", "three"} {
		h.push(id, nil)
	}
	h.BeginExport()
	assert.Len(t, h.Export(h.now, 1, 1<<20), 1)
	h.AbortExport()
	h.advanceClock(0)
	assert.Zero(t, h.Stats().Held)
	assert.EqualValues(t, 2, h.Stats().Totals.Refused)
}
