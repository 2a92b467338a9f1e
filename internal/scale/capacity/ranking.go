package capacity

import (
	"cmp"
	"slices"
)

// Ranking lists the rows of a program that exceed their budget, those with the largest factor first.
type Ranking struct {
	Program  string
	Measured int          // rows that have both a figure and a budget
	Without  []RankedView // rows whose mechanism is missing
	With     []RankedView // rows whose mechanism works or is partial
}

// RankedView is a row that exceeds its budget.
type RankedView struct{ Place, Factor, Row, Total, Budget, Mechanism, Status string }

// rankingViews returns the ranking of each program.
func (b *pageBuilder) rankingViews() (list []Ranking) {
	for p := range b.targets.Programs {
		program := &b.targets.Programs[p]
		overBudget, measured := b.figuresOverBudget(program)
		ranking := Ranking{Program: program.Label, Measured: measured}
		for _, f := range overBudget {
			mechanism := b.targets.mechanismOf(f.role, f.row)
			status := mechanism.statusIn(program.Label)
			ranked := RankedView{
				Factor: "×" + formatShort(f.factor), Row: f.name(), Total: f.totalText(),
				Budget: f.row.Unit.format(b.sizes[f.row.Budget]), Mechanism: mechanism.Name, Status: string(status),
			}
			if status == Missing {
				ranked.Place = formatPlain(float64(len(ranking.Without) + 1))
				ranking.Without = append(ranking.Without, ranked)
			} else {
				ranking.With = append(ranking.With, ranked)
			}
		}
		list = append(list, ranking)
	}
	return list
}

// figuresOverBudget returns a program's figures over their budget, those with the largest factor first, and the number
// of its figures that have a budget.
func (b *pageBuilder) figuresOverBudget(program *Program) (overBudget []*figure, measured int) {
	for i := range b.figures {
		f := &b.figures[i]
		if f.program != program || f.row.Budget == "" || !f.total.isKnown() {
			continue
		}
		measured++
		if f.isOverBudget() {
			overBudget = append(overBudget, f)
		}
	}
	slices.SortStableFunc(overBudget, func(a, b *figure) int { return compareDescending(a.factor, b.factor) })
	return overBudget, measured
}

// compareDescending orders numbers from the largest to the smallest.
func compareDescending(a, b float64) int { return cmp.Compare(b, a) }
