package capacity

import (
	"fmt"
	"math"
	"slices"

	"cobaltflow/internal/scale/result"
)

// estimate is what the results give for a term.
type estimate struct {
	value         float64
	unknownReason string  // why there is no value; empty: there is one
	evidence      []int   // numbers of the lines of evidence behind it
	extrapolation float64 // times beyond the measured range that the figure was taken; 1: within it
	// elsewhere is the size at which the value was measured, where that is far from the one wanted and nothing was
	// extrapolated: the value is the one of that size.
	measuredAt   string
	isUpperBound bool // a slope behind it was not told from 0, and the upper end of its interval was taken
}

func (e *estimate) isKnown() bool { return e.unknownReason == "" }

// measured tells whether the value rests on a result, and not on sizes alone.
func (e *estimate) isMeasured() bool { return len(e.evidence) > 0 }

// times multiplies two estimates. It rests on the evidence of both, and is as far beyond what was measured as the worse.
func (e estimate) multiplyBy(other estimate) estimate {
	product := e.merge(other)
	product.value = e.value * other.value
	return product
}

// over divides an estimate by another.
func (e estimate) divideBy(other estimate) estimate {
	quotient := e.merge(other)
	quotient.value = e.value / other.value
	if other.isKnown() && other.value == 0 {
		quotient.unknownReason = "there were none to divide by"
	}
	return quotient
}

// plus adds two estimates.
func (e estimate) add(other estimate) estimate {
	sum := e.merge(other)
	sum.value = e.value + other.value
	return sum
}

// with joins what two estimates rest on; the value, and where it was measured, are left open.
func (e estimate) merge(other estimate) estimate {
	joined := estimate{unknownReason: e.unknownReason, extrapolation: max(e.extrapolation, other.extrapolation), isUpperBound: e.isUpperBound || other.isUpperBound}
	if joined.unknownReason == "" {
		joined.unknownReason = other.unknownReason
	}
	joined.evidence = append(slices.Clone(e.evidence), other.evidence...)
	slices.Sort(joined.evidence)
	joined.evidence = slices.Compact(joined.evidence)
	return joined
}

// estimator evaluates terms by the results of one program.
type estimator struct {
	program  *Program
	sizes    sizes
	results  []*result.File
	evidence *evidenceList
}

// of evaluates a term.
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

// figure evaluates a measured figure.
func (e *estimator) estimateFigure(source *Source) estimate {
	if source.Use == UsePoint {
		return e.estimatePoint(source)
	}
	slope, fitted := e.findSlope(source)
	at, given := e.sizes[source.At]
	if source.Use == UseLine && (!fitted || slope.PoorFitReason != "" && e.isMeasuredNear(source, at)) {
		return e.estimatePoint(source)
	}
	if !fitted {
		return noResult(source)
	}
	found := estimate{extrapolation: 1, evidence: []int{e.evidence.addLine(slope, e.countSeeds(source))}}
	switch source.Use {
	case UseIntercept:
		found.value = slope.Intercept
	case UseLine:
		found.value = slope.Intercept + slope.Slope*at
	case UseSlope:
		found.value = slope.Slope
		if found.isUpperBound = slope.Low <= 0 && slope.High >= 0; found.isUpperBound {
			found.value = slope.High
		}
		if given {
			found.value *= at
		}
	}
	if given {
		found.extrapolation = extrapolationFactor(at, slope.From, slope.To)
	}
	if found.value < 0 {
		found.unknownReason = fmt.Sprintf("the line of %s gives less than nothing there", source.Figure)
	}
	return found
}

// beyond tells how many times a size lies outside of the range that was measured; 1: within it.
func extrapolationFactor(at, from, to float64) float64 {
	switch {
	case at > to && to > 0:
		return at / to
	case at < from && at > 0:
		return from / at
	}
	return 1
}

func noResult(source *Source) estimate {
	return estimate{extrapolation: 1, unknownReason: fmt.Sprintf("no result of %s in the %s case %q", source.Figure, source.Kind, source.Case)}
}

// lineKey tells slopes apart.
type lineKey struct {
	kind                                 result.Kind
	program, caseName, figure, parameter string
}

func slopeKey(s *result.Slope) lineKey {
	return lineKey{s.Kind, s.Program, s.Case, s.Figure, s.Parameter}
}

// slope finds the line of a figure.
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

// runs are those of a figure's case that gave the figure.
func (e *estimator) findRuns(source *Source) (found []*result.Run) {
	for _, file := range e.results {
		for i := range file.Runs {
			run := &file.Runs[i]
			if _, has := run.Figures[source.Figure]; has && run.MissedReason == "" && e.matches(run, source) {
				found = append(found, run)
			}
		}
	}
	return found
}

// belongs tells whether a run is one of the figure's case, in this program.
func (e *estimator) matches(run *result.Run, source *Source) bool {
	return run.Kind == source.Kind && run.Case == source.Case && slices.Contains(e.program.Names, run.Program)
}

// nearEnough is the ratio of two sizes up to which a figure measured at one is taken for the other.
const maxPointRatio = 1.1

// measuredNear tells whether the figure was measured at the size, or near enough to it.
func (e *estimator) isMeasuredNear(source *Source, size float64) bool {
	runs, ratio := nearestRuns(e.findRuns(source), source.Parameter, size)
	return len(runs) > 0 && ratio <= maxPointRatio
}

// seeds counts the seeds of the runs behind a figure.
func (e *estimator) countSeeds(source *Source) int {
	return countSeeds(e.findRuns(source))
}

func countSeeds(runs []*result.Run) int {
	seeds := map[uint64]bool{}
	for _, run := range runs {
		seeds[run.Seed] = true
	}
	return len(seeds)
}

// point takes the mean of the runs at the size that is nearest to the one wanted.
func (e *estimator) estimatePoint(source *Source) estimate {
	runs := e.findRuns(source)
	far := 1.0
	if source.Parameter != "" {
		if why := e.missedReasonAt(source, e.sizes[source.At]); why != "" {
			return estimate{extrapolation: 1, unknownReason: why}
		}
		runs, far = nearestRuns(runs, source.Parameter, e.sizes[source.At])
	}
	if len(runs) == 0 {
		return noResult(source)
	}
	sum := 0.0
	for _, run := range runs {
		sum += run.Figures[source.Figure]
	}
	mean := sum / float64(len(runs))
	found := estimate{value: mean, extrapolation: far, evidence: []int{e.evidence.addPoint(source, runs, mean)}}
	if far > maxPointRatio {
		found.measuredAt = source.Parameter + " " + formatShort(runs[0].Parameters[source.Parameter])
	}
	return found
}

// missedAt tells why all runs at a size missed; empty: there was none, or one gave figures. What other sizes gave says
// nothing then.
func (e *estimator) missedReasonAt(source *Source, size float64) (why string) {
	for _, file := range e.results {
		for i := range file.Runs {
			run := &file.Runs[i]
			if !e.matches(run, source) || run.Parameters[source.Parameter] != size {
				continue
			}
			if run.MissedReason == "" {
				return ""
			}
			why = "missed at this size: " + missedReason(run)
		}
	}
	return why
}

// nearest keeps the runs at the size that is nearest, by its ratio, to the one wanted, and tells that ratio, 1 or over.
func nearestRuns(runs []*result.Run, parameter string, wanted float64) (kept []*result.Run, ratio float64) {
	ratio = math.Inf(1)
	for _, run := range runs {
		size, has := run.Parameters[parameter]
		if !has || size <= 0 {
			continue
		}
		far := max(size/wanted, wanted/size)
		if far < ratio {
			kept, ratio = nil, far
		}
		if far == ratio {
			kept = append(kept, run)
		}
	}
	return kept, ratio
}
