package capacity

import (
	"fmt"
	"math"
	"slices"

	"cobaltflow/internal/scale/result"
)

// estimate is the value of a term with the evidence for it.
type estimate struct {
	value         float64
	unknownReason string  // why there is no value; empty: there is one
	evidence      []int   // numbers of the evidence entries that the value is computed from
	extrapolation float64 // size divided by the nearest measured size, or its inverse if smaller; 1: within the range
	// measuredAt names the size at which the value was measured if that is far from the requested size. Nothing is
	// extrapolated then: the value is the one at that size.
	measuredAt   string
	isUpperBound bool // the interval of a slope contains 0, and its upper end was used in place of the slope
}

func (e *estimate) isKnown() bool { return e.unknownReason == "" }

// isMeasured reports whether the value depends on a result and not on sizes alone.
func (e *estimate) isMeasured() bool { return len(e.evidence) > 0 }

// multiplyBy returns the product of two estimates. It has the evidence of both and the larger extrapolation.
func (e estimate) multiplyBy(other estimate) estimate {
	product := e.merge(other)
	product.value = e.value * other.value
	return product
}

// divideBy returns the quotient of two estimates. It is unknown if the divisor is 0.
func (e estimate) divideBy(other estimate) estimate {
	quotient := e.merge(other)
	quotient.value = e.value / other.value
	if other.isKnown() && other.value == 0 {
		quotient.unknownReason = "there were none to divide by"
	}
	return quotient
}

// add returns the sum of two estimates.
func (e estimate) add(other estimate) estimate {
	sum := e.merge(other)
	sum.value = e.value + other.value
	return sum
}

// merge combines everything but the value and measuredAt of two estimates.
func (e estimate) merge(other estimate) estimate {
	merged := estimate{unknownReason: e.unknownReason, extrapolation: max(e.extrapolation, other.extrapolation), isUpperBound: e.isUpperBound || other.isUpperBound}
	if merged.unknownReason == "" {
		merged.unknownReason = other.unknownReason
	}
	merged.evidence = append(slices.Clone(e.evidence), other.evidence...)
	slices.Sort(merged.evidence)
	merged.evidence = slices.Compact(merged.evidence)
	return merged
}

// estimator evaluates terms with the results of one program.
type estimator struct {
	program  *Program
	sizes    sizes
	results  []*result.File
	evidence *evidenceList
}

// evaluate computes a term.
func (e *estimator) evaluate(term *Term) estimate {
	amount := estimate{value: e.sizes.product(term.Factors, term.Divisors), extrapolation: 1}
	if term.Figure == nil {
		return amount
	}
	figure := e.estimateFigure(term.Figure)
	product := figure.multiplyBy(amount)
	if term.Denominator != nil {
		product = product.divideBy(e.estimateFigure(term.Denominator))
	}
	product.measuredAt = figure.measuredAt
	return product
}

// estimateFigure evaluates a measured figure in the way that its source names.
func (e *estimator) estimateFigure(source *Source) estimate {
	if source.Use == UsePoint {
		return e.estimatePoint(source)
	}
	slope, fitted := e.findSlope(source)
	size, hasSize := e.sizes[source.At]
	if source.Use == UseLine && (!fitted || slope.PoorFitReason != "" && e.isMeasuredNear(source, size)) {
		return e.estimatePoint(source)
	}
	if !fitted {
		return noResult(source)
	}
	estimated := estimate{extrapolation: 1, evidence: []int{e.evidence.addLine(slope, e.countSeeds(source))}}
	switch source.Use {
	case UseIntercept:
		estimated.value = slope.Intercept
	case UseLine:
		estimated.value = slope.Intercept + slope.Slope*size
	case UseSlope:
		estimated.value = slope.Slope
		if estimated.isUpperBound = slope.Low <= 0 && slope.High >= 0; estimated.isUpperBound {
			estimated.value = slope.High
		}
		if hasSize {
			estimated.value *= size
		}
	}
	if hasSize {
		estimated.extrapolation = extrapolationFactor(size, slope.From, slope.To)
	}
	if estimated.value < 0 {
		estimated.unknownReason = fmt.Sprintf("the line of %s gives less than nothing there", source.Figure)
	}
	return estimated
}

// extrapolationFactor returns by which factor a size is outside of the measured range, or 1 if it is within.
func extrapolationFactor(size, from, to float64) float64 {
	switch {
	case size > to && to > 0:
		return size / to
	case size < from && size > 0:
		return from / size
	}
	return 1
}

// noResult returns the unknown estimate of a figure that the results do not contain.
func noResult(source *Source) estimate {
	return estimate{extrapolation: 1, unknownReason: fmt.Sprintf("no result of %s in the %s case %q", source.Figure, source.Kind, source.Case)}
}

// lineKey identifies a slope.
type lineKey struct {
	kind                                 result.Kind
	program, caseName, figure, parameter string
}

func slopeKey(s *result.Slope) lineKey {
	return lineKey{s.Kind, s.Program, s.Case, s.Figure, s.Parameter}
}

// findSlope returns the slope of a figure. If the program has several labels, the first one with a slope counts.
func (e *estimator) findSlope(source *Source) (*result.Slope, bool) {
	for _, name := range e.program.Names {
		wanted := lineKey{source.Kind, name, source.Case, source.Figure, source.Parameter}
		for _, file := range e.results {
			for i := range file.Slopes {
				if slopeKey(&file.Slopes[i]) == wanted {
					return &file.Slopes[i], true
				}
			}
		}
	}
	return nil, false
}

// findRuns returns the successful runs of the program that have the figure.
func (e *estimator) findRuns(source *Source) (matching []*result.Run) {
	for _, file := range e.results {
		for i := range file.Runs {
			run := &file.Runs[i]
			if _, has := run.Figures[source.Figure]; has && run.MissedReason == "" && e.matches(run, source) {
				matching = append(matching, run)
			}
		}
	}
	return matching
}

// matches reports whether a run belongs to the figure's case and to this program.
func (e *estimator) matches(run *result.Run, source *Source) bool {
	return run.Kind == source.Kind && run.Case == source.Case && slices.Contains(e.program.Names, run.Program)
}

// maxPointRatio is the largest ratio of two sizes at which a figure measured at one of them is used for the other.
const maxPointRatio = 1.1

// isMeasuredNear reports whether the figure was measured at a size within maxPointRatio of the given one.
func (e *estimator) isMeasuredNear(source *Source, size float64) bool {
	runs, ratio := nearestRuns(e.findRuns(source), source.Parameter, size)
	return len(runs) > 0 && ratio <= maxPointRatio
}

// countSeeds returns the number of distinct seeds of the runs of a figure.
func (e *estimator) countSeeds(source *Source) int {
	return countSeeds(e.findRuns(source))
}

// countSeeds returns the number of distinct seeds of runs.
func countSeeds(runs []*result.Run) int {
	seeds := map[uint64]bool{}
	for _, run := range runs {
		seeds[run.Seed] = true
	}
	return len(seeds)
}

// estimatePoint returns the mean of the runs at the measured size nearest to the requested one.
func (e *estimator) estimatePoint(source *Source) estimate {
	runs := e.findRuns(source)
	ratio := 1.0
	if source.Parameter != "" {
		if reason := e.missedReasonAt(source, e.sizes[source.At]); reason != "" {
			return estimate{extrapolation: 1, unknownReason: reason}
		}
		runs, ratio = nearestRuns(runs, source.Parameter, e.sizes[source.At])
	}
	if len(runs) == 0 {
		return noResult(source)
	}
	sum := 0.0
	for _, run := range runs {
		sum += run.Figures[source.Figure]
	}
	mean := sum / float64(len(runs))
	estimated := estimate{value: mean, extrapolation: ratio, evidence: []int{e.evidence.addPoint(source, runs, mean)}}
	if ratio > maxPointRatio {
		estimated.measuredAt = source.Parameter + " " + formatShort(runs[0].Parameters[source.Parameter])
	}
	return estimated
}

// missedReasonAt returns why all runs at exactly this size failed, or "" if there were none or one of them succeeded.
// If all failed, the figures at other sizes must not stand in for this one.
func (e *estimator) missedReasonAt(source *Source, size float64) (reason string) {
	for _, file := range e.results {
		for i := range file.Runs {
			run := &file.Runs[i]
			if !e.matches(run, source) || run.Parameters[source.Parameter] != size {
				continue
			}
			if run.MissedReason == "" {
				return ""
			}
			reason = "missed at this size: " + missedReason(run)
		}
	}
	return reason
}

// nearestRuns returns the runs at the size nearest to the wanted one, compared by ratio, and that ratio, which is at
// least 1.
func nearestRuns(runs []*result.Run, parameter string, wanted float64) (nearest []*result.Run, ratio float64) {
	ratio = math.Inf(1)
	for _, run := range runs {
		size, has := run.Parameters[parameter]
		if !has || size <= 0 {
			continue
		}
		distance := max(size/wanted, wanted/size)
		if distance < ratio {
			nearest, ratio = nil, distance
		}
		if distance == ratio {
			nearest = append(nearest, run)
		}
	}
	return nearest, ratio
}
