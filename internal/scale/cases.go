package scale

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cobaltflow/internal/scale/process"
)

// Reasons why a run fails.
var (
	errTasksNotHeld = errors.New("the requested number of tasks could not be held")
	errListNotKnown = errors.New("the worker list was not known in time")
	errUnknownCase  = errors.New("unknown case")
)

// benchCase measures how the figures depend on one parameter.
type benchCase struct {
	name        string
	description string
	parameter   string
	quickPoints []float64 // empty: not in the quick set; runs with FullSet or if named
	fullPoints  []float64
	setup       func(point float64) setup
	measure     func(m *measurement, point float64) error
}

// fixedSetup returns a setup that does not depend on the point.
func fixedSetup(change func(*setup)) func(float64) setup {
	return func(float64) setup {
		s := baseSetup()
		if change != nil {
			change(&s)
		}
		return s
	}
}

// varyingSetup returns a setup that depends on the point.
func varyingSetup(change func(*setup, float64)) func(float64) setup {
	return func(point float64) setup {
		s := baseSetup()
		change(&s, point)
		return s
	}
}

// setSchedulers sets the number of schedulers that run side by side.
func setSchedulers(s *setup, count int) {
	s.schedulers, s.groupSize, s.maxSockets = count, count, 1024
}

// smallFleetWorkers is the size of the smaller fleet that the operators' fleet is compared with.
const smallFleetWorkers = 1000

// tasksMemoryMB is the memory limit of a scheduler that holds many tasks; it is high enough not to constrain the memory
// that is measured.
const tasksMemoryMB = 1024

// cases returns all cases in the order in which they run.
func cases() []benchCase {
	return slices.Concat(listCases(), taskCases(), fleetCases(), recoveryCases())
}

func listCases() []benchCase {
	workers := varyingSetup(func(s *setup, x float64) { s.workers = int(x) })
	fresh := func(mode process.Mode) func(float64) setup {
		return varyingSetup(func(s *setup, x float64) { s.workers, s.mode, s.listUnknown = int(x), mode, true })
	}
	return []benchCase{
		{name: "workers", description: "workers known, at rest and under 100 task starts a second", parameter: "workers",
			quickPoints: []float64{1_000, 10_000}, fullPoints: []float64{1_000, 3_000, 10_000, fleetWorkers}, setup: workers, measure: measureLoad(startsPerS)},
		{name: "steady", description: "two minutes of 100 task starts a second", parameter: "workers",
			fullPoints: []float64{1_000, fleetWorkers}, setup: workers, measure: measureSteady},
		{name: "list_changes", description: "changes of single workers a second, beside 100 task starts a second", parameter: "changes_per_s",
			quickPoints: []float64{5}, fullPoints: []float64{0.3, 5}, setup: fixedSetup(nil), measure: measureListChanges},
		{name: "zone_change", description: "so many workers off the list at once and back, beside 100 task starts a second", parameter: "workers_changed",
			quickPoints: []float64{zoneWorkers}, fullPoints: []float64{1, zoneWorkers}, setup: fixedSetup(nil), measure: measureZoneChange},
		{name: "fresh_start", description: "a start with no known list, the whole list asked for", parameter: "workers",
			quickPoints: []float64{400, fleetWorkers}, fullPoints: []float64{400, 1_000, 10_000, fleetWorkers}, setup: fresh(process.Push), measure: measureFreshStart},
		{name: "fresh_start_watch", description: "a start with no known list, the list by the watch", parameter: "workers",
			fullPoints: []float64{400, 1_000, 10_000, fleetWorkers}, setup: fresh(process.Pull), measure: measureFreshStart},
	}
}

func taskCases() []benchCase {
	tasks := func(workers int, http2 bool) func(float64) setup {
		return fixedSetup(func(s *setup) { s.workers, s.http2, s.memoryMB, s.slots = workers, http2, tasksMemoryMB, 32 })
	}
	return []benchCase{
		{name: "tasks", description: "tasks in hand, each on a client's connection, then 100 task starts a second beside them", parameter: "tasks",
			quickPoints: []float64{1_000}, fullPoints: []float64{1_000, 4_000, 19_000}, setup: tasks(fleetWorkers, false), measure: measureTasks},
		{name: "tasks_at_1000_workers", description: "the same before 1,000 workers", parameter: "tasks",
			fullPoints: []float64{1_000, 4_000}, setup: tasks(smallFleetWorkers, false), measure: measureTasks},
		{name: "tasks_http2", description: "the same by HTTP/2, many on one connection", parameter: "tasks",
			fullPoints: []float64{1_000, 4_000, 19_000}, setup: tasks(fleetWorkers, true), measure: measureTasks},
		{name: "task_starts", description: "task starts a second", parameter: "starts_per_s",
			fullPoints: []float64{10, 100, 300}, setup: fixedSetup(nil), measure: func(m *measurement, x float64) error { return measureLoad(x)(m, x) }},
		{name: "gangs", description: "so many tasks sent at once", parameter: "gang",
			quickPoints: []float64{128}, fullPoints: []float64{16, 128, 1_024}, setup: fixedSetup(nil), measure: measureGang},
	}
}

func fleetCases() []benchCase {
	return []benchCase{
		{name: "schedulers", description: "schedulers beside one another, 100 task starts a second over all", parameter: "schedulers",
			fullPoints: []float64{4, 8, 16, fleetSchedulers},
			setup:      varyingSetup(func(s *setup, x float64) { setSchedulers(s, int(x)) }),
			measure:    measureLoad(startsPerS)},
		{name: "configuration_changes", description: "changes of the configuration a second, each to all schedulers", parameter: "changes_per_s",
			quickPoints: []float64{2}, fullPoints: []float64{0.2, 2},
			setup: fixedSetup(func(s *setup) {
				setSchedulers(s, fleetSchedulers)
				s.workers = smallFleetWorkers
			}), measure: measureConfigurationChanges},
		{name: "teams", description: "teams with a quota each", parameter: "teams",
			fullPoints: []float64{10, 70, 210},
			setup:      varyingSetup(func(s *setup, x float64) { s.tenants = int(x) }),
			measure:    measureLoad(startsPerS)},
	}
}

func recoveryCases() []benchCase {
	fleet := fixedSetup(func(s *setup) { setSchedulers(s, recoverySchedulers) })
	pushed := fixedSetup(func(s *setup) {
		setSchedulers(s, recoverySchedulers)
		s.mode = process.Push
	})
	return []benchCase{
		{name: "recover_restart", description: "one scheduler of four is killed and started with no known list", parameter: "workers",
			fullPoints: []float64{fleetWorkers}, setup: pushed, measure: measureRestart},
		{name: "recover_zone", description: "a zone's workers go and are back cold", parameter: "workers_changed",
			fullPoints: []float64{zoneWorkers}, setup: fleet, measure: measureZoneLoss},
		{name: "recover_discovery", description: "discovery is away while the list changes, and comes back", parameter: "changes",
			fullPoints: []float64{1_000, 11_000}, setup: fleet, measure: measureDiscoveryLoss},
	}
}

// recoverySchedulers is the number of schedulers in the recovery cases.
const recoverySchedulers = 4

// zoneWorkers is the number of workers of a zone of the operators' fleet.
const zoneWorkers = 1_737

// DescribeCases returns a line "name: description" for each case.
func DescribeCases() (list []string) {
	for _, c := range cases() {
		list = append(list, c.name+": "+c.description)
	}
	return list
}

// selectCases returns the named cases, or all cases of the full or the quick set if no name is given. It returns an
// error for an unknown name.
func selectCases(names []string, full bool) (list []benchCase, err error) {
	available := cases()
	for _, name := range names {
		index := slices.IndexFunc(available, func(c benchCase) bool { return c.name == name })
		if index < 0 {
			return nil, fmt.Errorf("%w: %q; there are\n%s", errUnknownCase, name, strings.Join(DescribeCases(), "\n"))
		}
		c := available[index]
		if len(c.quickPoints) == 0 {
			c.quickPoints = c.fullPoints
		}
		list = append(list, c)
	}
	if len(names) > 0 {
		return list, nil
	}
	for _, c := range available {
		if full || len(c.quickPoints) > 0 {
			list = append(list, c)
		}
	}
	return list, nil
}

// measureLoad returns a measurement at rest and then under short jobs at a rate.
func measureLoad(perS float64) func(*measurement, float64) error {
	return func(m *measurement, _ float64) error {
		if _, err := m.measureRest(); err != nil {
			return err
		}
		if _, _, err := m.runLoad(m.shortLoad(perS, m.duration(3*time.Second, 10*time.Second)), nil); err != nil {
			return err
		}
		// A ping costs the scheduler as much as a job, so the pings run beside a load of their own, which does not count.
		return m.withPings(func() error {
			m.clients.Run(m.ctx, m.shortLoad(perS, m.duration(time.Second, 3*time.Second)))
			return m.ctx.Err()
		})
	}
}
