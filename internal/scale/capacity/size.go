package capacity

import (
	"maps"
	"slices"
)

// sizes holds the values of a plan's sizes by key.
type sizes map[string]float64

// sizeValues computes all sizes, with the given ones replaced. It relies on the check that each size depends only on
// sizes before it.
func (t *Targets) sizeValues(replaced map[string]float64) sizes {
	values := sizes{}
	for i := range t.Sizes {
		size := &t.Sizes[i]
		value, isReplaced := replaced[size.Key]
		if !isReplaced {
			value = values.product(size.Factors, size.Divisors)
			if size.Value != nil {
				value = *size.Value
			}
		}
		values[size.Key] = value
	}
	return values
}

// product multiplies the sizes of and divides by the sizes per.
func (s sizes) product(of, per []string) float64 {
	value := 1.0
	for _, key := range of {
		value *= s[key]
	}
	for _, key := range per {
		value /= s[key]
	}
	return value
}

func (t *Targets) size(key string) *Size {
	for i := range t.Sizes {
		if t.Sizes[i].Key == key {
			return &t.Sizes[i]
		}
	}
	return nil
}

func (t *Targets) mechanism(key string) *Mechanism {
	for i := range t.Mechanisms {
		if t.Mechanisms[i].Key == key {
			return &t.Mechanisms[i]
		}
	}
	return nil
}

// mechanismOf returns the mechanism that serves a row: its own, or the first one of its role.
func (t *Targets) mechanismOf(role *Role, row *Row) *Mechanism {
	if row.Mechanism != "" {
		return t.mechanism(row.Mechanism)
	}
	return t.mechanism(role.Mechanisms[0])
}

// roleRow is a row with its role.
type roleRow struct {
	role *Role
	row  *Row
}

// rowsUsing returns the rows that depend on a size, directly or through other sizes.
func (t *Targets) rowsUsing(size string) []roleRow {
	var rows []roleRow
	for i := range t.Roles {
		for n := range t.Roles[i].Rows {
			row := &t.Roles[i].Rows[n]
			if t.dependsOn(row.sizeKeys(), size) {
				rows = append(rows, roleRow{&t.Roles[i], row})
			}
		}
	}
	return rows
}

// dependsOn reports whether one of the sizes is the wanted one or depends on it.
func (t *Targets) dependsOn(names []string, wanted string) bool {
	for _, name := range names {
		size := t.size(name)
		if name == wanted || t.dependsOn(size.Factors, wanted) || t.dependsOn(size.Divisors, wanted) {
			return true
		}
	}
	return false
}

// sizeKeys returns the keys of the sizes that a row names.
func (r *Row) sizeKeys() []string {
	names := slices.Clone(r.AlsoCovers)
	for _, part := range r.namedTerms() {
		names = append(names, part.term.Factors...)
		names = append(names, part.term.Divisors...)
		for _, source := range []*Source{part.term.Figure, part.term.Denominator} {
			if source != nil && source.At != "" {
				names = append(names, source.At)
			}
		}
	}
	if r.Budget != "" {
		names = append(names, r.Budget)
	}
	return names
}

// namedTerm is a term of a row with its JSON key.
type namedTerm struct {
	name string
	term *Term
}

// namedTerms returns the terms that a row has.
func (r *Row) namedTerms() []namedTerm {
	all := []namedTerm{{"count", r.Count}, {"each", r.Each}, {"base", r.Base}, {"total", r.Total}}
	return slices.DeleteFunc(all, func(t namedTerm) bool { return t.term == nil })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
