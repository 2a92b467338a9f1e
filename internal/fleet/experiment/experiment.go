// Package experiment plays scenarios over seeds, builds and arms, and puts what came out side by side: tables, records
// and a report. It is the tool on top of the rig.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cobaltflow/internal/fleet"
	"cobaltflow/internal/fleet/judge"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// Options of a run.
type Options struct {
	Binary    string
	OldBinary string
	Arms      []string // NAME=FILE
	Seed      uint64
	SeedCount int
	Dir       string
	Quiet     bool
}

// played is what one build made of one seed.
type playedRun struct {
	build    string
	seed     uint64
	analysis *judge.Analysis
	rec      *record.Records
	checks   []judge.Check
}

// Run plays a scenario file. It gives how many checks failed, of builds that are not the old one.
func Run(ctx context.Context, path string, o Options, out, live io.Writer) (failed int, err error) {
	s, err := scenario.Load(path)
	if err != nil {
		return 0, err
	}
	builds, err := listBuilds(o)
	if err != nil {
		return 0, err
	}
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	if o.Quiet {
		live = nil
	}
	all, err := playAll(ctx, s, builds, o, live)
	if err != nil {
		return 0, err
	}
	if o.Dir != "" {
		if _, err := WriteReport(o.Dir); err != nil {
			return 0, err
		}
	}
	var names []string
	for _, b := range builds {
		names = append(names, b.Name)
	}
	WriteTable(out, s, names, all)
	return writeChecks(out, all), nil
}

// playAll plays a scenario with each seed and build, and judges each run.
func playAll(ctx context.Context, s *scenario.Scenario, builds []fleet.Build, o Options, live io.Writer) (all []playedRun, err error) {
	for i := range max(1, o.SeedCount) {
		for _, b := range builds {
			p, err := playOne(ctx, s, b, o, o.Seed+uint64(i), live)
			if err != nil {
				return nil, err
			}
			all = append(all, p)
		}
	}
	return all, nil
}

// playOne plays a scenario with one seed and build, keeps its records where o.Dir names a folder, and judges it.
func playOne(ctx context.Context, s *scenario.Scenario, b fleet.Build, o Options, seed uint64, live io.Writer) (p playedRun, err error) {
	dir := ""
	if o.Dir != "" {
		dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%s-%d", s.Name, b.Name, seed))
	}
	rec, err := fleet.Play(ctx, s, b, fleet.Options{Seed: seed, Progress: live, LogDir: dir})
	if err != nil {
		return p, fmt.Errorf("%s, seed %d: %w", b.Name, seed, err)
	}
	if dir != "" {
		if err := rec.Save(dir); err != nil {
			return p, err
		}
	}
	checks, analysis, err := judge.Evaluate(rec)
	if err != nil {
		return p, err
	}
	return playedRun{build: b.Name, seed: seed, analysis: analysis, rec: rec, checks: checks}, nil
}

// reportChecks writes the checks that failed and a total. It gives how many failed, of builds that are not the old one.
func writeChecks(out io.Writer, all []playedRun) (failed int) {
	passed := 0
	for _, p := range all {
		for _, c := range p.checks {
			switch {
			case c.Passed:
				if p.build != oldBuildName {
					passed++
				}
				continue
			case p.build != oldBuildName:
				failed++
			}
			fmt.Fprintf(out, "failed: %s, seed %d: %s: %s\n", p.build, p.seed, c.Name, c.Text)
		}
	}
	fmt.Fprintf(out, "checks: %d passed, %d failed\n", passed, failed)
	return failed
}

const oldBuildName = "old"

// builds gives what is played on each seed.
func listBuilds(o Options) (list []fleet.Build, err error) {
	if o.Binary == "" {
		if o.Binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	for _, path := range []*string{&o.Binary, &o.OldBinary} {
		if *path == "" {
			continue
		}
		if *path, err = filepath.Abs(*path); err != nil {
			return nil, err
		}
		if _, err := os.Stat(*path); err != nil {
			return nil, err
		}
	}
	list = append(list, fleet.Build{Name: "new", Binary: o.Binary})
	if o.OldBinary != "" {
		list = append(list, fleet.Build{Name: oldBuildName, Binary: o.OldBinary, SkipsOverrides: true})
	}
	for _, arm := range o.Arms {
		name, path, ok := strings.Cut(arm, "=")
		if !ok || name == "" || slices.ContainsFunc(list, func(b fleet.Build) bool { return b.Name == name }) {
			return nil, fmt.Errorf("--arm %q is not NAME=FILE with a name of its own", arm)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		b := fleet.Build{Name: name, Binary: o.Binary, Arm: name}
		if err := json.Unmarshal(text, &b.ConfigOverrides); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		list = append(list, b)
	}
	return list, nil
}

// Table writes the figures of each window, medians over the seeds, a build a row.
func WriteTable(out io.Writer, s *scenario.Scenario, builds []string, all []playedRun) {
	windows := append(slices.Clone(s.Windows), scenario.Window{Name: "all", FromS: 0, ToS: s.Seconds})
	fmt.Fprintf(out, "\n%s: %s\n", s.Name, s.About)
	fmt.Fprintf(out, "\n| window | build | requests | worth | of bound | served | refused | failed | attempts | idle beside waiting | wait mean, p99 (s) | longest queue | herd | left out | inverted |")
	for _, c := range s.Classes {
		fmt.Fprintf(out, " %s |", c.Name)
	}
	fmt.Fprintf(out, "\n|%s\n", strings.Repeat(" --- |", 15+len(s.Classes)))
	for _, w := range windows {
		for _, b := range builds {
			var list []judge.Figures
			classes := make([][]float64, len(s.Classes))
			for _, p := range all {
				if p.build == b {
					list = append(list, p.analysis.WindowFigures(w, -1, -1))
					for i := range s.Classes {
						classes[i] = append(classes[i], p.analysis.ClientFigures(w, i, -1).Worth)
					}
				}
			}
			m := func(f func(judge.Figures) float64) float64 {
				var v []float64
				for _, x := range list {
					v = append(v, f(x))
				}
				return median(v)
			}
			fmt.Fprintf(out, "| %s | %s | %.0f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f, %.2f | %.1f | %.1f | %.0f | %.3f |", w.Name, b,
				m(func(f judge.Figures) float64 { return float64(f.Requests) }), m(func(f judge.Figures) float64 { return f.Worth }),
				m(func(f judge.Figures) float64 { return f.OfBound }), m(func(f judge.Figures) float64 { return f.Served }),
				m(func(f judge.Figures) float64 { return f.Refused }), m(func(f judge.Figures) float64 { return f.Failed }),
				m(func(f judge.Figures) float64 { return f.Attempts }), m(func(f judge.Figures) float64 { return f.IdleBesideWaiting }),
				m(func(f judge.Figures) float64 { return f.WaitMeanS }), m(func(f judge.Figures) float64 { return f.WaitP99S }),
				m(func(f judge.Figures) float64 { return f.QueueLong }), m(func(f judge.Figures) float64 { return f.Herd }),
				m(func(f judge.Figures) float64 { return float64(f.StarvedWorkers) }), m(func(f judge.Figures) float64 { return f.InvertedShare }))
			for i := range classes {
				fmt.Fprintf(out, " %.3f |", median(classes[i]))
			}
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintln(out)
	for _, b := range builds {
		for _, p := range all {
			if p.build == b {
				a := p.rec.About
				fmt.Fprintf(out, "%s, seed %d: jobs sent %d on %d new connections, probes %d, messages %d\n", b, p.seed, len(p.rec.Attempts), a.Paths["job"].Opened, a.Probes, a.Messages)
			}
		}
	}
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}
