package capacity

import (
	"cmp"
	"slices"
)

// Ranking is the rows of a program that are over their budget, the furthest first.
type Ranking struct {
	Program  string
	Measured int          // rows that have both a figure and a budget
	Without  []RankedView // no mechanism carries them
	With     []RankedView // a mechanism stands, whole or in part
}

// RankedView is a row over its budget.
type RankedView struct{ Place, Factor, Row, Total, Budget, Mechanism, Status string }

// rankings gives the ranking of each program.
func (m *pageBuilder) rankingViews() (list []Ranking) {
	for p := range m.targets.Programs {
		program := &m.targets.Programs[p]
		over, measured := m.figuresOverBudget(program)
		ranking := Ranking{Program: program.Label, Measured: measured}
		for _, f := range over {
			mechanism := m.targets.mechanismOf(f.role, f.row)
			status := mechanism.statusIn(program.Label)
			ranked := RankedView{
				Factor: "×" + formatShort(f.factor), Row: f.name(), Total: f.totalText(),
				Budget: f.row.Unit.format(m.sizes[f.row.Budget]), Mechanism: mechanism.Name, Status: string(status),
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

// over gives a program's figures over their budget, the furthest first, and how many have a budget at all.
func (m *pageBuilder) figuresOverBudget(program *Program) (over []*figure, measured int) {
	for i := range m.figures {
		f := &m.figures[i]
		if f.program != program || f.row.Budget == "" || !f.total.isKnown() {
			continue
		}
		measured++
		if f.isOverBudget() {
			over = append(over, f)
		}
	}
	slices.SortStableFunc(over, func(a, b *figure) int { return compareDescending(a.factor, b.factor) })
	return over, measured
}

func compareDescending(a, b float64) int { return cmp.Compare(b, a) }
