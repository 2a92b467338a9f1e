package capacity

import (
	"fmt"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// evidenceList numbers the slopes and measured points that figures are computed from, in the order of their first use.
type evidenceList struct {
	numbers map[evidenceKey]int
	entries []Evidence
}

// evidenceKey identifies an entry. A point belongs to one size, a line does not.
type evidenceKey struct {
	line  lineKey
	point bool
	at    float64
}

// Evidence is a row of the page's table of evidence, as text.
type Evidence struct {
	ID, Kind, Case, Program, Figure string
	Line                            string // slope, interval and intercept; or the mean with its range
	Fit                             string // R² and why the line does not fit
	Range                           string // of the parameter
	Runs                            string

	poorFit bool // the entry is a line that does not describe the figure
}

func newEvidenceList() *evidenceList { return &evidenceList{numbers: map[evidenceKey]int{}} }

func evidenceID(number int) string { return fmt.Sprintf("E%d", number) }

func evidenceIDs(numbers []int) string {
	ids := make([]string, len(numbers))
	for i, number := range numbers {
		ids[i] = evidenceID(number)
	}
	return strings.Join(ids, ", ")
}

// hasPoorFit reports whether one of the entries is a line that does not describe its figure.
func (l *evidenceList) hasPoorFit(numbers []int) bool {
	return slices.ContainsFunc(numbers, func(number int) bool { return l.entries[number-1].poorFit })
}

// add returns the number of an entry and builds the entry if it is new.
func (l *evidenceList) add(key evidenceKey, build func() Evidence) int {
	if number, known := l.numbers[key]; known {
		return number
	}
	entry := build()
	number := len(l.entries) + 1
	entry.ID = evidenceID(number)
	l.numbers[key] = number
	l.entries = append(l.entries, entry)
	return number
}

// addLine adds a fitted line and returns its number.
func (l *evidenceList) addLine(s *result.Slope, seeds int) int {
	return l.add(evidenceKey{line: slopeKey(s)}, func() Evidence {
		fit := fmt.Sprintf("R² %s", formatShort(s.R2))
		switch {
		case s.PoorFitReason != "":
			fit += "; not a line: " + s.PoorFitReason
		case s.Low <= 0 && s.High >= 0:
			fit += "; no slope seen: the interval holds 0"
		}
		return Evidence{
			Kind: string(s.Kind), Case: s.Case, Program: s.Program, Figure: s.Figure, poorFit: s.PoorFitReason != "",
			Line:  fmt.Sprintf("%s + %s × %s [%s, %s]", formatShort(s.Intercept), formatShort(s.Slope), s.Parameter, formatShort(s.Low), formatShort(s.High)),
			Fit:   fit,
			Range: fmt.Sprintf("%s %s to %s", s.Parameter, formatShort(s.From), formatShort(s.To)),
			Runs:  fmt.Sprintf("%d points, %s", s.Points, countNoun(seeds, "seed")),
		}
	})
}

// addPoint adds the mean of the runs at one size and returns its number.
func (l *evidenceList) addPoint(source *Source, runs []*result.Run, mean float64) int {
	size := runs[0].Parameters[source.Parameter]
	line := lineKey{source.Kind, runs[0].Program, source.Case, source.Figure, source.Parameter}
	return l.add(evidenceKey{line: line, point: true, at: size}, func() Evidence {
		smallest, largest := mean, mean
		for _, run := range runs {
			smallest = min(smallest, run.Figures[source.Figure])
			largest = max(largest, run.Figures[source.Figure])
		}
		where := "the case as it stands"
		if source.Parameter != "" {
			where = source.Parameter + " " + formatShort(size)
		}
		return Evidence{
			Kind: string(source.Kind), Case: source.Case, Program: runs[0].Program, Figure: source.Figure,
			Line: fmt.Sprintf("mean %s, %s to %s", formatShort(mean), formatShort(smallest), formatShort(largest)), Fit: "measured point", Range: where,
			Runs: fmt.Sprintf("%s, %s", countNoun(len(runs), "run"), countNoun(countSeeds(runs), "seed")),
		}
	})
}

// formatShort formats a number with the significant digits, and with an exponent if it is below 1e-3 or at least 1e9.
func formatShort(value float64) string {
	const minPlain, maxPlain = 1e-3, 1e9
	magnitude := value
	if magnitude < 0 {
		magnitude = -magnitude
	}
	if magnitude != 0 && (magnitude < minPlain || magnitude >= maxPlain) {
		return fmt.Sprintf("%.*e", significantDigits-1, value)
	}
	return formatPlain(roundSignificant(value))
}

// countNoun formats a number with its noun, in the plural if needed.
func countNoun(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", number, noun)
}
