package core

// Ref refers to a value in a SlotMap by slot number and generation. The zero Ref refers to nothing, since generations
// start at 1.
type Ref struct {
	Slot, Gen uint32
}

// SlotMap keeps values in numbered slots and reuses freed slots. Each use of a slot has a new generation, so that a Ref
// kept past Free finds nothing, and a late event for a freed value does not reach the next value in its slot.
type SlotMap[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

type slot[T any] struct {
	gen  uint32
	live bool
	item T
}

// Add puts a value into a free slot and returns its Ref.
func (m *SlotMap[T]) Add(v T) Ref {
	var n uint32
	if k := len(m.free); k > 0 {
		n, m.free = m.free[k-1], m.free[:k-1]
	} else {
		n = uint32(len(m.slots))
		m.slots = append(m.slots, slot[T]{})
	}
	s := &m.slots[n]
	s.gen++
	s.live, s.item = true, v
	m.used++
	return Ref{Slot: n, Gen: s.gen}
}

// Get returns the value that the Ref refers to, and false if it has been freed.
func (m *SlotMap[T]) Get(r Ref) (v T, ok bool) {
	if int(r.Slot) >= len(m.slots) || !m.slots[r.Slot].live || m.slots[r.Slot].gen != r.Gen {
		return v, false
	}
	return m.slots[r.Slot].item, true
}

// Free removes the value that the Ref refers to. It returns false if that was done before.
func (m *SlotMap[T]) Free(r Ref) bool {
	if _, ok := m.Get(r); !ok {
		return false
	}
	var zero T
	s := &m.slots[r.Slot]
	s.live, s.item = false, zero
	m.free = append(m.free, r.Slot)
	m.used--
	return true
}

// Len returns the number of values.
func (m *SlotMap[T]) Len() int { return m.used }

// Each calls f for every value in slot order. f may free the value that it is called with.
func (m *SlotMap[T]) Each(f func(Ref, T)) {
	for n := range m.slots {
		if s := &m.slots[n]; s.live {
			f(Ref{Slot: uint32(n), Gen: s.gen}, s.item)
		}
	}
}
