package capacity

import (
	"fmt"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// evidenceList numbers the slopes and measured points that figures rest on, in the order of their first use.
type evidenceList struct {
	numbers map[evidenceKey]int
	entries []Evidence
}

// evidenceKey tells lines of evidence apart. A point stands at a size, a line does not.
type evidenceKey struct {
	line  lineKey
	point bool
	at    float64
}

// Evidence is a line of the table of evidence, as text.
type Evidence struct {
	ID, Kind, Case, Program, Figure string
	Line                            string // slope, interval and intercept, or the mean with its range
	Fit                             string // R2 and what speaks against a line
	Range                           string // of the parameter
	Runs                            string

	poorFit bool // it is a line, and doesn't describe the figure
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

// bent tells whether one of the entries is a line that doesn't describe its figure.
func (l *evidenceList) hasPoorFit(numbers []int) bool {
	return slices.ContainsFunc(numbers, func(number int) bool { return l.entries[number-1].poorFit })
}

// add gives the number of an entry, which is made where it is new.
func (l *evidenceList) add(key evidenceKey, make func() Evidence) int {
	if number, known := l.numbers[key]; known {
		return number
	}
	entry := make()
	number := len(l.entries) + 1
	entry.ID = evidenceID(number)
	l.numbers[key] = number
	l.entries = append(l.entries, entry)
	return number
}

// line adds a fitted line.
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

// point adds the mean of runs at one size.
func (l *evidenceList) addPoint(source *Source, runs []*result.Run, mean float64) int {
	at := runs[0].Parameters[source.Parameter]
	line := lineKey{source.Kind, runs[0].Program, source.Case, source.Figure, source.Parameter}
	return l.add(evidenceKey{line: line, point: true, at: at}, func() Evidence {
		least, most := mean, mean
		for _, run := range runs {
			least = min(least, run.Figures[source.Figure])
			most = max(most, run.Figures[source.Figure])
		}
		where := "the case as it stands"
		if source.Parameter != "" {
			where = source.Parameter + " " + formatShort(at)
		}
		return Evidence{
			Kind: string(source.Kind), Case: source.Case, Program: runs[0].Program, Figure: source.Figure,
			Line: fmt.Sprintf("mean %s, %s to %s", formatShort(mean), formatShort(least), formatShort(most)), Fit: "measured point", Range: where,
			Runs: fmt.Sprintf("%s, %s", countNoun(len(runs), "run"), countNoun(countSeeds(runs), "seed")),
		}
	})
}

// short shows a number with the digits that count; very small and large ones with an exponent.
func formatShort(value float64) string {
	const least, most = 1e-3, 1e9
	size := value
	if size < 0 {
		size = -size
	}
	if size != 0 && (size < least || size >= most) {
		return fmt.Sprintf("%.*e", significantDigits-1, value)
	}
	return formatPlain(roundSignificant(value))
}

// counted gives a number with its noun.
func countNoun(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", number, noun)
}
