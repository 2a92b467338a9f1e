package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"cobaltflow/rules"
)

func decode(text string) (Batch, error) {
	var b Batch
	err := NewDecoder(strings.NewReader(text)).Next(&b)
	return b, err
}

func lines(l ...string) string { return strings.Join(l, "\n") + "\n" }

// Each kind of line decodes to its event; unknown and absent values get their defaults.
func TestDecodeEvents(t *testing.T) {
	for _, c := range []struct {
		name, line string
		want       Event
	}{
		{"request", "ORDER\trq_a\t1\t2\t9007199254740991\t500\t12000\t2\t0.5\t0\t0\t0", Event{Type: Request,
			Request: rules.Request{ID: "rq_a", Class: 1, Tenant: 2, Key: 9007199254740991, HasKey: true, Deadline: 500,
				Hint: 12000, Slots: 2, Memory: 0.5}}},
		{"request with absent values", "ORDER\trq_a\t0\t-\t-\t500\t-\t-\t-\t-\t-\t-", Event{Type: Request,
			Request: rules.Request{ID: "rq_a", Deadline: 500}}},
		{"outcome", "RESPONSE\trq_a\t1\tw1\tdone\t18500\t1\t-\twaiting:3,active:7,x0:0.4", Event{Type: Outcome,
			Outcome: rules.Outcome{Request: "rq_a", Attempt: 1, Worker: "w1", Latency: 18500, Closed: true, Load: rules.Load{
				Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots, Queue: 3, InFlight: 7, FreeSlots: 0.4}}}},
		{"unknown outcome and report value", "RESPONSE\trq_a\t0\tw1\tmelted\t1\t0\t-\tmood:3,x1:2", Event{Type: Outcome,
			Outcome: rules.Outcome{Request: "rq_a", Worker: "w1", Status: rules.Unknown, Latency: 1,
				Load: rules.Load{Has: rules.HasFreeMem, FreeMem: 2}}}},
		{"start", "HEARTBEAT\trq_a\t0\tw1\t1\t-", Event{Type: Progress,
			Progress: rules.Progress{Request: "rq_a", Worker: "w1", Started: true}}},
		{"progress", "HEARTBEAT\trq_a\t0\tw1\t2\t0.25", Event{Type: Progress,
			Progress: rules.Progress{Request: "rq_a", Worker: "w1", FractionDone: 0.25}}},
		{"probe", "STATUS_BACK\tw1\tetimedout\t400\t-", Event{Type: Probed,
			Probed: rules.ProbeResult{Worker: "w1", Status: rules.TimedOut, Latency: 400}}},
		{"disconnect", "HANGUP\trq_a", Event{Type: ClientDisconnected, Disconnected: "rq_a"}},
		{"timer", "TICK_DUE\t77", Event{Type: TimerDue, Token: 77}},
		{"stream", "FLOWING\trq_a\t0\tw1\t9", Event{Type: Streaming,
			Outcome: rules.Outcome{Request: "rq_a", Worker: "w1", Latency: 9}}},
		{"stop", "DESTROY", Event{Type: Destroy}},
	} {
		b, err := decode(lines("CLOCK\t42", "SELECT\tscheduler/3", c.line, "COMMIT"))
		if err != nil || b.Now != 42 || len(b.Events) != 1 {
			t.Errorf("%s: %d events at %d, %v", c.name, len(b.Events), b.Now, err)
			continue
		}
		c.want.Instance = "scheduler/3"
		if !reflect.DeepEqual(b.Events[0], c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.name, b.Events[0], c.want)
		}
	}
}

// A list decodes with all fields; a worker with an unknown state counts as draining.
func TestDecodeWorkerList(t *testing.T) {
	b, err := decode(lines("CLOCK\t1", "SELECT\ts/1", "VIEW\t41\tdisk\t3", "M\twa\t0\t1\t2\tready\t1\t-",
		"M\twb\t1\t0\t0\tdraining\t1.5\t6100000", "M\twc\t1\t0\t0\tsleeping\t-\t-", "COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	want := &rules.List{Form: rules.ListCached, Entries: []rules.ListEntry{
		{Worker: "wa", Kind: 1, Cell: 2, Weight: 1},
		{Worker: "wb", Zone: 1, State: rules.Draining, Weight: 1.5, StartedAt: 6100000},
		{Worker: "wc", Zone: 1, State: rules.Draining}, // unknown state: no new jobs are sent there
	}}
	if !reflect.DeepEqual(b.Events[0].List, want) {
		t.Errorf("got %+v", b.Events[0].List)
	}
}

// Settings are read by their paths; unknown paths are skipped and unknown words get the safest interpretation.
func TestParseSettings(t *testing.T) {
	b, err := decode(lines("CLOCK\t1", "SELECT\ts/1", "ATTACH\t7\tcaps.probes=true\tcaps.mostTries=5\tclasses.count=2\t"+
		"classes.0.effect=by_key\tclasses.0.group=cell\tclasses.0.aimUs=150000\tclasses.0.windowUs=9\tclasses.1.effect=odd\t"+
		"specifics.classKind=-1,2\tspecifics.classStretch=1.5\ttenants.count=1\ttenants.0.quotaRps=190.5\tgroupSize=3\t"+
		"discovery=ask\treport.how=probe\tdcs=a,b\tkinds=x,y,z\tsomething.new=yes\tweights=rough\trules.coldFrom=0.3", "COMMIT"))
	if err != nil {
		t.Fatal(err)
	}
	s := b.Events[0].Settings
	if b.Events[0].Seed != 7 || !s.MayProbe || s.MaxAttempts != 5 || s.GroupSize != 3 || !s.PullsList || !s.LoadInProbes ||
		s.LoadInAnswers || s.Zones != 2 || s.Kinds != 3 || !s.WeightsAreSize || s.SlowStartMinCapacity != 0.3 {
		t.Errorf("settings %+v", s)
	}
	want := []rules.Class{
		{Effect: rules.Keyed, Group: rules.GroupCell, LatencyTarget: 150000, Window: 9, Kind: -1, TargetStretch: 1.5},
		{Effect: rules.Once, Group: rules.GroupCell, Kind: 2, TargetStretch: 1.5}, // unknown words: the safest interpretation
	}
	if !reflect.DeepEqual(s.Classes, want) {
		t.Errorf("classes %+v", s.Classes)
	}
	if len(s.Tenants) != 1 || s.Tenants[0].QuotaPerS != 190.5 {
		t.Errorf("tenants %+v", s.Tenants)
	}
}

// Events and kinds of progress that are unknown are skipped.
func TestUnknownEventsAreSkipped(t *testing.T) {
	b, err := decode(lines("CLOCK\t1", "SELECT\ts/1", "NOVELTY\t1\t2", "HEARTBEAT\tr\t0\tw\t9\t1", "HANGUP\tr", "COMMIT"))
	if err != nil || len(b.Events) != 1 || b.Events[0].Type != ClientDisconnected {
		t.Errorf("%v, %+v", err, b.Events)
	}
}

// Messages of other schedulers are base64 on the wire, in both directions.
func TestPeerMessages(t *testing.T) {
	b, err := decode(lines("CLOCK\t1", "SELECT\ts/1", "DATAGRAM\t2\taGk=", "COMMIT"))
	if err != nil || len(b.Events) != 1 || b.Events[0].Type != PeerMessage || b.Events[0].From != 2 || string(b.Events[0].Data) != "hi" {
		t.Errorf("%v, %+v", err, b.Events)
	}
	var out strings.Builder
	e := NewEncoder(&out)
	e.Select("s/1")
	e.Broadcast([]byte("hi"))
	e.Finish()
	if out.String() != "CONTEXT\ts/1\nPOST\t*\taGk=\nFINISHED\n" {
		t.Errorf("%q", out.String())
	}
}

// A malformed line is an error that names the line and the fault; only an end of input between batches is io.EOF.
func TestMalformedLines(t *testing.T) {
	for _, c := range []struct{ name, line, fault string }{
		{"missing field", "ORDER\trq_a\t0", "missing"},
		{"bad number", "ORDER\trq_a\tx\t0\t1\t5\t-\t1\t-\t0\t0\t0", "line 3"},
		{"bad key", "ORDER\trq_a\t0\t0\tkey\t5\t-\t1\t-\t0\t0\t0", "not a key"},
		{"negative index", "ORDER\trq_a\t-3\t0\t1\t5\t-\t1\t-\t0\t0\t0", "not an index"},
		{"bad message", "DATAGRAM\t2\t?", "illegal base64"},
		{"bad flag", "RESPONSE\trq_a\t0\tw\tdone\t1\tyes\t-\t-", "neither 0 nor 1"},
		{"bad report", "RESPONSE\trq_a\t0\tw\tdone\t1\t1\t-\twaiting", "not a load value"},
		{"not a number", "STATUS_BACK\tw\tdone\t1\tx0:NaN", "not a load value"},
		{"absent id", "HANGUP\t-", "absent"},
		{"list cut short", "VIEW\t1\tsnapshot\t2\nM\tw\t0\t0\t0\tready\t1\t-", "then"},
		{"unknown form", "VIEW\t1\tpartial\t0", "not a list form"},
		{"bad setting", "ATTACH\t1\tgroupSize=many", "groupSize"},
		{"setting without value", "ATTACH\t1\tgroupSize", "path=value"},
		{"token", "TICK_DUE\t1.5", "not a whole number"},
	} {
		_, err := decode(lines("CLOCK\t1", "SELECT\ts/1", c.line, "COMMIT"))
		if err == nil || !strings.Contains(err.Error(), c.fault) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%s: %v, want a fault that names the line and %q", c.name, err, c.fault)
		}
	}
	for _, text := range []string{"HELLO\n", "CLOCK\n", "CLOCK\tnow\nCOMMIT\n", "CLOCK\t1\nHANGUP\tr\nCOMMIT\n",
		"CLOCK\t1\nSELECT\ts/1\n", "CLOCK\t1\nCOM", "CLOCK\t1"} {
		if _, err := decode(text); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%q: %v, want a fault", text, err)
		}
	}
	if _, err := decode(""); !errors.Is(err, io.EOF) {
		t.Errorf("no input: %v, want io.EOF", err)
	}
}

// A reply holds the actions of each instance, in order, after its CONTEXT line; an instance without actions is left out.
func TestEncodeReply(t *testing.T) {
	var out strings.Builder
	e := NewEncoder(&out)
	e.Select("scheduler/3")
	e.Send("rq_a", 8492250, "w1")
	e.Timer(500000, 77)
	e.Select("scheduler/4") // without actions: not in the reply
	e.Select("scheduler/5")
	e.Cancel("rq_b", 1)
	e.Refuse("rq_c", 250, rules.Shed)
	e.Fail("rq_d", rules.DeadlineExceeded)
	e.Probe("w2")
	e.Watch(true)
	e.Fetch()
	e.Log("two\nlines")
	e.Fault("broken\tindeed")
	if err := e.Finish(); err != nil {
		t.Fatal(err)
	}
	want := lines("CONTEXT\tscheduler/3", "CALL_OUT\trq_a\t8492250\tw1", "REMIND\t500000\t77", "CONTEXT\tscheduler/5",
		"RETRACT\trq_b\t1", "REFUSE\trq_c\t250", "GIVE_UP\trq_d", "SAMPLE\tw2", "TAIL\t1", "GET_LIST", "LOG\ttwo lines",
		"BAIL_OUT\tbroken indeed", "FINISHED")
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// Whatever the input, the decoder does not panic and every event has an instance.
func FuzzDecoder(f *testing.F) {
	f.Add("CLOCK\t1\nSELECT\ts/1\nATTACH\t1\tgroupSize=2\nVIEW\t1\tdisk\t1\nM\tw\t0\t0\t0\tready\t1\t-\nCOMMIT\n")
	f.Add("CLOCK\t1\nSELECT\ts/1\nRESPONSE\tr\t0\tw\tdone\t1\t1\t-\tx0:1\nHEARTBEAT\tr\t0\tw\t1\t-\nCOMMIT\n\nCLOCK\t2\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		var b Batch
		for {
			if err := d.Next(&b); err != nil {
				return
			}
			for _, e := range b.Events {
				if e.Instance == "" {
					t.Fatal("an event for no instance")
				}
			}
		}
	})
}
