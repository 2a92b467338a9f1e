// Package experiment runs a scenario with several seeds, builds and configuration variants (arms), and compares them in a
// table, saved records and a report. The command "fleet" calls it.
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

// Options holds the settings of an experiment.
type Options struct {
	Binary    string
	OldBinary string
	Arms      []string // NAME=FILE, where FILE holds configuration overrides in JSON
	Seed      uint64
	SeedCount int
	Dir       string
	Quiet     bool
}

// playedRun is the run of one build with one seed.
type playedRun struct {
	build    string
	seed     uint64
	analysis *judge.Analysis
	rec      *record.Records
	checks   []judge.Check
}

// Run runs a scenario file and writes the table and the checks to out. It returns the number of failed checks, without those
// of the old build.
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
	runs, err := playAll(ctx, s, builds, o, live)
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
	WriteTable(out, s, names, runs)
	return writeChecks(out, runs), nil
}

// playAll runs a scenario with each seed and build, and evaluates each run.
func playAll(ctx context.Context, s *scenario.Scenario, builds []fleet.Build, o Options, live io.Writer) (runs []playedRun, err error) {
	for i := range max(1, o.SeedCount) {
		for _, b := range builds {
			run, err := playOne(ctx, s, b, o, o.Seed+uint64(i), live)
			if err != nil {
				return nil, err
			}
			runs = append(runs, run)
		}
	}
	return runs, nil
}

// playOne runs a scenario with one seed and build, saves its records if o.Dir names a directory, and evaluates it.
func playOne(ctx context.Context, s *scenario.Scenario, b fleet.Build, o Options, seed uint64, live io.Writer) (run playedRun, err error) {
	dir := ""
	if o.Dir != "" {
		dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%s-%d", s.Name, b.Name, seed))
	}
	rec, err := fleet.Play(ctx, s, b, fleet.Options{Seed: seed, Progress: live, LogDir: dir})
	if err != nil {
		return run, fmt.Errorf("%s, seed %d: %w", b.Name, seed, err)
	}
	if dir != "" {
		if err := rec.Save(dir); err != nil {
			return run, err
		}
	}
	checks, analysis, err := judge.Evaluate(rec)
	if err != nil {
		return run, err
	}
	return playedRun{build: b.Name, seed: seed, analysis: analysis, rec: rec, checks: checks}, nil
}

// writeChecks writes the failed checks and a total. It returns the number of failed checks, without those of the old build.
func writeChecks(out io.Writer, runs []playedRun) (failed int) {
	passed := 0
	for _, run := range runs {
		for _, check := range run.checks {
			switch {
			case check.Passed:
				if run.build != oldBuildName {
					passed++
				}
				continue
			case run.build != oldBuildName:
				failed++
			}
			fmt.Fprintf(out, "failed: %s, seed %d: %s: %s\n", run.build, run.seed, check.Name, check.Text)
		}
	}
	fmt.Fprintf(out, "checks: %d passed, %d failed\n", passed, failed)
	return failed
}

const oldBuildName = "old"

// listBuilds returns the builds that are run with each seed: the new one, the old one if given, and one for each arm.
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
			return nil, fmt.Errorf("--arm %q must be NAME=FILE with a unique name", arm)
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

// WriteTable writes the figures of each window as a Markdown table with a row for each build, as medians over the seeds.
func WriteTable(out io.Writer, s *scenario.Scenario, builds []string, runs []playedRun) {
	windows := append(slices.Clone(s.Windows), scenario.Window{Name: "all", FromS: 0, ToS: s.Seconds})
	fmt.Fprintf(out, "\n%s: %s\n", s.Name, s.About)
	fmt.Fprintf(out, "\n| window | build | requests | worth | of bound | served | refused | failed | attempts | idle beside waiting | wait mean, p99 (s) | longest queue | herd | left out | inverted |")
	for _, class := range s.Classes {
		fmt.Fprintf(out, " %s |", class.Name)
	}
	fmt.Fprintf(out, "\n|%s\n", strings.Repeat(" --- |", 15+len(s.Classes)))
	for _, w := range windows {
		for _, b := range builds {
			var figures []judge.Figures
			classes := make([][]float64, len(s.Classes))
			for _, run := range runs {
				if run.build == b {
					figures = append(figures, run.analysis.WindowFigures(w, -1, -1))
					for i := range s.Classes {
						classes[i] = append(classes[i], run.analysis.ClientFigures(w, i, -1).Worth)
					}
				}
			}
			medianOf := func(f func(judge.Figures) float64) float64 {
				var values []float64
				for _, x := range figures {
					values = append(values, f(x))
				}
				return median(values)
			}
			fmt.Fprintf(out, "| %s | %s | %.0f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f, %.2f | %.1f | %.1f | %.0f | %.3f |", w.Name, b,
				medianOf(func(f judge.Figures) float64 { return float64(f.Requests) }), medianOf(func(f judge.Figures) float64 { return f.Worth }),
				medianOf(func(f judge.Figures) float64 { return f.OfBound }), medianOf(func(f judge.Figures) float64 { return f.Served }),
				medianOf(func(f judge.Figures) float64 { return f.Refused }), medianOf(func(f judge.Figures) float64 { return f.Failed }),
				medianOf(func(f judge.Figures) float64 { return f.Attempts }), medianOf(func(f judge.Figures) float64 { return f.IdleBesideWaiting }),
				medianOf(func(f judge.Figures) float64 { return f.WaitMeanS }), medianOf(func(f judge.Figures) float64 { return f.WaitP99S }),
				medianOf(func(f judge.Figures) float64 { return f.QueueLong }), medianOf(func(f judge.Figures) float64 { return f.Herd }),
				medianOf(func(f judge.Figures) float64 { return float64(f.StarvedWorkers) }), medianOf(func(f judge.Figures) float64 { return f.InvertedShare }))
			for i := range classes {
				fmt.Fprintf(out, " %.3f |", median(classes[i]))
			}
			fmt.Fprintln(out)
		}
	}
	fmt.Fprintln(out)
	for _, b := range builds {
		for _, run := range runs {
			if run.build == b {
				about := run.rec.About
				fmt.Fprintf(out, "%s, seed %d: jobs sent %d on %d new connections, probes %d, messages %d\n", b, run.seed, len(run.rec.Attempts), about.Paths["job"].Opened, about.Probes, about.Messages)
			}
		}
	}
}

// median returns the median of v, or 0 if v is empty.
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
