package fit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale/result"
)

// runsAlong returns runs of a case "workers": two at each value, one scatter below f and one above.
func runsAlong(f func(workers float64) float64, scatter float64, workers ...float64) (runs []result.Run) {
	for _, x := range workers {
		for _, deviation := range []float64{-scatter, scatter} {
			runs = append(runs, result.Run{Case: "workers", Kind: result.Real, Program: "now",
				Parameters: map[string]float64{"workers": x, "schedulers": 1}, Figures: map[string]float64{"rss_bytes": f(x) + deviation}})
		}
	}
	return runs
}

func TestFitOfALinearFigure(t *testing.T) {
	slopes := Slopes(runsAlong(func(x float64) float64 { return 100 + 3*x }, 1, 10, 20, 40, 80))
	require.Len(t, slopes, 1)
	s := slopes[0]
	require.Equal(t, "workers", s.Parameter)
	require.InDelta(t, 3, s.Slope, 1e-9)
	require.InDelta(t, 100, s.Intercept, 1e-9)
	require.Equal(t, 8, s.Points)
	require.Equal(t, []float64{10, 80}, []float64{s.From, s.To})
	// Computed by hand: each residual is 1, the sum of their squares is 8 and that of the workers 5750; the 97.5 % quantile
	// of t with 6 degrees of freedom is 2.4469.
	require.InDelta(t, 2.4469*0.0152277, s.High-s.Slope, 1e-4)
	require.InDelta(t, s.High-s.Slope, s.Slope-s.Low, 1e-9)
	require.Empty(t, s.PoorFitReason)
}

func TestCurveIsReportedAsLackOfFit(t *testing.T) {
	s := Slopes(runsAlong(func(x float64) float64 { return x * x }, 1, 10, 20, 40, 80))[0]
	require.Contains(t, s.PoorFitReason, "lack of fit")
}

func TestConstantFigureWithScatterShowsNoGrowth(t *testing.T) {
	s := Slopes(runsAlong(func(float64) float64 { return 5 }, 1, 10, 20, 40))[0]
	require.Contains(t, s.PoorFitReason, "holds 0")
}

func TestTwoPointsAreReportedAsPoorFit(t *testing.T) {
	runs := runsAlong(func(x float64) float64 { return x }, 0, 10, 20)
	s := Slopes([]result.Run{runs[0], runs[2]})[0]
	require.Contains(t, s.PoorFitReason, "two points")
	require.Equal(t, s.Low, s.High)
}

func TestRunsWithoutFiguresAndSingleValuesGiveNoLine(t *testing.T) {
	runs := runsAlong(func(x float64) float64 { return x }, 0, 10, 20)
	runs[0].MissedReason, runs[1].MissedReason = "not ready", "not ready"
	require.Empty(t, Slopes(runs))
}

// hollowRuns returns one run of a hollow case "workers" for each point.
func hollowRuns(points ...[2]float64) (runs []result.Run) {
	for _, p := range points {
		runs = append(runs, result.Run{Case: "workers", Kind: result.Hollow, Program: "now",
			Parameters: map[string]float64{"workers": p[0]}, Figures: map[string]float64{"probes": p[1]}})
	}
	return runs
}

func TestFitOfPointsOnALine(t *testing.T) {
	s := Slopes(hollowRuns([2]float64{1, 5}, [2]float64{2, 7}, [2]float64{4, 11}))[0]
	require.InDelta(t, 2, s.Slope, 1e-9)
	require.InDelta(t, 3, s.Intercept, 1e-9)
	require.InDelta(t, 1, s.R2, 1e-9)
	require.InDelta(t, 0, s.High-s.Low, 1e-6)
	require.Equal(t, 3, s.Points)
	require.Equal(t, []float64{1, 4}, []float64{s.From, s.To})
	require.Equal(t, result.Hollow, s.Kind)
	require.Empty(t, s.PoorFitReason)
}

// The expected interval follows from the textbook formula: residual sum of squares 0.05 over 2 degrees of freedom, spread
// 5, t 4.3027.
func TestConfidenceIntervalOfTheSlope(t *testing.T) {
	s := Slopes(hollowRuns([2]float64{1, 1.0}, [2]float64{2, 2.2}, [2]float64{3, 2.9}, [2]float64{4, 4.1}))[0]
	require.InDelta(t, 1.0, s.Slope, 1e-9)
	require.InDelta(t, 0.3042, (s.High-s.Low)/2, 0.001)
}

func TestPoorFitsAreReported(t *testing.T) {
	for name, runs := range map[string][]result.Run{
		"a bend":    hollowRuns([2]float64{1, 1}, [2]float64{2, 4}, [2]float64{4, 16}, [2]float64{8, 64}, [2]float64{16, 256}, [2]float64{32, 1024}),
		"a cloud":   hollowRuns([2]float64{1, 5}, [2]float64{2, 1}, [2]float64{3, 6}, [2]float64{4, 2}, [2]float64{5, 5}),
		"a plateau": hollowRuns([2]float64{1, 0}, [2]float64{2, 9}, [2]float64{3, 10}, [2]float64{4, 10}, [2]float64{5, 10}, [2]float64{6, 10}),
	} {
		require.NotEmpty(t, Slopes(runs)[0].PoorFitReason, name)
	}
	level := Slopes(hollowRuns([2]float64{1, 3}, [2]float64{2, 3}, [2]float64{3, 3}))[0]
	require.Empty(t, level.PoorFitReason)
	require.Equal(t, 1.0, level.R2)
}

func TestOneValueOfTheParameterGivesNoLine(t *testing.T) {
	require.Empty(t, Slopes(hollowRuns([2]float64{1, 1}, [2]float64{1, 2}, [2]float64{1, 3})))
}

func TestCasesAndFiguresAreFittedSeparately(t *testing.T) {
	runs := hollowRuns([2]float64{1, 1}, [2]float64{2, 1}, [2]float64{3, 1})
	for i := range runs {
		n := float64(i + 1)
		runs[i].Figures["rss_bytes"] = 10 * n
		runs = append(runs, result.Run{Case: "other", Program: "now", Parameters: map[string]float64{"workers": n}, Figures: map[string]float64{"rss_bytes": 7}})
	}
	slopes := Slopes(runs)
	require.Len(t, slopes, 3)
	require.Equal(t, []string{"probes", "rss_bytes"}, []string{slopes[0].Figure, slopes[1].Figure})
	require.InDelta(t, 0, slopes[0].Slope, 1e-9)
	require.InDelta(t, 10, slopes[1].Slope, 1e-9)
	require.Equal(t, "other", slopes[2].Case)
}
