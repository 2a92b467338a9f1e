// Package report makes one HTML file of a run's records: charts and tables that open without a network.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cobaltflow/internal/fleet/judge"
	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// Run is one run as the report shows it.
type Run struct {
	Title  string
	About  string
	Checks []judge.Check
	Rows   []Row
	Charts []template.HTML
	Faults []string
}

// Row is a window of the run.
type Row struct {
	Name    string
	Figures judge.Figures
}

// Write makes the file of the records that stand in directories.
func Write(path string, dirs []string) error {
	var runs []Run
	for _, dir := range dirs {
		rec, err := record.Open(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		run, err := newRun(rec)
		if err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		runs = append(runs, run)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, runs); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

func newRun(rec *record.Records) (run Run, err error) {
	s := &scenario.Scenario{}
	if err := json.Unmarshal(rec.About.Scenario, s); err != nil {
		return run, err
	}
	var analysis *judge.Analysis
	if run.Checks, analysis, err = judge.Evaluate(rec); err != nil {
		return run, err
	}
	run.Title = fmt.Sprintf("%s, build %s, seed %d", s.Name, rec.About.Build, rec.About.Seed)
	run.About = s.About
	for _, w := range append(slices.Clone(s.Windows), scenario.Window{Name: "all", ToS: s.Seconds}) {
		run.Rows = append(run.Rows, Row{w.Name, analysis.WindowFigures(w, -1, -1)})
	}
	var marks []float64
	for _, e := range rec.Events {
		if e.Scheduler >= 0 || e.Worker >= 0 && e.Kind != "fell" {
			continue
		}
		marks = append(marks, float64(e.AtUS)/1e6)
		what := e.Kind
		if e.IsEnd {
			what += " ends"
		}
		run.Faults = append(run.Faults, fmt.Sprintf("%.1f s: %s %s", float64(e.AtUS)/1e6, what, e.Text))
	}
	charts := []func() (*plot.Plot, error){
		func() (*plot.Plot, error) { return chartValue(s, analysis, marks) }, func() (*plot.Plot, error) { return chartUnservedTries(s, rec, marks) },
		func() (*plot.Plot, error) { return chartLoad(s, rec, marks) },
	}
	for _, chart := range charts {
		p, err := chart()
		if err != nil {
			return run, err
		}
		c := vgsvg.New(22*vg.Centimeter, 8*vg.Centimeter)
		p.Draw(draw.New(c))
		var svg bytes.Buffer
		if _, err := c.WriteTo(&svg); err != nil {
			return run, err
		}
		text := svg.String()
		if at := strings.Index(text, "<svg"); at > 0 {
			text = text[at:]
		}
		run.Charts = append(run.Charts, template.HTML(text))
	}
	return run, nil
}

var lineColours = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 94, 20, 255}, color.RGBA{44, 140, 44, 255}, color.RGBA{148, 103, 189, 255},
	color.RGBA{140, 86, 75, 255}, color.RGBA{20, 150, 170, 255}, color.RGBA{110, 110, 110, 255}, color.RGBA{190, 20, 60, 255}}

// chart makes an empty one with the faults marked.
func newChart(title, y string, seconds, most float64, marks []float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Min, p.X.Max = 0, seconds*1.22 // room for the legend
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Y.Min, p.Legend.Top = 0, false
	if most > 0 {
		p.Y.Max = most
	}
	p.Add(plotter.NewGrid())
	for _, at := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: max(most, 1)}})
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes = color.RGBA{200, 0, 0, 255}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
	}
	return p, nil
}

func addLine(p *plot.Plot, name string, i int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = lineColours[i%len(lineColours)], vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// served is the part of the worth that is earned, second by second, by site and by class.
func chartValue(s *scenario.Scenario, analysis *judge.Analysis, marks []float64) (*plot.Plot, error) {
	p, err := newChart("Worth earned within what was asked for, by when it was due", "part", s.Seconds, 1, marks)
	if err != nil {
		return nil, err
	}
	line := 0
	over := func(name string, class, site int) error {
		var points plotter.XYs
		for at := 0.0; at+1 <= s.Seconds; at++ {
			if f := analysis.ClientFigures(scenario.Window{FromS: at, ToS: at + 1}, class, site); f.Requests > 0 {
				points = append(points, plotter.XY{X: at + 0.5, Y: f.Worth})
			}
		}
		line++
		return addLine(p, name, line-1, points)
	}
	for i, x := range s.Sites {
		if err := over("clients of "+x.Name, -1, i); err != nil {
			return nil, err
		}
	}
	for i, c := range s.Classes {
		if err := over(c.Name, i, -1); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// ends are the tries that were not served, second by second, by how they ended.
func chartUnservedTries(s *scenario.Scenario, rec *record.Records, marks []float64) (*plot.Plot, error) {
	count := map[string][]float64{}
	most := 1.0
	for i := range rec.Tries {
		t := &rec.Tries[i]
		how := t.End
		switch {
		case t.Status == 200:
			continue
		case t.Status == 429 || t.Status == 503:
			how = "refused"
		case t.Status > 0:
			how = "failed"
		}
		if count[how] == nil {
			count[how] = make([]float64, int(s.Seconds)+1)
		}
		at := min(max(0, int(t.SentUS/1e6)), int(s.Seconds))
		count[how][at]++
		most = max(most, count[how][at])
	}
	p, err := newChart("Tries that were not served, by when they were sent", "a second", s.Seconds, most, marks)
	if err != nil {
		return nil, err
	}
	line := 0
	for _, how := range []string{"refused", "failed", record.EndUnreachable, record.EndBroken, record.EndCancelled} {
		if count[how] == nil {
			continue
		}
		var points plotter.XYs
		for at, n := range count[how] {
			points = append(points, plotter.XY{X: float64(at) + 0.5, Y: n})
		}
		if err := addLine(p, how, line, points); err != nil {
			return nil, err
		}
		line++
	}
	return p, nil
}

// load is how many jobs run and wait at the workers of each site, and the longest queue anywhere.
func chartLoad(s *scenario.Scenario, rec *record.Records, marks []float64) (*plot.Plot, error) {
	var site []int
	for i, x := range s.Sites {
		for range x.Workers {
			site = append(site, i)
		}
	}
	running, waiting := make([]plotter.XYs, len(s.Sites)), make([]plotter.XYs, len(s.Sites))
	var longest plotter.XYs
	var at int64 = -1
	most := 1.0
	for i := range rec.Samples {
		x := &rec.Samples[i]
		if x.AtUS != at {
			at = x.AtUS
			for k := range s.Sites {
				running[k] = append(running[k], plotter.XY{X: float64(at) / 1e6})
				waiting[k] = append(waiting[k], plotter.XY{X: float64(at) / 1e6})
			}
			longest = append(longest, plotter.XY{X: float64(at) / 1e6})
		}
		k := site[x.Worker]
		running[k][len(running[k])-1].Y += float64(x.Running)
		waiting[k][len(waiting[k])-1].Y += float64(x.Waiting)
		longest[len(longest)-1].Y = max(longest[len(longest)-1].Y, float64(x.Waiting))
		most = max(most, running[k][len(running[k])-1].Y, waiting[k][len(waiting[k])-1].Y)
	}
	p, err := newChart("Jobs at the table workers", "jobs", s.Seconds, most, marks)
	if err != nil {
		return nil, err
	}
	for i, x := range s.Sites {
		if err := addLine(p, "running, "+x.Name, 2*i, running[i]); err != nil {
			return nil, err
		}
		if err := addLine(p, "waiting, "+x.Name, 2*i+1, waiting[i]); err != nil {
			return nil, err
		}
	}
	return p, addLine(p, "longest queue", 2*len(s.Sites), longest)
}
