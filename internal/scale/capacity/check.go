package capacity

import (
	"fmt"
	"slices"

	"cobaltflow/internal/scale/result"
)

// check returns the first fault of the targets, or nil.
func (t *Targets) check() error {
	if t.Version != FormatVersion {
		return errorAt("targets.version", "%d is not %d", t.Version, FormatVersion)
	}
	c := checker{targets: t, sizes: map[string]*Size{}, mechanisms: map[string]bool{}}
	for _, step := range []func() error{c.checkPrograms, c.checkSizes, c.checkMechanisms, c.checkRoles, c.checkConstraints, c.checkFleets, c.checkOperatorNumbers} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checker holds the definitions that the checks have passed so far.
type checker struct {
	targets    *Targets
	sizes      map[string]*Size
	mechanisms map[string]bool
}

func (c *checker) checkPrograms() error {
	if len(c.targets.Programs) == 0 {
		return errorAt("targets.programs", "there are none")
	}
	seen := map[string]bool{}
	for i, p := range c.targets.Programs {
		key := fmt.Sprintf("targets.programs.%d", i)
		if p.Label == "" || len(p.Names) == 0 {
			return errorAt(key, "label or names is missing")
		}
		for _, name := range p.Names {
			if seen[name] {
				return errorAt(key+".names", "%q stands twice", name)
			}
			seen[name] = true
		}
	}
	return nil
}

// checkSizes checks that a size depends only on sizes before it, so that none depends on itself.
func (c *checker) checkSizes() error {
	for i := range c.targets.Sizes {
		size := &c.targets.Sizes[i]
		key := fmt.Sprintf("targets.sizes.%d", i)
		if size.Key == "" {
			return errorAt(key+".key", "missing")
		}
		key = "targets.sizes." + size.Key
		if c.sizes[size.Key] != nil {
			return errorAt(key, "stands twice")
		}
		if !size.Unit.isValid() {
			return errorAt(key+".unit", "%q is not a unit", size.Unit)
		}
		if (size.Value != nil) == (len(size.Factors) > 0) {
			return errorAt(key, "either value or of is needed, and not both")
		}
		if size.Value != nil && *size.Value <= 0 {
			return errorAt(key+".value", "%g is not over 0", *size.Value)
		}
		if err := c.checkSizesDefined(key+".of", size.Factors...); err != nil {
			return err
		}
		if err := c.checkSizesDefined(key+".per", size.Divisors...); err != nil {
			return err
		}
		c.sizes[size.Key] = size
	}
	return nil
}

// checkSizesDefined checks that sizes with these keys are defined.
func (c *checker) checkSizesDefined(key string, sizes ...string) error {
	for _, name := range sizes {
		if c.sizes[name] == nil {
			return errorAt(key, "there is no size %q before it", name)
		}
	}
	return nil
}

func (c *checker) checkMechanisms() error {
	for i, m := range c.targets.Mechanisms {
		key := fmt.Sprintf("targets.mechanisms.%d", i)
		if m.Key == "" || m.Name == "" || m.Description == "" {
			return errorAt(key, "key, name or says is missing")
		}
		key = "targets.mechanisms." + m.Key
		if c.mechanisms[m.Key] {
			return errorAt(key, "stands twice")
		}
		c.mechanisms[m.Key] = true
		if !m.Status.isValid() {
			return errorAt(key+".status", "%q is not one of works, partial, missing", m.Status)
		}
		for _, label := range sortedKeys(m.Earlier) {
			if !m.Earlier[label].isValid() {
				return errorAt(key+".earlier."+label, "%q is not one of works, partial, missing", m.Earlier[label])
			}
		}
		if m.Status == Missing && len(m.Options) == 0 {
			return errorAt(key+".options", "a mechanism that is missing needs options")
		}
	}
	return nil
}

func (c *checker) checkRoles() error {
	if len(c.targets.Roles) == 0 {
		return errorAt("targets.roles", "there are none")
	}
	rows := map[string]bool{}
	for i := range c.targets.Roles {
		role := &c.targets.Roles[i]
		key := fmt.Sprintf("targets.roles.%d", i)
		if role.Key == "" || role.Title == "" {
			return errorAt(key, "key or title is missing")
		}
		key = "targets.roles." + role.Key
		if len(role.Mechanisms) == 0 {
			return errorAt(key+".mechanisms", "there are none")
		}
		for _, m := range role.Mechanisms {
			if !c.mechanisms[m] {
				return errorAt(key+".mechanisms", "there is no mechanism %q", m)
			}
		}
		for n := range role.Rows {
			row := &role.Rows[n]
			if row.Key == "" {
				return errorAt(fmt.Sprintf("%s.rows.%d.key", key, n), "missing")
			}
			if rows[row.Key] {
				return errorAt(key+".rows."+row.Key, "stands twice")
			}
			rows[row.Key] = true
			if err := c.checkRow(key+".rows."+row.Key, row); err != nil {
				return err
			}
		}
		if err := c.checkAspects(key, role); err != nil {
			return err
		}
	}
	return nil
}

// checkAspects checks that a role has a row of each required aspect.
func (c *checker) checkAspects(key string, role *Role) error {
	for _, aspect := range requiredAspects {
		if !slices.ContainsFunc(role.Rows, func(r Row) bool { return r.Aspect == aspect }) {
			return errorAt(key+".rows", "there is no row of the aspect %q", aspect)
		}
	}
	return nil
}

func (c *checker) checkRow(key string, row *Row) error {
	if row.Quantity == "" {
		return errorAt(key+".quantity", "missing")
	}
	if !row.Aspect.isValid() {
		return errorAt(key+".aspect", "%q is not an aspect", row.Aspect)
	}
	if !row.Unit.isValid() {
		return errorAt(key+".unit", "%q is not a unit", row.Unit)
	}
	computed := row.Total != nil || row.Count != nil && row.Each != nil
	if computed == (row.NotMeasured != "") {
		return errorAt(key, "either total, or count and each, or not_measured is needed")
	}
	if row.Total != nil && row.Each != nil {
		return errorAt(key+".each", "follows from total")
	}
	if row.Base != nil && row.Each == nil {
		return errorAt(key+".base", "stands beside count and each only")
	}
	for _, part := range row.namedTerms() {
		if err := c.checkTerm(key+"."+part.name, part.term); err != nil {
			return err
		}
	}
	if row.Mechanism != "" && !c.mechanisms[row.Mechanism] {
		return errorAt(key+".mechanism", "there is no mechanism %q", row.Mechanism)
	}
	if err := c.checkSizesDefined(key+".answers", row.AlsoCovers...); err != nil {
		return err
	}
	return c.checkBudget(key+".budget", row.Budget, row.Unit)
}

// checkBudget checks that a budget is a size in the unit of the row that it bounds.
func (c *checker) checkBudget(key, name string, unit Unit) error {
	if name == "" {
		return nil
	}
	if err := c.checkSizesDefined(key, name); err != nil {
		return err
	}
	if budgetUnit := c.sizes[name].Unit; budgetUnit != unit {
		return errorAt(key, "%q is in %s, and what it bounds in %s", name, budgetUnit, unit)
	}
	return nil
}

func (c *checker) checkTerm(key string, term *Term) error {
	if term.Figure == nil && len(term.Factors) == 0 {
		return errorAt(key, "neither figure nor times")
	}
	if err := c.checkSizesDefined(key+".times", term.Factors...); err != nil {
		return err
	}
	if err := c.checkSizesDefined(key+".per", term.Divisors...); err != nil {
		return err
	}
	if term.Figure == nil {
		if term.Denominator != nil {
			return errorAt(key+".over", "stands beside figure only")
		}
		return nil
	}
	if err := c.checkSource(key+".figure", term.Figure); err != nil || term.Denominator == nil {
		return err
	}
	return c.checkSource(key+".over", term.Denominator)
}

func (c *checker) checkSource(key string, s *Source) error {
	if s.Case == "" || s.Figure == "" {
		return errorAt(key, "case or figure is missing")
	}
	if s.Kind != result.Real && s.Kind != result.Hollow {
		return errorAt(key+".kind", "%q is not one of real, hollow", s.Kind)
	}
	if !s.Use.isValid() {
		return errorAt(key+".use", "%q is not one of line, slope, intercept, point", s.Use)
	}
	if s.Parameter == "" && s.Use != UsePoint {
		return errorAt(key+".parameter", "missing")
	}
	if s.At == "" && (s.Use == UseLine || s.Use == UsePoint && s.Parameter != "") {
		return errorAt(key+".at", "missing")
	}
	if s.At == "" {
		return nil
	}
	return c.checkSizesDefined(key+".at", s.At)
}

func (c *checker) checkConstraints() error {
	for i := range c.targets.Constraints {
		constraint := &c.targets.Constraints[i]
		key := fmt.Sprintf("targets.constraints.%d", i)
		if constraint.Text == "" {
			return errorAt(key+".text", "missing")
		}
		if err := c.checkSizesDefined(key+".budget", constraint.Budget); err != nil {
			return err
		}
		if err := c.checkSizesDefined(key+".events", constraint.Events); err != nil {
			return err
		}
		if err := c.checkTerm(key+".each", &constraint.Each); err != nil {
			return err
		}
		for n := range constraint.Fixed {
			if err := c.checkTerm(fmt.Sprintf("%s.fixed.%d", key, n), &constraint.Fixed[n]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *checker) checkFleets() error {
	for i, fleet := range c.targets.Fleets {
		key := fmt.Sprintf("targets.fleets.%d", i)
		if fleet.Text == "" {
			return errorAt(key+".text", "missing")
		}
		for _, name := range sortedKeys(fleet.Sizes) {
			if err := c.checkSizesDefined(key+".sizes", name); err != nil {
				return err
			}
			if c.sizes[name].Value == nil {
				return errorAt(key+".sizes."+name, "follows from other sizes")
			}
			if fleet.Sizes[name] <= 0 {
				return errorAt(key+".sizes."+name, "%g is not over 0", fleet.Sizes[name])
			}
		}
	}
	return nil
}

// checkOperatorNumbers checks that a row depends on each number of the operators' list.
func (c *checker) checkOperatorNumbers() error {
	for i := range c.targets.Sizes {
		size := &c.targets.Sizes[i]
		if size.FromOperators && len(c.targets.rowsUsing(size.Key)) == 0 {
			return errorAt("targets.sizes."+size.Key, "no row rests on this number of the operators' list")
		}
	}
	return nil
}

// checkResults returns the first fault in the parts of the results that the page uses, or nil.
func checkResults(results []*result.File) error {
	if len(results) == 0 {
		return errorAt("results", "there are none")
	}
	lines := map[lineKey]int{}
	for i, file := range results {
		for n, run := range file.Runs {
			if err := checkRun(fmt.Sprintf("results.%d.runs.%d", i, n), &run); err != nil {
				return err
			}
		}
		for n := range file.Slopes {
			slope := &file.Slopes[n]
			key := fmt.Sprintf("results.%d.slopes.%d", i, n)
			if err := checkSlope(key, slope); err != nil {
				return err
			}
			if other, twice := lines[slopeKey(slope)]; twice {
				return errorAt(key, "%s of case %q along %q, program %q, stands in results.%d already",
					slope.Figure, slope.Case, slope.Parameter, slope.Program, other)
			}
			lines[slopeKey(slope)] = i
		}
	}
	return nil
}

func checkRun(key string, run *result.Run) error {
	switch {
	case run.Case == "":
		return errorAt(key+".case", "missing")
	case run.Program == "":
		return errorAt(key+".program", "missing")
	case run.Kind != result.Real && run.Kind != result.Hollow:
		return errorAt(key+".kind", "%q is not one of real, hollow", run.Kind)
	case len(run.Figures) == 0 && run.MissedReason == "":
		return errorAt(key+".figures", "there are none, and missed doesn't say why")
	}
	return nil
}

func checkSlope(key string, s *result.Slope) error {
	switch {
	case s.Case == "":
		return errorAt(key+".case", "missing")
	case s.Program == "":
		return errorAt(key+".program", "missing")
	case s.Figure == "":
		return errorAt(key+".figure", "missing")
	case s.Parameter == "":
		return errorAt(key+".parameter", "missing")
	case s.Kind != result.Real && s.Kind != result.Hollow:
		return errorAt(key+".kind", "%q is not one of real, hollow", s.Kind)
	case s.From > s.To:
		return errorAt(key+".from", "%g is over to, %g", s.From, s.To)
	case s.Low > s.High:
		return errorAt(key+".low", "%g is over high, %g", s.Low, s.High)
	}
	return nil
}
