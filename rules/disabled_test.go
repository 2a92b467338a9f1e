package rules

import "testing"

// A worker that an operator has disabled gets nothing new, whatever the list says, until it is enabled; disabling it
// twice is undone by enabling it once; for an unknown worker SetDisabled returns false.
func TestDisabledWorkerGetsNothingUntilEnabled(t *testing.T) {
	d := newTestDispatcher(oneClass(Repeatable), workerList(4)...)
	for range 2 {
		if !d.SetDisabled(d.now, "w1", ByOperator, true) {
			t.Fatal("SetDisabled of a listed worker returned false")
		}
	}
	if d.SetDisabled(d.now, "w9", ByOperator, true) {
		t.Fatal("SetDisabled of an unknown worker returned true")
	}
	d.SetDisabled(d.now, "w9", ByOperator, false)
	if n := d.OutOfRotation(d.now); n != 1 {
		t.Fatalf("%d workers out of rotation, want 1", n)
	}
	// The list calls the worker ready again: it stays disabled.
	d.List(d.now, &List{Form: ListFull, Entries: workerList(4)})
	for key := range uint64(200) {
		d.serve(key, 20*ms)
	}
	if n := d.rec.sentTo("w1"); n != 0 {
		t.Fatalf("%d jobs went to the disabled worker", n)
	}
	for _, w := range []WorkerID{"w0", "w2", "w3"} {
		if d.rec.sentTo(w) == 0 {
			t.Fatalf("%s, which is not disabled, got nothing", w)
		}
	}
	d.SetDisabled(d.now, "w1", ByOperator, false)
	if n := d.OutOfRotation(d.now); n != 0 {
		t.Fatalf("%d workers out of rotation after the worker was enabled, want 0", n)
	}
	for key := range uint64(400) {
		d.serve(key, 20*ms)
	}
	if d.rec.sentTo("w1") == 0 {
		t.Fatal("the worker that was enabled again got nothing")
	}
}
