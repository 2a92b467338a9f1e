package main

import (
	"fmt"
	"strings"
	"testing"

	"cobaltflow/internal/wire"
	"cobaltflow/rules"
)

// attach returns the lines that start an instance with three workers.
func attach(instance, seed string) string {
	return "SELECT\t" + instance + "\nATTACH\t" + seed + "\tcaps.mostTries=3\tcaps.cancel=true\tclasses.count=1\t" +
		"classes.0.aimUs=150000\tclasses.0.deadlineUs=5000000\tclasses.0.effect=once\tgroupSize=2\tkinds=a\tdcs=x\n" +
		"VIEW\t1\tdisk\t3\nM\tw1\t0\t0\t0\tready\t1\t-\nM\tw2\t0\t0\t0\tready\t1\t-\nM\tw3\t0\t0\t0\tready\t1\t-\n"
}

// transcript runs a short session for the instances and returns the lines of the replies by instance.
func transcript(t *testing.T, instances ...string) map[string][]string {
	t.Helper()
	in := "CLOCK\t1000\nCOMMIT\nCLOCK\t2000\n"
	for i, x := range instances {
		in += attach(x, fmt.Sprint(7+strings.Index("ab", x[len(x)-1:])+0*i))
	}
	in += "COMMIT\n"
	for n := range 20 {
		in += fmt.Sprintf("CLOCK\t%d\n", 10_000+n*4000)
		for _, x := range instances {
			in += fmt.Sprintf("SELECT\t%s\nORDER\trq_%s%d\t0\t-\t%d\t5000000\t-\t1\t-\t0\t0\t0\n", x, x[len(x)-1:], n, n%5)
		}
		in += "COMMIT\n"
	}
	in += fmt.Sprintf("CLOCK\t%d\n", 6_000_000)
	for _, x := range instances {
		in += "SELECT\t" + x + "\nTICK_DUE\t0\n"
	}
	in += "COMMIT\n"
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "FINISHED\n"); n != 23 {
		t.Fatalf("%d replies to 23 batches", n)
	}
	byInstance, instance := map[string][]string{}, ""
	for _, l := range strings.Split(out.String(), "\n") {
		if name, ok := strings.CutPrefix(l, "CONTEXT\t"); ok {
			instance = name
		} else if l != "FINISHED" && l != "" {
			byInstance[instance] = append(byInstance[instance], l)
		}
	}
	return byInstance
}

// An instance acts the same whether or not another one runs beside it.
func TestInstancesAreIndependent(t *testing.T) {
	both, a, b := transcript(t, "scheduler/a", "scheduler/b"), transcript(t, "scheduler/a"), transcript(t, "scheduler/b")
	for name, alone := range map[string][]string{"scheduler/a": a["scheduler/a"], "scheduler/b": b["scheduler/b"]} {
		if fmt.Sprint(both[name]) != fmt.Sprint(alone) {
			t.Errorf("%s acts differently beside another instance:\n%q\nalone:\n%q", name, both[name], alone)
		}
		sends, ends := 0, 0
		for _, l := range alone {
			if strings.HasPrefix(l, "CALL_OUT") {
				sends++
			}
			if strings.HasPrefix(l, "GIVE_UP") {
				ends++
			}
		}
		if sends != 20 || ends != 20 {
			t.Errorf("%s: %d sends and %d ends of 20 requests that no worker answers", name, sends, ends)
		}
	}
}

// Malformed input is an error and writes nothing to standard output; events for an unknown instance are ignored.
func TestBadInput(t *testing.T) {
	for _, in := range []string{"CLOCK\t1\nSELECT\ts/1\n", "CLOCK\tx\nCOMMIT\n", "nonsense\n",
		"CLOCK\t1\nSELECT\ts/1\nORDER\trq\nCOMMIT\n"} {
		var out strings.Builder
		if err := run(strings.NewReader(in), &out); err == nil {
			t.Errorf("%q: no error", in)
		}
		if out.Len() > 0 {
			t.Errorf("%q: %q on standard output", in, out.String())
		}
	}
	var out strings.Builder
	if err := run(strings.NewReader(""), &out); err != nil {
		t.Errorf("end of input: %v", err)
	}
	in := "CLOCK\t1\nSELECT\ts/9\nHANGUP\trq\nDESTROY\nCOMMIT\n" // an instance that is not running
	if err := run(strings.NewReader(in), &out); err != nil || out.String() != "FINISHED\n" {
		t.Errorf("%v, %q", err, out.String())
	}
}

// A panic of a Dispatcher is returned as a fault of one line, which run reports as BAIL_OUT, and nothing else of it is
// written to standard output.
func TestPanicIsReturnedAsFault(t *testing.T) {
	var out strings.Builder
	enc := wire.NewEncoder(&out)
	enc.Select("scheduler/1")
	e := wire.Event{Type: wire.Attach, Instance: "scheduler/1"} // no settings: apply panics before it calls rules.New
	text := apply(map[string]*rules.Dispatcher{}, enc, 1, &e)
	if !strings.HasPrefix(text, "panic: ") || strings.Contains(text, "\n") {
		t.Errorf("fault %q", text)
	}
	if out.Len() > 0 {
		t.Errorf("%q on standard output", out.String())
	}
}
