// Package fit fits straight lines to the figures of runs by least squares and reports where a line does not describe
// them. Packages scale and hollow call it.
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
	minR2                 = 0.9  // below it a line explains too little of the variance
	lackOfFitSignificance = 0.05 // significance level of the F test for lack of fit
	maxMeanDeviation      = 0.1  // how far a mean may be from the line, as a fraction of the figure's range
)

// seriesKey identifies the runs of one case and build along one parameter.
type seriesKey struct {
	caseName  string
	kind      result.Kind
	program   string
	parameter string
}

// Slopes fits a line to each figure of each case, for every parameter in which the runs of the case differ. A figure that
// was measured at fewer than two values of the parameter gets no line.
func Slopes(runs []result.Run) (slopes []result.Slope) {
	runsBySeries := map[seriesKey][]result.Run{}
	var order []seriesKey
	for _, r := range runs {
		if r.MissedReason != "" {
			continue
		}
		key := seriesKey{caseName: r.Case, kind: r.Kind, program: r.Program}
		if runsBySeries[key] == nil {
			order = append(order, key)
		}
		runsBySeries[key] = append(runsBySeries[key], r)
	}
	for _, key := range order {
		series := runsBySeries[key]
		for _, parameter := range variedParameters(series) {
			key.parameter = parameter
			for _, figure := range figureNames(series) {
				if s, ok := fitLine(key, figure, series); ok {
					slopes = append(slopes, s)
				}
			}
		}
	}
	return slopes
}

// variedParameters returns the sorted names of the parameters whose values differ between the runs.
func variedParameters(runs []result.Run) (names []string) {
	for name, first := range runs[0].Parameters {
		if slices.ContainsFunc(runs, func(r result.Run) bool { return r.Parameters[name] != first }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// figureNames returns the names of all figures of the runs, sorted.
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

// fitLine fits a line to one figure of a series. It returns false if the figure was measured at fewer than two values
// of the parameter.
func fitLine(key seriesKey, figure string, runs []result.Run) (result.Slope, bool) {
	var xs, ys []float64
	for _, r := range runs {
		if y, measured := r.Figures[figure]; measured {
			xs, ys = append(xs, r.Parameters[key.parameter]), append(ys, y)
		}
	}
	s := result.Slope{Case: key.caseName, Kind: key.kind, Program: key.program, Figure: figure, Parameter: key.parameter, Points: len(xs)}
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
		s.R2 = 1 // all values are equal: the horizontal line fits exactly
	}
	halfWidth := intervalHalfWidth(xs, ys, s.Intercept, s.Slope)
	s.Low, s.High = s.Slope-halfWidth, s.Slope+halfWidth
	s.PoorFitReason = poorFitReason(xs, ys, &s)
	return s, true
}

// intervalHalfWidth returns half the width of the slope's confidence interval, or 0 if two points leave no degree of
// freedom.
func intervalHalfWidth(xs, ys []float64, intercept, slope float64) float64 {
	degreesOfFreedom := float64(len(xs) - 2)
	if degreesOfFreedom < 1 {
		return 0
	}
	residualSum := 0.0
	for i := range xs {
		residual := ys[i] - intercept - slope*xs[i]
		residualSum += residual * residual
	}
	spread := stat.Variance(xs, nil) * float64(len(xs)-1)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(1 - (1-confidence)/2)
	return t * math.Sqrt(residualSum/degreesOfFreedom/spread)
}

// poorFitReason returns why a line does not describe the figures, or "" if no check rejects it.
func poorFitReason(xs, ys []float64, s *result.Slope) string {
	switch {
	case slices.Min(ys) == slices.Max(ys):
		return "" // the horizontal line fits exactly
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

// meanDeviation returns a reason if the mean at one value of the parameter is too far from the line. It covers runs for
// which the F test has no scatter to compare with: runs that are not repeated, and counts that do not vary.
func meanDeviation(xs, ys []float64, s *result.Slope) string {
	valueRange := slices.Max(ys) - slices.Min(ys)
	for _, l := range groupByLevel(xs, ys) {
		deviation := l.mean - s.Intercept - s.Slope*l.x
		if math.Abs(deviation) > maxMeanDeviation*valueRange {
			return fmt.Sprintf("at %g the mean lies %+.0f %% of the range off the line", l.x, 100*deviation/valueRange)
		}
	}
	return ""
}

// level summarizes the runs at one value of the parameter.
type level struct {
	x, mean, squaredError float64 // squaredError: sum of squared deviations from the mean
	runs                  int
}

// groupByLevel groups points by x and returns the groups in ascending order of x.
func groupByLevel(xs, ys []float64) (list []level) {
	byX := map[float64][]float64{}
	for i, x := range xs {
		byX[x] = append(byX[x], ys[i])
	}
	for x, values := range byX {
		l := level{x: x, mean: stat.Mean(values, nil), runs: len(values)}
		for _, y := range values {
			l.squaredError += (y - l.mean) * (y - l.mean)
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b level) int { return cmp.Compare(a.x, b.x) })
	return list
}

// lackOfFit runs the F test for lack of fit, which compares the deviation of the means from the line with the scatter of
// repeated runs, and returns a reason if the test rejects the line. It returns "" if there are fewer than three values of
// the parameter, no repeated runs or no scatter.
func lackOfFit(xs, ys []float64, s *result.Slope) string {
	list := groupByLevel(xs, ys)
	pureErrorFreedom := float64(len(xs) - len(list))
	if len(list) < 3 || pureErrorFreedom < 1 {
		return ""
	}
	within, between, worst := 0.0, 0.0, 0.0
	var worstLevel level
	for _, l := range list {
		within += l.squaredError
		deviation := l.mean - s.Intercept - s.Slope*l.x
		between += float64(l.runs) * deviation * deviation
		if math.Abs(deviation) > math.Abs(worst) {
			worst, worstLevel = deviation, l
		}
	}
	if within == 0 {
		return ""
	}
	lackOfFitFreedom := float64(len(list) - 2)
	ratio := between / lackOfFitFreedom / (within / pureErrorFreedom)
	p := distuv.F{D1: lackOfFitFreedom, D2: pureErrorFreedom}.Survival(ratio)
	if p >= lackOfFitSignificance {
		return ""
	}
	return fmt.Sprintf("lack of fit (F test, p = %.3f): at %g the mean is %.3g off the line", p, worstLevel.x, worst)
}
