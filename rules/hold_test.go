package rules

import "testing"

// A worker held by hand gets nothing new, whatever the list says, until it is let back; two holds are
// undone by one release; an unknown worker is owed a no.
func TestHoldKeepsAWorkerOutUntilLetBack(t *testing.T) {
	b := newBed(oneClass(Repeatable), fleet(4)...)
	for range 2 {
		if !b.SetDisabled(b.now, "w1", ByOperator, true) {
			t.Fatal("a listed worker was not held")
		}
	}
	if b.SetDisabled(b.now, "w9", ByOperator, true) {
		t.Fatal("an unknown worker was held")
	}
	b.SetDisabled(b.now, "w9", ByOperator, false)
	if n := b.OutOfRotation(b.now); n != 1 {
		t.Fatalf("avoided: %d, want 1", n)
	}
	// The list calls it up again: the hold stands.
	b.List(b.now, &List{Form: ListFull, Entries: fleet(4)})
	for key := range uint64(200) {
		b.serve(key, 20*ms)
	}
	if n := b.a.sentTo("w1"); n != 0 {
		t.Fatalf("%d jobs went to the held worker", n)
	}
	for _, w := range []WorkerID{"w0", "w2", "w3"} {
		if b.a.sentTo(w) == 0 {
			t.Fatalf("%s, not held, got nothing", w)
		}
	}
	b.SetDisabled(b.now, "w1", ByOperator, false)
	if n := b.OutOfRotation(b.now); n != 0 {
		t.Fatalf("avoided after the release: %d", n)
	}
	for key := range uint64(400) {
		b.serve(key, 20*ms)
	}
	if b.a.sentTo("w1") == 0 {
		t.Fatal("the released worker got nothing")
	}
}
