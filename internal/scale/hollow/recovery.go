package hollow

import (
	"fmt"
	"io"
	"strings"

	"cobaltflow/internal/world"
	"cobaltflow/rules"
)

// Recovery is a fault in a fleet.
type Recovery struct {
	Name   string
	Faults func(f *Fleet) []world.Fault
}

// Lengths of the faults.
const (
	outageDuration = minute
	pauseDuration  = 10 * second
	splitDuration  = 30 * second
)

// Recoveries are the faults that are played, after the same fleet without any.
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
			return []world.Fault{{Kind: world.PauseScheduler, At: faultStart(f), For: pauseDuration, Scheduler: member}}
		}},
		{Name: "two views of the members for 30 s", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.SplitMembers, At: faultStart(f), For: splitDuration}}
		}},
		{Name: "zone lost for 60 s, back cold", Faults: func(f *Fleet) []world.Fault {
			return []world.Fault{{Kind: world.LoseZone, At: faultStart(f), For: outageDuration, Zone: member}}
		}},
	}
}

// WriteRecoveries plays a fleet under a candidate with each fault and writes a table.
func WriteRecoveries(out io.Writer, f Fleet, c Candidate) error {
	fmt.Fprintf(out, "%s: %d schedulers, %d workers, %s tasks, load %.2f\n\n", c.Name, f.Schedulers, f.Workers(), f.Tasks, f.Load)
	fmt.Fprintln(out, "| fault | worth | refused | failed | lost with a member | twice | wait mean, p99 (s) | longest queue | probes | list entries told | unheld at most, at the end | cold sends over the bound |")
	fmt.Fprintln(out, "|"+strings.Repeat(" --- |", 12))
	for _, r := range Recoveries() {
		played := f
		played.Faults = r.Faults(&played)
		o, err := Simulate(played, c)
		if err != nil {
			return err
		}
		w := &o.Counts
		jobs := float64(max(1, w.Jobs))
		fmt.Fprintf(out, "| %s | %.4f | %.4f | %.5f | %d | %d | %.3f, %.2f | %.1f | %.3f | %d | %d, %d | %.2f |\n", r.Name, w.Worth, float64(w.Refused)/jobs,
			float64(w.Failed)/jobs, w.Lost, w.Twice, w.WaitMean, w.WaitP99, w.QueueLong, w.Probes, w.ListEntries, w.Unheld, w.UnheldAtEnd, w.ColdSends)
	}
	return nil
}

// RecoveryFleet is a fleet with time enough for the faults.
func RecoveryFleet(part int, tasks Tasks) Fleet {
	f := NewFleet(part, tasks)
	if tasks == Short {
		f.Duration = f.WarmUp + 10*second + outageDuration + 20*rules.Time(second)
	}
	return f
}
