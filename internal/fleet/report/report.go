// Package report renders the records of runs as one self-contained HTML file with tables and charts, which needs no network
// to be opened. Package experiment calls it.
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

// Run holds the data of one run that the template shows.
type Run struct {
	Title  string
	About  string
	Checks []judge.Check
	Rows   []Row
	Charts []template.HTML
	Faults []string
}

// Row holds the figures of one window of a run.
type Row struct {
	Name    string
	Figures judge.Figures
}

// Write writes the report of the records in dirs, each the directory of one run, to the file path.
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

// newRun evaluates the records of a run and draws its charts.
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
	for _, window := range append(slices.Clone(s.Windows), scenario.Window{Name: "all", ToS: s.Seconds}) {
		run.Rows = append(run.Rows, Row{window.Name, analysis.WindowFigures(window, -1, -1)})
	}
	var marks []float64
	for _, event := range rec.Events {
		if event.Scheduler >= 0 || event.Worker >= 0 && event.Kind != "fell" {
			continue
		}
		marks = append(marks, float64(event.AtUS)/1e6)
		kind := event.Kind
		if event.IsEnd {
			kind += " ends"
		}
		run.Faults = append(run.Faults, fmt.Sprintf("%.1f s: %s %s", float64(event.AtUS)/1e6, kind, event.Text))
	}
	charts := []func() (*plot.Plot, error){
		func() (*plot.Plot, error) { return chartValue(s, analysis, marks) }, func() (*plot.Plot, error) { return chartUnservedTries(s, rec, marks) },
		func() (*plot.Plot, error) { return chartLoad(s, rec, marks) },
	}
	for _, chart := range charts {
		figure, err := chart()
		if err != nil {
			return run, err
		}
		canvas := vgsvg.New(22*vg.Centimeter, 8*vg.Centimeter)
		figure.Draw(draw.New(canvas))
		var svg bytes.Buffer
		if _, err := canvas.WriteTo(&svg); err != nil {
			return run, err
		}
		text := svg.String()
		if start := strings.Index(text, "<svg"); start > 0 {
			text = text[start:]
		}
		run.Charts = append(run.Charts, template.HTML(text))
	}
	return run, nil
}

var lineColours = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 94, 20, 255}, color.RGBA{44, 140, 44, 255}, color.RGBA{148, 103, 189, 255},
	color.RGBA{140, 86, 75, 255}, color.RGBA{20, 150, 170, 255}, color.RGBA{110, 110, 110, 255}, color.RGBA{190, 20, 60, 255}}

// newChart returns an empty chart with the times of the faults marked. maxY is the upper end of the y axis; 0: automatic.
func newChart(title, yLabel string, seconds, maxY float64, marks []float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Min, p.X.Max = 0, seconds*1.22 // space for the legend
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.Y.Min, p.Legend.Top = 0, false
	if maxY > 0 {
		p.Y.Max = maxY
	}
	p.Add(plotter.NewGrid())
	for _, mark := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark, Y: 0}, {X: mark, Y: max(maxY, 1)}})
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes = color.RGBA{200, 0, 0, 255}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
	}
	return p, nil
}

// addLine adds a line with a legend entry to a chart, in the colour of index.
func addLine(p *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = lineColours[index%len(lineColours)], vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// chartValue draws the part of the value that is earned in each second, by site and by class.
func chartValue(s *scenario.Scenario, analysis *judge.Analysis, marks []float64) (*plot.Plot, error) {
	p, err := newChart("Worth earned within what was asked for, by when it was due", "part", s.Seconds, 1, marks)
	if err != nil {
		return nil, err
	}
	lines := 0
	addValueLine := func(name string, classIndex, siteIndex int) error {
		var points plotter.XYs
		for atS := 0.0; atS+1 <= s.Seconds; atS++ {
			if f := analysis.ClientFigures(scenario.Window{FromS: atS, ToS: atS + 1}, classIndex, siteIndex); f.Requests > 0 {
				points = append(points, plotter.XY{X: atS + 0.5, Y: f.Worth})
			}
		}
		lines++
		return addLine(p, name, lines-1, points)
	}
	for i, site := range s.Sites {
		if err := addValueLine("clients of "+site.Name, -1, i); err != nil {
			return nil, err
		}
	}
	for i, class := range s.Classes {
		if err := addValueLine(class.Name, i, -1); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// chartUnservedTries draws the number of unserved tries in each second, by how they ended.
func chartUnservedTries(s *scenario.Scenario, rec *record.Records, marks []float64) (*plot.Plot, error) {
	count := map[string][]float64{}
	maxCount := 1.0
	for i := range rec.Tries {
		try := &rec.Tries[i]
		end := try.End
		switch {
		case try.Status == 200:
			continue
		case try.Status == 429 || try.Status == 503:
			end = "refused"
		case try.Status > 0:
			end = "failed"
		}
		if count[end] == nil {
			count[end] = make([]float64, int(s.Seconds)+1)
		}
		second := min(max(0, int(try.SentUS/1e6)), int(s.Seconds))
		count[end][second]++
		maxCount = max(maxCount, count[end][second])
	}
	p, err := newChart("Tries that were not served, by when they were sent", "a second", s.Seconds, maxCount, marks)
	if err != nil {
		return nil, err
	}
	lines := 0
	for _, end := range []string{"refused", "failed", record.EndUnreachable, record.EndBroken, record.EndCancelled} {
		if count[end] == nil {
			continue
		}
		var points plotter.XYs
		for second, tries := range count[end] {
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: tries})
		}
		if err := addLine(p, end, lines, points); err != nil {
			return nil, err
		}
		lines++
	}
	return p, nil
}

// chartLoad draws the running and waiting jobs at the workers of each site, and the longest queue of any worker.
func chartLoad(s *scenario.Scenario, rec *record.Records, marks []float64) (*plot.Plot, error) {
	var workerSite []int
	for i, site := range s.Sites {
		for range site.Workers {
			workerSite = append(workerSite, i)
		}
	}
	running, waiting := make([]plotter.XYs, len(s.Sites)), make([]plotter.XYs, len(s.Sites))
	var longest plotter.XYs
	var atUS int64 = -1
	maxJobs := 1.0
	for i := range rec.Samples {
		sample := &rec.Samples[i]
		if sample.AtUS != atUS {
			atUS = sample.AtUS
			for site := range s.Sites {
				running[site] = append(running[site], plotter.XY{X: float64(atUS) / 1e6})
				waiting[site] = append(waiting[site], plotter.XY{X: float64(atUS) / 1e6})
			}
			longest = append(longest, plotter.XY{X: float64(atUS) / 1e6})
		}
		site := workerSite[sample.Worker]
		running[site][len(running[site])-1].Y += float64(sample.Running)
		waiting[site][len(waiting[site])-1].Y += float64(sample.Waiting)
		longest[len(longest)-1].Y = max(longest[len(longest)-1].Y, float64(sample.Waiting))
		maxJobs = max(maxJobs, running[site][len(running[site])-1].Y, waiting[site][len(waiting[site])-1].Y)
	}
	p, err := newChart("Jobs at the table workers", "jobs", s.Seconds, maxJobs, marks)
	if err != nil {
		return nil, err
	}
	for i, site := range s.Sites {
		if err := addLine(p, "running, "+site.Name, 2*i, running[i]); err != nil {
			return nil, err
		}
		if err := addLine(p, "waiting, "+site.Name, 2*i+1, waiting[i]); err != nil {
			return nil, err
		}
	}
	return p, addLine(p, "longest queue", 2*len(s.Sites), longest)
}
