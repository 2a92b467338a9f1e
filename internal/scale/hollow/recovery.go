package hollow

import (
	"fmt"
	"io"
	"strings"

	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// Recovery is a fault scenario: a name and the faults that are injected into a fleet.
type Recovery struct {
	Name   string
	Faults func(f *Fleet) []world.Fault
}

// Durations of the faults.
const (
	outageDuration = minute
	pauseDuration  = 10 * second
	splitDuration  = 30 * second
)

// Recoveries returns the fault scenarios. The first one has no fault, for comparison.
func Recoveries() []Recovery {
	member := 3
	return []Recovery{
		{Name: "none", Faults: func(*Fleet) []world.Fault { return nil }},
		{Name: "member killed, started after 60 s", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.KillScheduler, At: faultStart(f), Scheduler: member},
				{Kind: world.StartScheduler, At: faultStart(f) + outageDuration, Scheduler: member}}
		}},
		{Name: "member joins", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.StartScheduler, At: faultStart(f), Scheduler: member}}
		}},
		{Name: "member stops for 10 s", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.PauseScheduler, At: faultStart(f), Duration: pauseDuration, Scheduler: member}}
		}},
		{Name: "two views of the members for 30 s", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.SplitMembers, At: faultStart(f), Duration: splitDuration}}
		}},
		{Name: "zone lost for 60 s, back cold", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.LoseZone, At: faultStart(f), Duration: outageDuration, Zone: member}}
		}},
	}
}

// WriteRecoveries simulates a fleet with a candidate under each fault scenario and writes a table.
func WriteRecoveries(out io.Writer, f Fleet, c Candidate) error {
	fmt.Fprintf(out, "%s: %d schedulers, %d workers, %s tasks, load %.2f\n\n", c.Name, f.Schedulers, f.Workers(), f.Tasks, f.Load)
	fmt.Fprintln(out, "| fault | worth | refused | failed | lost with a member | twice | wait mean, p99 (s) | longest queue | probes | list entries told | unheld at most, at the end | cold sends over the bound |")
	fmt.Fprintln(out, "|"+strings.Repeat(" --- |", 12))
	for _, r := range Recoveries() {
		faulty := f
		faulty.Faults = r.Faults(&faulty)
		o, err := Simulate(faulty, c)
		if err != nil {
			return err
		}
		counts := &o.Counts
		jobs := float64(max(1, counts.Jobs))
		fmt.Fprintf(out, "| %s | %.4f | %.4f | %.5f | %d | %d | %.3f, %.2f | %.1f | %.3f | %d | %d, %d | %.2f |\n", r.Name, counts.ValueRatio, float64(counts.Refused)/jobs,
			float64(counts.Failed)/jobs, counts.Lost, counts.StartedTwice, counts.WaitMean, counts.WaitP99, counts.LongestQueue, counts.Probes, counts.ListEntries, counts.MaxUnheld, counts.UnheldAtEnd, counts.MaxColdJobs)
	}
	return nil
}

// RecoveryFleet returns a fleet whose simulated time is long enough for the faults.
func RecoveryFleet(divisor int, tasks Tasks) Fleet {
	f := NewFleet(divisor, tasks)
	if tasks == Short {
		f.Duration = f.WarmUp + 10*second + outageDuration + 20*rules.Time(second)
	}
	return f
}
