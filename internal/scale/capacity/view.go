package capacity

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// View holds the page's content as text. The template page.md.tmpl reads its fields.
type View struct {
	Programs     []Program
	Files        []FileView
	Rankings     []Ranking
	Numbers      []NumberView
	Roles        []RoleView
	Choices      []MechanismView // mechanisms that are missing or partial and have options
	Evidence     []Evidence
	Missed       []string // runs that failed, with the reason
	Extrapolated []ExtrapolatedView
	Unmeasured   []UnmeasuredView
	Formulas     []FormulaView
	Fleets       []FleetView
}

// FileView describes a results file.
type FileView struct {
	Number, Revision, Taken, Command, Machine string
	Runs, Missed                              int
}

// NumberView is a number of the operators' list with the roles whose rows depend on it.
type NumberView struct{ Text, Value, Rows, Verdict string }

// RoleView is a role with its mechanisms and rows.
type RoleView struct {
	Title      string
	Mechanisms []MechanismView
	Lines      []LineView
}

// MechanismView is a mechanism with its status.
type MechanismView struct {
	Name, Status, Where, Says string
	Options                   []Option
}

// LineView is a row's figure for one program.
type LineView struct{ Aspect, Quantity, Program, Parts, Total, Budget, Factor, From string }

// ExtrapolatedView is a figure at a size outside of the measured range.
type ExtrapolatedView struct{ Row, Program, Factor, From string }

// UnmeasuredView is a row without a figure.
type UnmeasuredView struct{ Row, Programs, Reason string }

// figure holds the computed values of a row for one program.
type figure struct {
	roleRow
	program            *Program
	count, each, total estimate
	base               estimate // only if the row has one
	factor             float64  // total divided by the budget; 0: the row has no budget
}

// name returns the role's title and the row's quantity.
func (f *roleRow) name() string { return f.role.Title + ": " + f.row.Quantity }

// pageBuilder computes all figures first, so that every part of the page shows the same values.
type pageBuilder struct {
	targets  *Targets
	results  []*result.File
	evidence *evidenceList
	sizes    sizes
	figures  []figure // of each row for each program
}

func newView(targets *Targets, results []*result.File) *View {
	builder := &pageBuilder{targets: targets, results: results, evidence: newEvidenceList(), sizes: targets.sizeValues(nil)}
	builder.computeFigures()
	view := &View{
		Programs: targets.Programs, Files: builder.fileViews(), Rankings: builder.rankingViews(), Numbers: builder.numberViews(), Roles: builder.roleViews(),
		Choices: builder.choiceViews(), Missed: builder.missedRuns(), Extrapolated: builder.extrapolatedViews(), Unmeasured: builder.unmeasuredViews(),
		Formulas: builder.formulaViews(), Fleets: builder.fleetViews(),
	}
	view.Evidence = builder.evidence.entries // read last, because computing the fleets adds entries
	return view
}

func (b *pageBuilder) estimator(program *Program, sizes sizes) *estimator {
	return &estimator{program: program, sizes: sizes, results: b.results, evidence: b.evidence}
}

// computeFigures computes the figure of each row for each program.
func (b *pageBuilder) computeFigures() {
	for i := range b.targets.Roles {
		role := &b.targets.Roles[i]
		for n := range role.Rows {
			for p := range b.targets.Programs {
				program := &b.targets.Programs[p]
				b.figures = append(b.figures, b.computeRow(roleRow{role, &role.Rows[n]}, program))
			}
		}
	}
}

// computeRow computes a row for one program.
func (b *pageBuilder) computeRow(of roleRow, program *Program) figure {
	e, row := b.estimator(program, b.sizes), of.row
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
		f.factor = f.total.value / b.sizes[row.Budget]
	}
	return f
}

func (b *pageBuilder) fileViews() (list []FileView) {
	for i, file := range b.results {
		fileView := FileView{Number: fmt.Sprint(i + 1), Revision: file.Revision, Taken: file.TakenAt, Command: directoryPrefix.ReplaceAllString(file.Command, "")}
		fileView.Machine = "not noted"
		if file.Machine.Cores > 0 {
			fileView.Machine = machineText(&file.Machine)
		}
		for _, run := range file.Runs {
			fileView.Runs++
			if run.MissedReason != "" {
				fileView.Missed++
			}
		}
		list = append(list, fileView)
	}
	return list
}

func machineText(m *result.Machine) string {
	sharing := "beside other work"
	if m.Exclusive {
		sharing = "with nothing beside it"
	}
	return fmt.Sprintf("%d cores, %s MB, %s descriptors a process, %s", m.Cores, formatPlain(float64(m.MemoryMB)), formatPlain(float64(m.MaxFiles)), sharing)
}

// missedRuns lists the failed runs with their reasons and combines runs with the same text.
func (b *pageBuilder) missedRuns() (list []string) {
	counts := map[string]int{}
	for _, file := range b.results {
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

// directoryPrefix matches the directories before a file name in a command.
var directoryPrefix = regexp.MustCompile(`[^\s=]*/`)

// logTimestamp matches the time at the start of a line of the program's log.
var logTimestamp = regexp.MustCompile(`time=\S+ `)

// missedReason returns why a run failed, without the times of log lines, so that equal reasons have equal texts.
func missedReason(run *result.Run) string { return logTimestamp.ReplaceAllString(run.MissedReason, "") }

func parametersText(of map[string]float64) string {
	texts := []string{}
	for _, name := range sortedKeys(of) {
		texts = append(texts, name+" "+formatShort(of[name]))
	}
	return strings.Join(texts, ", ")
}

func (b *pageBuilder) numberViews() (list []NumberView) {
	for i := range b.targets.Sizes {
		size := &b.targets.Sizes[i]
		if !size.FromOperators {
			continue
		}
		rows := b.targets.rowsUsing(size.Key)
		titles := []string{}
		for _, row := range rows {
			if !slices.Contains(titles, row.role.Title) {
				titles = append(titles, row.role.Title)
			}
		}
		list = append(list, NumberView{
			Text: size.Text, Value: size.Unit.format(b.sizes[size.Key]), Rows: strings.Join(titles, "; "), Verdict: b.verdict(rows),
		})
	}
	return list
}

// verdict summarizes rows: how many are measured, the one with the largest ratio to its budget in the last program with
// figures, and their mechanisms by status.
func (b *pageBuilder) verdict(rows []roleRow) string {
	worst, measured := figure{}, 0
	states := map[Status][]string{}
	for _, row := range rows {
		mechanism := b.targets.mechanismOf(row.role, row.row)
		if names := states[mechanism.Status]; !slices.Contains(names, mechanism.Name) {
			states[mechanism.Status] = append(names, mechanism.Name)
		}
		latest, known := b.latestFigure(row.row)
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

// latestFigure returns the measured figure of a row in the last program that has one.
func (b *pageBuilder) latestFigure(row *Row) (latest figure, known bool) {
	for _, f := range b.figures {
		if f.row == row && f.total.isKnown() && f.total.isMeasured() {
			latest, known = f, true
		}
	}
	return latest, known
}

func (b *pageBuilder) roleViews() (list []RoleView) {
	for i := range b.targets.Roles {
		role := &b.targets.Roles[i]
		view := RoleView{Title: role.Title}
		for _, key := range role.Mechanisms {
			view.Mechanisms = append(view.Mechanisms, mechanismView(b.targets.mechanism(key)))
		}
		for n := range role.Rows {
			view.Lines = append(view.Lines, b.lineViews(&role.Rows[n])...)
		}
		list = append(list, view)
	}
	return list
}

// lineViews returns the lines of a row: one for each program that has a figure, or a single line that says that there
// is none. A row that depends on sizes alone is the same in all programs and has one line.
func (b *pageBuilder) lineViews(row *Row) (list []LineView) {
	blank := LineView{Aspect: string(row.Aspect), Quantity: row.Quantity}
	if row.Budget != "" {
		blank.Budget = row.Unit.format(b.sizes[row.Budget])
	}
	for i := range b.figures {
		f := &b.figures[i]
		if f.row != row || !f.total.isKnown() {
			continue
		}
		line := blank
		line.Parts, line.Total = f.partsText(), f.totalText()
		line.Factor, line.From = f.factorText(), b.evidenceText(f.total)
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
			blank.Parts = countText(b.sizes.product(row.Count.Factors, row.Count.Divisors)) + " ×"
		}
		list = append(list, blank)
	}
	return list
}

// partsText formats the count and the need of each item, after the base if the row has one.
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

// countText formats a count; a whole count is not rounded.
func countText(count float64) string {
	if count != math.Trunc(count) {
		count = roundSignificant(count)
	}
	return formatPlain(count)
}

// evidenceText formats the evidence of a figure, whether a line in it does not describe its figure, and how far the
// size is outside of the measured range.
func (b *pageBuilder) evidenceText(e estimate) string {
	text := evidenceIDs(e.evidence)
	if b.evidence.hasPoorFit(e.evidence) {
		text += ", not a line"
	}
	if e.extrapolation > 1 {
		text += fmt.Sprintf(", ×%s outside the range", formatShort(e.extrapolation))
	}
	return text
}

// totalText formats the row's total.
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

// isOverBudget reports whether the total exceeds the budget. An upper bound over the budget does not count, because the
// true value may be below.
func (f *figure) isOverBudget() bool { return f.factor > 1 && !f.total.isUpperBound }

// factorText formats the ratio of the total to the budget.
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

// statusText formats a mechanism's status and those in earlier programs.
func statusText(m *Mechanism) string {
	text := string(m.Status)
	for _, label := range sortedKeys(m.Earlier) {
		text += fmt.Sprintf(" (%s: %s)", label, m.Earlier[label])
	}
	return text
}

func (b *pageBuilder) choiceViews() (list []MechanismView) {
	for _, status := range []Status{Missing, Partial} {
		for i := range b.targets.Mechanisms {
			if mechanism := &b.targets.Mechanisms[i]; mechanism.Status == status && len(mechanism.Options) > 0 {
				list = append(list, mechanismView(mechanism))
			}
		}
	}
	return list
}

func (b *pageBuilder) extrapolatedViews() (list []ExtrapolatedView) {
	outside := []*figure{}
	for i := range b.figures {
		if f := &b.figures[i]; f.total.isKnown() && f.total.extrapolation > 1 {
			outside = append(outside, f)
		}
	}
	slices.SortStableFunc(outside, func(a, b *figure) int { return compareDescending(a.total.extrapolation, b.total.extrapolation) })
	for _, f := range outside {
		list = append(list, ExtrapolatedView{
			Row: f.name(), Program: f.program.Label, Factor: "×" + formatShort(f.total.extrapolation), From: evidenceIDs(f.total.evidence),
		})
	}
	return list
}

// unmeasuredViews lists the rows without a figure with the programs that lack it.
func (b *pageBuilder) unmeasuredViews() (list []UnmeasuredView) {
	for i := range b.figures {
		f := &b.figures[i]
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
