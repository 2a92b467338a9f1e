package capacity

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// View is the page's content as text, for the template.
type View struct {
	Programs     []Program
	Files        []FileView
	Rankings     []Ranking
	Numbers      []NumberView
	Roles        []RoleView
	Choices      []MechanismView // the mechanisms that are missing or partial
	Evidence     []Evidence
	Missed       []string // runs that gave no figures
	Extrapolated []ExtrapolatedView
	Unmeasured   []UnmeasuredView
	Formulas     []FormulaView
	Fleets       []FleetView
}

// FileView is a results file.
type FileView struct {
	Number, Revision, Taken, Command, Machine string
	Runs, Missed                              int
}

// NumberView is a number of the operators' list with the rows that rest on it.
type NumberView struct{ Text, Value, Rows, Verdict string }

// RoleView is a role with its mechanisms and rows.
type RoleView struct {
	Title      string
	Mechanisms []MechanismView
	Lines      []LineView
}

// MechanismView is a mechanism with its state.
type MechanismView struct {
	Name, Status, Where, Says string
	Options                   []Option
}

// LineView is a row's figure in one program.
type LineView struct{ Aspect, Quantity, Program, Parts, Total, Budget, Factor, From string }

// ExtrapolatedView is a figure taken outside of the measured range.
type ExtrapolatedView struct{ Row, Program, Factor, From string }

// UnmeasuredView is a row without a figure.
type UnmeasuredView struct{ Row, Programs, Reason string }

// figure is what a row comes to in one program.
type figure struct {
	roleRow
	program            *Program
	count, each, total estimate
	base               estimate // of a row that has one
	factor             float64  // over the budget; 0: there is no budget
}

// name is the role's and the row's name together.
func (f *roleRow) name() string { return f.role.Title + ": " + f.row.Quantity }

// pageMaker computes all figures first, so that every part of the page shows the same ones.
type pageBuilder struct {
	targets  *Targets
	results  []*result.File
	evidence *evidenceList
	sizes    sizes
	figures  []figure // of each row, in each program
}

func newView(targets *Targets, results []*result.File) *View {
	m := &pageBuilder{targets: targets, results: results, evidence: newEvidenceList(), sizes: targets.sizeValues(nil)}
	m.computeFigures()
	view := &View{
		Programs: targets.Programs, Files: m.fileViews(), Rankings: m.rankingViews(), Numbers: m.numberViews(), Roles: m.roleViews(),
		Choices: m.choiceViews(), Missed: m.missedRuns(), Extrapolated: m.extrapolatedViews(), Unmeasured: m.unmeasuredViews(),
		Formulas: m.formulaViews(), Fleets: m.fleetViews(),
	}
	view.Evidence = m.evidence.entries // last: the fleets' figures add theirs
	return view
}

func (m *pageBuilder) estimator(program *Program, sizes sizes) *estimator {
	return &estimator{program: program, sizes: sizes, results: m.results, evidence: m.evidence}
}

func (m *pageBuilder) computeFigures() {
	for i := range m.targets.Roles {
		role := &m.targets.Roles[i]
		for n := range role.Rows {
			for p := range m.targets.Programs {
				program := &m.targets.Programs[p]
				m.figures = append(m.figures, m.computeRow(roleRow{role, &role.Rows[n]}, program))
			}
		}
	}
}

// figureOf computes a row in one program.
func (m *pageBuilder) computeRow(of roleRow, program *Program) figure {
	e, row := m.estimator(program, m.sizes), of.row
	f := figure{roleRow: of, program: program}
	if row.NotMeasured != "" {
		f.total.unknownReason = row.NotMeasured
		return f
	}
	if row.Count != nil {
		f.count = e.evaluate(row.Count)
	}
	switch {
	case row.Total == nil:
		f.each = e.evaluate(row.Each)
		f.total = f.count.multiplyBy(f.each)
		if row.Base != nil {
			f.base = e.evaluate(row.Base)
			f.total = f.total.add(f.base)
		}
	case row.Count == nil:
		f.total = e.evaluate(row.Total)
	default:
		f.total = e.evaluate(row.Total)
		f.each = f.total.divideBy(f.count)
	}
	if row.Budget != "" && f.total.isKnown() {
		f.factor = f.total.value / m.sizes[row.Budget]
	}
	return f
}

func (m *pageBuilder) fileViews() (list []FileView) {
	for i, file := range m.results {
		view := FileView{Number: fmt.Sprint(i + 1), Revision: file.Revision, Taken: file.TakenAt, Command: directoryPrefix.ReplaceAllString(file.Command, "")}
		view.Machine = "not noted"
		if file.Machine.Cores > 0 {
			view.Machine = machineText(&file.Machine)
		}
		for _, run := range file.Runs {
			view.Runs++
			if run.MissedReason != "" {
				view.Missed++
			}
		}
		list = append(list, view)
	}
	return list
}

func machineText(m *result.Machine) string {
	company := "beside other work"
	if m.Exclusive {
		company = "with nothing beside it"
	}
	return fmt.Sprintf("%d cores, %s MB, %s descriptors a process, %s", m.Cores, formatPlain(float64(m.MemoryMB)), formatPlain(float64(m.MaxFiles)), company)
}

// missed tells of runs that gave no figures, the like ones together.
func (m *pageBuilder) missedRuns() (list []string) {
	counts := map[string]int{}
	for _, file := range m.results {
		for _, run := range file.Runs {
			if run.MissedReason == "" {
				continue
			}
			text := fmt.Sprintf("%s case %q, program %q, %s: %s", run.Kind, run.Case, run.Program, parametersText(run.Parameters), missedReason(&run))
			if counts[text]++; counts[text] == 1 {
				list = append(list, text)
			}
		}
	}
	for i, text := range list {
		if counts[text] > 1 {
			list[i] = fmt.Sprintf("%s (%d runs)", text, counts[text])
		}
	}
	return list
}

// directories stand before the names of files in a command.
var directoryPrefix = regexp.MustCompile(`[^\s=]*/`)

// logTime is what a line of the program's log begins with.
var logTimestamp = regexp.MustCompile(`time=\S+ `)

// reason is why a run missed, without the times of log lines in it, so that like reasons read alike.
func missedReason(run *result.Run) string { return logTimestamp.ReplaceAllString(run.MissedReason, "") }

func parametersText(of map[string]float64) string {
	texts := []string{}
	for _, name := range sortedKeys(of) {
		texts = append(texts, name+" "+formatShort(of[name]))
	}
	return strings.Join(texts, ", ")
}

func (m *pageBuilder) numberViews() (list []NumberView) {
	for i := range m.targets.Sizes {
		size := &m.targets.Sizes[i]
		if !size.FromOperators {
			continue
		}
		rows := m.targets.rowsUsing(size.Key)
		titles := []string{}
		for _, row := range rows {
			if !slices.Contains(titles, row.role.Title) {
				titles = append(titles, row.role.Title)
			}
		}
		list = append(list, NumberView{
			Text: size.Text, Value: size.Unit.format(m.sizes[size.Key]), Rows: strings.Join(titles, "; "), Verdict: m.verdict(rows),
		})
	}
	return list
}

// verdict sums up rows: their mechanisms by state, and the one that is furthest over its budget in the last program that
// has figures.
func (m *pageBuilder) verdict(rows []roleRow) string {
	worst, measured := figure{}, 0
	states := map[Status][]string{}
	for _, row := range rows {
		mechanism := m.targets.mechanismOf(row.role, row.row)
		if names := states[mechanism.Status]; !slices.Contains(names, mechanism.Name) {
			states[mechanism.Status] = append(names, mechanism.Name)
		}
		latest, known := m.latestFigure(row.row)
		if !known {
			continue
		}
		measured++
		if latest.factor > worst.factor && !latest.total.isUpperBound {
			worst = latest
		}
	}
	parts := []string{fmt.Sprintf("%d of %s measured", measured, countNoun(len(rows), "row"))}
	if worst.factor > 0 {
		parts = append(parts, fmt.Sprintf("furthest: %s, %s (%s)", worst.row.Quantity, worst.factorText(), worst.program.Label))
	}
	for _, status := range []Status{Missing, Partial, Works} {
		if names := states[status]; len(names) > 0 {
			parts = append(parts, string(status)+": "+strings.Join(names, ", "))
		}
	}
	return strings.Join(parts, ". ")
}

// latest is the measured figure of a row in the last program that has one.
func (m *pageBuilder) latestFigure(row *Row) (latest figure, known bool) {
	for _, f := range m.figures {
		if f.row == row && f.total.isKnown() && f.total.isMeasured() {
			latest, known = f, true
		}
	}
	return latest, known
}

func (m *pageBuilder) roleViews() (list []RoleView) {
	for i := range m.targets.Roles {
		role := &m.targets.Roles[i]
		view := RoleView{Title: role.Title}
		for _, key := range role.Mechanisms {
			view.Mechanisms = append(view.Mechanisms, mechanismView(m.targets.mechanism(key)))
		}
		for n := range role.Rows {
			view.Lines = append(view.Lines, m.lineViews(&role.Rows[n])...)
		}
		list = append(list, view)
	}
	return list
}

// lines are those of a row: one for each program that has a figure, or one that says that there is none. A row of sizes
// alone is the same in all programs, and has one line.
func (m *pageBuilder) lineViews(row *Row) (list []LineView) {
	blank := LineView{Aspect: string(row.Aspect), Quantity: row.Quantity}
	if row.Budget != "" {
		blank.Budget = row.Unit.format(m.sizes[row.Budget])
	}
	for i := range m.figures {
		f := &m.figures[i]
		if f.row != row || !f.total.isKnown() {
			continue
		}
		line := blank
		line.Parts, line.Total = f.partsText(), f.totalText()
		line.Factor, line.From = f.factorText(), m.evidenceText(f.total)
		if !f.total.isMeasured() {
			line.From = "sizes alone"
			return []LineView{line}
		}
		line.Program = f.program.Label
		list = append(list, line)
	}
	if len(list) == 0 {
		blank.Total = "not measured"
		if row.Count != nil && row.Count.Figure == nil {
			blank.Parts = countText(m.sizes.product(row.Count.Factors, row.Count.Divisors)) + " ×"
		}
		list = append(list, blank)
	}
	return list
}

// parts shows the count and what each needs.
func (f *figure) partsText() string {
	if f.row.Count == nil {
		return ""
	}
	if !f.count.isKnown() || !f.each.isKnown() {
		return ""
	}
	each := formatShort(f.each.value)
	if f.row.Unit == Bytes || f.row.Unit == BytesPerS {
		each = Bytes.formatRounded(f.each.value)
	}
	text := countText(f.count.value) + " × " + each
	if f.row.Base != nil {
		text = f.row.Unit.formatRounded(f.base.value) + " + " + text
	}
	return text
}

// countText shows a count as it is where it is whole.
func countText(count float64) string {
	if count != math.Trunc(count) {
		count = roundSignificant(count)
	}
	return formatPlain(count)
}

// from tells what a figure rests on, whether that is no line, and how far outside of what was measured it lies.
func (m *pageBuilder) evidenceText(e estimate) string {
	text := evidenceIDs(e.evidence)
	if m.evidence.hasPoorFit(e.evidence) {
		text += ", not a line"
	}
	if e.extrapolation > 1 {
		text += fmt.Sprintf(", ×%s outside the range", formatShort(e.extrapolation))
	}
	return text
}

// totalText shows what a row comes to.
func (f *figure) totalText() string {
	text := f.row.Unit.formatRounded(f.total.value)
	if f.total.isUpperBound {
		text = "at most " + text
	}
	if f.total.measuredAt != "" {
		text += " at " + f.total.measuredAt
	}
	return text
}

// over tells whether the figure is surely over its budget.
func (f *figure) isOverBudget() bool { return f.factor > 1 && !f.total.isUpperBound }

// factorText shows the figure over its budget.
func (f *figure) factorText() string {
	switch {
	case f.row.Budget == "" || !f.total.isKnown():
		return ""
	case f.isOverBudget():
		return "over, ×" + formatShort(f.factor)
	case f.factor > 1:
		return "not told: at most ×" + formatShort(f.factor)
	case f.total.measuredAt != "":
		return "not told: ×" + formatShort(f.factor) + " there"
	}
	return "within, ×" + formatShort(f.factor)
}

func mechanismView(m *Mechanism) MechanismView {
	return MechanismView{Name: m.Name, Status: statusText(m), Where: m.Where, Says: m.Description, Options: m.Options}
}

// statusText is a mechanism's state, with what it was in earlier programs.
func statusText(m *Mechanism) string {
	text := string(m.Status)
	for _, label := range sortedKeys(m.Earlier) {
		text += fmt.Sprintf(" (%s: %s)", label, m.Earlier[label])
	}
	return text
}

func (m *pageBuilder) choiceViews() (list []MechanismView) {
	for _, status := range []Status{Missing, Partial} {
		for i := range m.targets.Mechanisms {
			if mechanism := &m.targets.Mechanisms[i]; mechanism.Status == status && len(mechanism.Options) > 0 {
				list = append(list, mechanismView(mechanism))
			}
		}
	}
	return list
}

func (m *pageBuilder) extrapolatedViews() (list []ExtrapolatedView) {
	far := []*figure{}
	for i := range m.figures {
		if f := &m.figures[i]; f.total.isKnown() && f.total.extrapolation > 1 {
			far = append(far, f)
		}
	}
	slices.SortStableFunc(far, func(a, b *figure) int { return compareDescending(a.total.extrapolation, b.total.extrapolation) })
	for _, f := range far {
		list = append(list, ExtrapolatedView{
			Row: f.name(), Program: f.program.Label, Factor: "×" + formatShort(f.total.extrapolation), From: evidenceIDs(f.total.evidence),
		})
	}
	return list
}

// unmeasured gives the rows without a figure, in the programs where they have none.
func (m *pageBuilder) unmeasuredViews() (list []UnmeasuredView) {
	for i := range m.figures {
		f := &m.figures[i]
		if f.total.isKnown() {
			continue
		}
		if n := len(list) - 1; n >= 0 && list[n].Row == f.name() && list[n].Reason == f.total.unknownReason {
			list[n].Programs += ", " + f.program.Label
			continue
		}
		list = append(list, UnmeasuredView{Row: f.name(), Programs: f.program.Label, Reason: f.total.unknownReason})
	}
	return list
}
