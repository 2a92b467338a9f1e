package core

// Ref names an entry of a Table: a slot number and the generation of its use. The zero Ref names
// nothing, since generations start at 1.
type Ref struct {
	Slot, Gen uint32
}

// Table keeps values in numbered slots that are used again. A Ref kept past Free finds nothing: the
// generation guards against an event for an earlier holder of the slot reaching a later one.
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

// Add puts a value into a free slot.
func (t *SlotMap[T]) Add(v T) Ref {
	var n uint32
	if k := len(t.free); k > 0 {
		n, t.free = t.free[k-1], t.free[:k-1]
	} else {
		n = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[n]
	s.gen++
	s.live, s.item = true, v
	t.used++
	return Ref{Slot: n, Gen: s.gen}
}

// Get gives the value that Ref names, or false when it has been freed.
func (t *SlotMap[T]) Get(r Ref) (v T, ok bool) {
	if int(r.Slot) >= len(t.slots) || !t.slots[r.Slot].live || t.slots[r.Slot].gen != r.Gen {
		return v, false
	}
	return t.slots[r.Slot].item, true
}

// Free empties the slot; it tells whether the Ref still named it.
func (t *SlotMap[T]) Free(r Ref) bool {
	if _, ok := t.Get(r); !ok {
		return false
	}
	var none T
	s := &t.slots[r.Slot]
	s.live, s.item = false, none
	t.free = append(t.free, r.Slot)
	t.used--
	return true
}

// Len is the number of slots in use.
func (t *SlotMap[T]) Len() int { return t.used }

// Each visits every value in slot order. The visitor may free what it is given.
func (t *SlotMap[T]) Each(f func(Ref, T)) {
	for n := range t.slots {
		if s := &t.slots[n]; s.live {
			f(Ref{Slot: uint32(n), Gen: s.gen}, s.item)
		}
	}
}
