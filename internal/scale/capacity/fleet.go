package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// FormulaView is a constraint on the number of schedulers in one program.
type FormulaView struct{ Constraint, Program, Formula, From string }

// FleetView is the number of schedulers that a fleet needs.
type FleetView struct{ Fleet, Program, Needed, Binding, Each string }

// demand is what a constraint comes to for a fleet: the number of schedulers follows from it.
type demand struct {
	budget, events float64
	fixed, each    estimate
}

func (d *demand) unknownReason() string {
	if !d.fixed.isKnown() {
		return d.fixed.unknownReason
	}
	return d.each.unknownReason
}

// left is what of the budget each scheduler has for its part of the events.
func (d *demand) remainingBudget() float64 { return d.budget - d.fixed.value }

// schedulers is the least number that carries the events; no number does where what each needs anyway is over the budget.
func (d *demand) minSchedulers() (number float64, possible bool) {
	if d.remainingBudget() <= 0 {
		return 0, false
	}
	return max(1, math.Ceil(d.events*d.each.value/d.remainingBudget())), true
}

func (m *pageBuilder) computeDemand(c *Constraint, e *estimator) demand {
	d := demand{budget: e.sizes[c.Budget], events: e.sizes[c.Events], each: e.evaluate(&c.Each), fixed: estimate{extrapolation: 1}}
	for i := range c.Fixed {
		d.fixed = d.fixed.add(e.evaluate(&c.Fixed[i]))
	}
	return d
}

// measuredPrograms are those that were run as processes.
func (m *pageBuilder) measuredPrograms() (list []*Program) {
	for i := range m.targets.Programs {
		program := &m.targets.Programs[i]
		isOfIt := func(run result.Run) bool {
			return run.Kind == result.Real && slices.Contains(program.Names, run.Program)
		}
		if slices.ContainsFunc(m.results, func(f *result.File) bool { return slices.ContainsFunc(f.Runs, isOfIt) }) {
			list = append(list, program)
		}
	}
	return list
}

// formulas shows each constraint with its figures at the planned size.
func (m *pageBuilder) formulaViews() (list []FormulaView) {
	for i := range m.targets.Constraints {
		c := &m.targets.Constraints[i]
		unit := m.targets.size(c.Budget).Unit
		for _, program := range m.measuredPrograms() {
			d := m.computeDemand(c, m.estimator(program, m.sizes))
			if why := d.unknownReason(); why != "" {
				list = append(list, FormulaView{Constraint: c.Text, Program: program.Label, Formula: "not measured: " + why})
				continue
			}
			text := fmt.Sprintf("%s × %s / (%s − %s)", countText(d.events), formatEach(unit, d.each.value), unit.format(d.budget), unit.formatRounded(d.fixed.value))
			list = append(list, FormulaView{Constraint: c.Text, Program: program.Label, Formula: text, From: m.evidenceText(d.fixed.merge(d.each))})
		}
	}
	return list
}

// each shows what one event needs of a budget in a unit.
func formatEach(unit Unit, value float64) string {
	if unit == Bytes || unit == BytesPerS {
		return Bytes.formatRounded(value)
	}
	return formatShort(value)
}

// fleets gives the number of schedulers for each fleet by the constraints that were measured.
func (m *pageBuilder) fleetViews() (list []FleetView) {
	for _, fleet := range m.targets.Fleets {
		sizes := m.targets.sizeValues(fleet.Sizes)
		for _, program := range m.measuredPrograms() {
			list = append(list, m.fleetView(fleet.Text, program, sizes))
		}
	}
	return list
}

func (m *pageBuilder) fleetView(text string, program *Program, sizes sizes) FleetView {
	view := FleetView{Fleet: text, Program: program.Label}
	most, parts, impossible := 0.0, []string{}, []string{}
	for i := range m.targets.Constraints {
		c := &m.targets.Constraints[i]
		d := m.computeDemand(c, m.estimator(program, sizes))
		if d.unknownReason() != "" {
			parts = append(parts, c.Text+": not measured")
			continue
		}
		number, possible := d.minSchedulers()
		if !possible {
			impossible = append(impossible, c.Text)
			parts = append(parts, c.Text+": none")
			continue
		}
		parts = append(parts, c.Text+": "+formatPlain(number))
		if number > most {
			most, view.Binding = number, c.Text
		}
	}
	view.Each = strings.Join(parts, "; ")
	switch {
	case len(impossible) > 0:
		view.Needed = "no number"
		view.Binding = strings.Join(impossible, ", ") + ": what each scheduler needs anyway is over the budget"
	case most == 0:
		view.Needed = "not measured"
	default:
		view.Needed = formatPlain(most)
	}
	return view
}
