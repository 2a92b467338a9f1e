package discovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/core"
	"cobaltflow/rules"
)

// told is an update of one worker whose date reads as a time of the loop.
func told(name string, sinceMS int64, reads core.Time) *Update {
	return &Update{Workers: []core.ListedWorker{{Name: name, State: rules.Ready, StartedAt: reads}}, StartedUnixMS: []int64{sinceMS}}
}

func settled(s *StartTimes, u *Update, now core.Time, first bool) core.Time {
	s.Resolve(u, now, first)
	return u.Workers[0].StartedAt
}

// The dates are those of a clock that runs an hour before or behind ours, or right.
func TestARestartThatIsToldIsARestartNow(t *testing.T) {
	const hour, now = 3600 * core.Second, 1 << 42
	for _, off := range []core.Time{-hour, -5 * core.Second, 0, 5 * core.Second, hour} {
		t.Run(fmt.Sprint(off/core.Second), func(t *testing.T) {
			s := &StartTimes{}
			before := settled(s, told("w", 1000, now-20*core.Second+off), now, true)
			assert.LessOrEqual(t, before, core.Time(now), "no start lies ahead")
			assert.Equal(t, before, settled(s, told("w", 1000, now-20*core.Second+off), now+core.Second, false), "the same date: no restart")
			assert.Equal(t, core.Time(now+2*core.Second), settled(s, told("w", 2000, now+off), now+2*core.Second, false), "another date: a restart")
			assert.Equal(t, core.Time(now+2*core.Second), settled(s, told("w", 2000, now+off), now+9*core.Second, false))
			assert.Equal(t, core.Time(now+9*core.Second), settled(s, told("new", 1500, now+off), now+9*core.Second, false), "one not met before")
		})
	}
	assert.Zero(t, settled(&StartTimes{}, told("w", 0, 0), now, false), "no date: long ago")
}

// A worker that leaves the list and comes back with the same date was not restarted.
func TestAWorkerThatComesBackWasNotRestarted(t *testing.T) {
	s := &StartTimes{}
	first := settled(s, told("w", 1000, 500), 1000, true)
	gone := told("w", 1000, 500)
	gone.Workers[0].State = rules.Gone
	s.Resolve(gone, 2000, false)
	assert.Equal(t, first, settled(s, told("w", 1000, 500), 3000, false))
	for i := range maxDepartedWorkers + 10 {
		u := told(fmt.Sprint("x", i), 1, 1)
		u.Workers[0].State = rules.Gone
		s.Resolve(u, 4000, false)
	}
	assert.LessOrEqual(t, len(s.known), maxDepartedWorkers+1, "those that have gone are bounded")
}

// A worker that left once and is listed again is not forgotten, however many others leave; and those that a whole list does
// not name are bounded like those that were said to have gone.
func TestWhoIsListedIsRememberedAndWhoIsAbsentIsBounded(t *testing.T) {
	s := &StartTimes{}
	first := settled(s, told("w", 1000, 500), 1000, true)
	gone := told("w", 1000, 500)
	gone.Workers[0].State = rules.Gone
	s.Resolve(gone, 2000, false)
	s.Resolve(told("w", 1000, 500), 3000, false)
	for i := range 2 * maxDepartedWorkers {
		u := told(fmt.Sprint("x", i), 1, 1)
		u.Workers[0].State = rules.Gone
		s.Resolve(u, 4000, false)
	}
	assert.Equal(t, first, settled(s, told("w", 1000, 500), 5000, false))
	for i := range 2 * maxDepartedWorkers {
		u := told(fmt.Sprint("y", i), 1, 1)
		u.IsSnapshot = true
		s.Resolve(u, 6000, false)
	}
	assert.LessOrEqual(t, len(s.known), maxDepartedWorkers+1)
}
