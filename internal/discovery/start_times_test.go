package discovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// updateOf returns an update of one worker with a start date, and the loop's time that the date maps to.
func updateOf(name string, sinceMS int64, startedAt core.Time) *Update {
	return &Update{Workers: []core.ListedWorker{{Name: name, State: rules.Ready, StartedAt: startedAt}}, StartedUnixMS: []int64{sinceMS}}
}

// resolve resolves an update of one worker and returns the worker's start time.
func resolve(s *StartTimes, u *Update, now core.Time, first bool) core.Time {
	s.Resolve(u, now, first)
	return u.Workers[0].StartedAt
}

// A changed start date means a restart now, even if discovery's clock differs from the scheduler's by up to an hour.
func TestChangedDateIsARestartNow(t *testing.T) {
	const hour, now = 3600 * core.Second, 1 << 42
	for _, offset := range []core.Time{-hour, -5 * core.Second, 0, 5 * core.Second, hour} {
		t.Run(fmt.Sprint(offset/core.Second), func(t *testing.T) {
			s := &StartTimes{}
			before := resolve(s, updateOf("w", 1000, now-20*core.Second+offset), now, true)
			assert.LessOrEqual(t, before, core.Time(now), "no start is in the future")
			assert.Equal(t, before, resolve(s, updateOf("w", 1000, now-20*core.Second+offset), now+core.Second, false), "the same date: no restart")
			assert.Equal(t, core.Time(now+2*core.Second), resolve(s, updateOf("w", 2000, now+offset), now+2*core.Second, false), "a changed date: a restart")
			assert.Equal(t, core.Time(now+2*core.Second), resolve(s, updateOf("w", 2000, now+offset), now+9*core.Second, false))
			assert.Equal(t, core.Time(now+9*core.Second), resolve(s, updateOf("new", 1500, now+offset), now+9*core.Second, false), "a new worker")
		})
	}
	assert.Zero(t, resolve(&StartTimes{}, updateOf("w", 0, 0), now, false), "no date: long ago")
}

// A worker that is removed and listed again with the same date was not restarted.
func TestWorkerListedAgainWasNotRestarted(t *testing.T) {
	s := &StartTimes{}
	first := resolve(s, updateOf("w", 1000, 500), 1000, true)
	gone := updateOf("w", 1000, 500)
	gone.Workers[0].State = rules.Gone
	s.Resolve(gone, 2000, false)
	assert.Equal(t, first, resolve(s, updateOf("w", 1000, 500), 3000, false))
	for i := range maxRemovedWorkers + 10 {
		u := updateOf(fmt.Sprint("x", i), 1, 1)
		u.Workers[0].State = rules.Gone
		s.Resolve(u, 4000, false)
	}
	assert.LessOrEqual(t, len(s.known), maxRemovedWorkers+1, "removed workers are bounded")
}

// A worker that was removed and is listed again is remembered however many others are removed. Workers that are absent from a
// snapshot are bounded like those that discovery reports as removed.
func TestListedWorkerIsRememberedAndAbsentWorkersAreBounded(t *testing.T) {
	s := &StartTimes{}
	first := resolve(s, updateOf("w", 1000, 500), 1000, true)
	gone := updateOf("w", 1000, 500)
	gone.Workers[0].State = rules.Gone
	s.Resolve(gone, 2000, false)
	s.Resolve(updateOf("w", 1000, 500), 3000, false)
	for i := range 2 * maxRemovedWorkers {
		u := updateOf(fmt.Sprint("x", i), 1, 1)
		u.Workers[0].State = rules.Gone
		s.Resolve(u, 4000, false)
	}
	assert.Equal(t, first, resolve(s, updateOf("w", 1000, 500), 5000, false))
	for i := range 2 * maxRemovedWorkers {
		u := updateOf(fmt.Sprint("y", i), 1, 1)
		u.IsSnapshot = true
		s.Resolve(u, 6000, false)
	}
	assert.LessOrEqual(t, len(s.known), maxRemovedWorkers+1)
}
