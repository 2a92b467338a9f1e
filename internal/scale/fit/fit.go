// Package fit puts straight lines through the figures of runs, and tells where a line does not describe them.
package fit

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"cobaltflow/internal/scale/result"
)

const (
	confidence            = 0.95
	minR2                 = 0.9  // under it a line explains too little of what was seen
	lackOfFitSignificance = 0.05 // of the F test for lack of fit
	maxMeanDeviation      = 0.1  // how far a mean may lie off the line, as a part of the figure's range
)

// group is the runs of one case and build, along one parameter.
type seriesKey struct {
	caseName  string
	kind      result.Kind
	program   string
	parameter string
}

// Slopes fits each figure of each case along the one parameter in which the case's runs differ. A figure that was not
// measured at two values of it gets no line.
func Slopes(runs []result.Run) (slopes []result.Slope) {
	groups := map[seriesKey][]result.Run{}
	var order []seriesKey
	for _, r := range runs {
		if r.MissedReason != "" {
			continue
		}
		g := seriesKey{caseName: r.Case, kind: r.Kind, program: r.Program}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], r)
	}
	for _, g := range order {
		list := groups[g]
		for _, parameter := range variedParameters(list) {
			g.parameter = parameter
			for _, figure := range figureNames(list) {
				if s, ok := fitLine(g, figure, list); ok {
					slopes = append(slopes, s)
				}
			}
		}
	}
	return slopes
}

// varied names the parameters that differ among runs.
func variedParameters(runs []result.Run) (names []string) {
	for name, first := range runs[0].Parameters {
		if slices.ContainsFunc(runs, func(r result.Run) bool { return r.Parameters[name] != first }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func figureNames(runs []result.Run) (names []string) {
	for _, r := range runs {
		for name := range r.Figures {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// line fits one figure.
func fitLine(g seriesKey, figure string, runs []result.Run) (result.Slope, bool) {
	var xs, ys []float64
	for _, r := range runs {
		if y, measured := r.Figures[figure]; measured {
			xs, ys = append(xs, r.Parameters[g.parameter]), append(ys, y)
		}
	}
	s := result.Slope{Case: g.caseName, Kind: g.kind, Program: g.program, Figure: figure, Parameter: g.parameter, Points: len(xs)}
	if len(xs) == 0 {
		return s, false
	}
	s.From, s.To = slices.Min(xs), slices.Max(xs)
	if s.From == s.To {
		return s, false
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) {
		s.R2 = 1 // all figures are the same: the level line meets each
	}
	half := intervalHalfWidth(xs, ys, s.Intercept, s.Slope)
	s.Low, s.High = s.Slope-half, s.Slope+half
	s.PoorFitReason = poorFitReason(xs, ys, &s)
	return s, true
}

// interval is half the width of the slope's confidence interval; 0 where two points leave no freedom.
func intervalHalfWidth(xs, ys []float64, intercept, slope float64) float64 {
	freedom := float64(len(xs) - 2)
	if freedom < 1 {
		return 0
	}
	residual := 0.0
	for i := range xs {
		off := ys[i] - intercept - slope*xs[i]
		residual += off * off
	}
	spread := stat.Variance(xs, nil) * float64(len(xs)-1)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(1 - (1-confidence)/2)
	return t * math.Sqrt(residual/freedom/spread)
}

// whyNot tells why a line does not describe the figures; empty: nothing speaks against it.
func poorFitReason(xs, ys []float64, s *result.Slope) string {
	switch {
	case slices.Min(ys) == slices.Max(ys):
		return "" // the level line meets each
	case len(xs) < 3:
		return "two points: any line would do"
	case s.Low <= 0 && s.High >= 0:
		return "the slope's interval holds 0: no growth was seen beyond the scatter"
	}
	if text := lackOfFit(xs, ys, s); text != "" {
		return text
	}
	if s.R2 < minR2 {
		return fmt.Sprintf("R² is %.2f: the runs scatter widely around it", s.R2)
	}
	return meanDeviation(xs, ys, s)
}

// offTheLine tells of means that lie far off the line, for runs whose scatter tells nothing: they are not repeated, or
// are counts that come out the same.
func meanDeviation(xs, ys []float64, s *result.Slope) string {
	height := slices.Max(ys) - slices.Min(ys)
	for _, l := range groupByLevel(xs, ys) {
		off := l.mean - s.Intercept - s.Slope*l.x
		if math.Abs(off) > maxMeanDeviation*height {
			return fmt.Sprintf("at %g the mean lies %+.0f %% of the range off the line", l.x, 100*off/height)
		}
	}
	return ""
}

// level is the runs at one value of the parameter.
type level struct {
	x, mean, squaredError float64 // within: the sum of squares around the mean
	runs                  int
}

func groupByLevel(xs, ys []float64) (list []level) {
	byX := map[float64][]float64{}
	for i, x := range xs {
		byX[x] = append(byX[x], ys[i])
	}
	for x, at := range byX {
		l := level{x: x, mean: stat.Mean(at, nil), runs: len(at)}
		for _, y := range at {
			l.squaredError += (y - l.mean) * (y - l.mean)
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b level) int { return cmp.Compare(a.x, b.x) })
	return list
}

// lackOfFit is the F test for lack of fit: how far the means at each value lie off the line, beside the scatter of
// repeated runs. It needs three values and repeated runs.
func lackOfFit(xs, ys []float64, s *result.Slope) string {
	list := groupByLevel(xs, ys)
	free := float64(len(xs) - len(list))
	if len(list) < 3 || free < 1 {
		return ""
	}
	within, between, worst := 0.0, 0.0, 0.0
	var at level
	for _, l := range list {
		within += l.squaredError
		off := l.mean - s.Intercept - s.Slope*l.x
		between += float64(l.runs) * off * off
		if math.Abs(off) > math.Abs(worst) {
			worst, at = off, l
		}
	}
	if within == 0 {
		return ""
	}
	extra := float64(len(list) - 2)
	ratio := between / extra / (within / free)
	p := distuv.F{D1: extra, D2: free}.Survival(ratio)
	if p >= lackOfFitSignificance {
		return ""
	}
	return fmt.Sprintf("lack of fit (F test, p = %.3f): at %g the mean is %.3g off the line", p, at.x, worst)
}
