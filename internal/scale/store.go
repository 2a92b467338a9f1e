package scale

import (
	"cmp"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cobaltflow/internal/scale/result"
)

// Row is one figure of one run as stored in the Parquet file.
type Row struct {
	Case    string  `parquet:"case,dict"`
	Kind    string  `parquet:"kind,dict"`
	Program string  `parquet:"program,dict"`
	Run     int32   `parquet:"run"` // index of the run in the results file
	Seed    uint64  `parquet:"seed"`
	Figure  string  `parquet:"figure,dict"`
	Value   float64 `parquet:"value"`
	Missed  string  `parquet:"missed,dict"`

	Parameters map[string]float64 `parquet:"parameters"`
}

// Rows returns the figures of all runs. A run without figures has one row without a figure.
func Rows(f *result.File) (rows []Row) {
	for number, r := range f.Runs {
		row := Row{Case: r.Case, Kind: string(r.Kind), Program: r.Program, Run: int32(number), Seed: r.Seed, Missed: r.MissedReason, Parameters: r.Parameters}
		if len(r.Figures) == 0 {
			rows = append(rows, row)
		}
		for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
			row.Figure, row.Value = name, r.Figures[name]
			rows = append(rows, row)
		}
	}
	return rows
}

// Store writes the results as JSON to path, and beside it a Parquet file and a chart of each slope of the charted
// figures.
func Store(path string, f *result.File) error {
	if err := f.Write(path); err != nil {
		return err
	}
	base := strings.TrimSuffix(path, filepath.Ext(path))
	if err := parquet.WriteFile(base+".parquet", Rows(f), parquet.Compression(&parquet.Zstd)); err != nil {
		return err
	}
	charts := base + "-charts"
	if err := os.MkdirAll(charts, 0o755); err != nil {
		return err
	}
	for _, c := range collectCharts(f) {
		if err := c.writeSVG(charts); err != nil {
			return err
		}
	}
	return nil
}

// chart identifies one figure of a case along a parameter, for all builds.
type chart struct{ caseName, figure, parameter string }

// chartedFigures are the figures that are charted.
var chartedFigures = []string{"rss_bytes", "rss_tasks_bytes", "cpu_at_rest_cores", "cpu_tasks_cores", "cpu_loaded_cores", "control_bytes_per_s",
	"connections_per_job", "probes_per_job", "loop_ping_max_ms", "in_force_max_ms", "gang_start_max_ms", "recovery_s", "list_known_s"}

// chartSeries is a chart with the runs and slopes that it shows.
type chartSeries struct {
	chart
	runs   []result.Run
	slopes []result.Slope
}

// collectCharts returns a chart for each charted figure that has a slope.
func collectCharts(f *result.File) (list []chartSeries) {
	for _, s := range f.Slopes {
		if !slices.Contains(chartedFigures, s.Figure) {
			continue
		}
		key := chart{s.Case, s.Figure, s.Parameter}
		index := slices.IndexFunc(list, func(c chartSeries) bool { return c.chart == key })
		if index < 0 {
			index = len(list)
			list = append(list, chartSeries{chart: key})
			for _, r := range f.Runs {
				if r.Case == s.Case && r.MissedReason == "" {
					list[index].runs = append(list[index].runs, r)
				}
			}
		}
		list[index].slopes = append(list[index].slopes, s)
	}
	return list
}

var chartColors = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 94, 20, 255}, color.RGBA{44, 140, 44, 255}}

// writeSVG writes the chart: a point for each run and the line of each build.
func (c *chartSeries) writeSVG(dir string) error {
	p := plot.New()
	p.Title.Text = c.caseName + ": " + c.figure
	p.X.Label.Text, p.Y.Label.Text = c.parameter, c.figure
	slices.SortFunc(c.slopes, func(a, b result.Slope) int { return cmp.Compare(a.Program, b.Program) })
	for i, s := range c.slopes {
		var points plotter.XYs
		for _, r := range c.runs {
			if y, measured := r.Figures[c.figure]; measured && r.Program == s.Program {
				points = append(points, plotter.XY{X: r.Parameters[c.parameter], Y: y})
			}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		line, err := plotter.NewLine(plotter.XYs{{X: s.From, Y: s.Intercept + s.Slope*s.From}, {X: s.To, Y: s.Intercept + s.Slope*s.To}})
		if err != nil {
			return err
		}
		paint := chartColors[i%len(chartColors)]
		scatter.Color, line.Color = paint, paint
		p.Add(scatter, line)
		p.Legend.Add(s.Program, line)
	}
	p.Y.Min = min(0, p.Y.Min)
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.caseName+"-"+c.figure+".svg"))
}
