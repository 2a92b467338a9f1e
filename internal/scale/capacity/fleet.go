package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"cobaltflow/internal/scale/result"
)

// FormulaView is a constraint on the number of schedulers with its figures for one program.
type FormulaView struct{ Constraint, Program, Formula, From string }

// FleetView is the number of schedulers that a fleet needs with one program, and the constraint that determines it.
type FleetView struct{ Fleet, Program, Needed, Binding, Each string }

// demand holds the figures of a constraint for a fleet, from which the number of schedulers follows. The fields budget,
// fixed and each have the same unit.
type demand struct {
	budget, events float64  // budget of a scheduler; events of the whole fleet
	fixed, each    estimate // fixed: need of a scheduler whatever its part of the load; each: need per event
}

// unknownReason returns why the demand cannot be computed, or "" if it can.
func (d *demand) unknownReason() string {
	if !d.fixed.isKnown() {
		return d.fixed.unknownReason
	}
	return d.each.unknownReason
}

// remainingBudget returns the part of the budget that is left for a scheduler's part of the events.
func (d *demand) remainingBudget() float64 { return d.budget - d.fixed.value }

// minSchedulers returns the smallest number of schedulers that can process the events. It returns false if the fixed
// need alone exceeds the budget, so that no number is large enough.
func (d *demand) minSchedulers() (number float64, possible bool) {
	if d.remainingBudget() <= 0 {
		return 0, false
	}
	return max(1, math.Ceil(d.events*d.each.value/d.remainingBudget())), true
}

func (b *pageBuilder) computeDemand(c *Constraint, e *estimator) demand {
	d := demand{budget: e.sizes[c.Budget], events: e.sizes[c.Events], each: e.evaluate(&c.Each), fixed: estimate{extrapolation: 1}}
	for i := range c.Fixed {
		d.fixed = d.fixed.add(e.evaluate(&c.Fixed[i]))
	}
	return d
}

// measuredPrograms returns the programs that have runs as processes.
func (b *pageBuilder) measuredPrograms() (list []*Program) {
	for i := range b.targets.Programs {
		program := &b.targets.Programs[i]
		isRealRun := func(run result.Run) bool {
			return run.Kind == result.Real && slices.Contains(program.Names, run.Program)
		}
		if slices.ContainsFunc(b.results, func(f *result.File) bool { return slices.ContainsFunc(f.Runs, isRealRun) }) {
			list = append(list, program)
		}
	}
	return list
}

// formulaViews returns each constraint with its figures at the planned size.
func (b *pageBuilder) formulaViews() (list []FormulaView) {
	for i := range b.targets.Constraints {
		constraint := &b.targets.Constraints[i]
		unit := b.targets.size(constraint.Budget).Unit
		for _, program := range b.measuredPrograms() {
			d := b.computeDemand(constraint, b.estimator(program, b.sizes))
			if reason := d.unknownReason(); reason != "" {
				list = append(list, FormulaView{Constraint: constraint.Text, Program: program.Label, Formula: "not measured: " + reason})
				continue
			}
			text := fmt.Sprintf("%s × %s / (%s − %s)", countText(d.events), formatEach(unit, d.each.value), unit.format(d.budget), unit.formatRounded(d.fixed.value))
			list = append(list, FormulaView{Constraint: constraint.Text, Program: program.Label, Formula: text, From: b.evidenceText(d.fixed.merge(d.each))})
		}
	}
	return list
}

// formatEach formats what one event needs of a budget in a unit.
func formatEach(unit Unit, value float64) string {
	if unit == Bytes || unit == BytesPerS {
		return Bytes.formatRounded(value)
	}
	return formatShort(value)
}

// fleetViews returns the number of schedulers for each fleet and measured program.
func (b *pageBuilder) fleetViews() (list []FleetView) {
	for _, fleet := range b.targets.Fleets {
		sizes := b.targets.sizeValues(fleet.Sizes)
		for _, program := range b.measuredPrograms() {
			list = append(list, b.fleetView(fleet.Text, program, sizes))
		}
	}
	return list
}

// fleetView computes the number of schedulers of a fleet from the constraints that were measured.
func (b *pageBuilder) fleetView(text string, program *Program, sizes sizes) FleetView {
	view := FleetView{Fleet: text, Program: program.Label}
	largest, parts, impossible := 0.0, []string{}, []string{}
	for i := range b.targets.Constraints {
		constraint := &b.targets.Constraints[i]
		d := b.computeDemand(constraint, b.estimator(program, sizes))
		if d.unknownReason() != "" {
			parts = append(parts, constraint.Text+": not measured")
			continue
		}
		number, possible := d.minSchedulers()
		if !possible {
			impossible = append(impossible, constraint.Text)
			parts = append(parts, constraint.Text+": none")
			continue
		}
		parts = append(parts, constraint.Text+": "+formatPlain(number))
		if number > largest {
			largest, view.Binding = number, constraint.Text
		}
	}
	view.Each = strings.Join(parts, "; ")
	switch {
	case len(impossible) > 0:
		view.Needed = "no number"
		view.Binding = strings.Join(impossible, ", ") + ": what each scheduler needs anyway is over the budget"
	case largest == 0:
		view.Needed = "not measured"
	default:
		view.Needed = formatPlain(largest)
	}
	return view
}
