package rules_test

import (
	"fmt"

	"cobaltflow/rules"
)

// host prints a dispatcher's actions. A real host sends over the network and sets timers.
type host struct{ worker rules.WorkerID }

func (h *host) Send(r rules.RequestID, _ rules.Time, w rules.WorkerID) {
	h.worker = w
	fmt.Println("send", r, "to", w)
}
func (h *host) Cancel(r rules.RequestID, attempt int)                  { fmt.Println("cancel", r, attempt) }
func (h *host) Refuse(r rules.RequestID, _ rules.Time, _ rules.Reason) { fmt.Println("refuse", r) }
func (h *host) Fail(r rules.RequestID, _ rules.Reason)                 { fmt.Println("fail", r) }
func (h *host) Timer(delay rules.Time, token uint64)                   {} // calls TimerDue after the delay
func (h *host) Probe(w rules.WorkerID)                                 {}
func (h *host) Broadcast([]byte)                                       {}
func (h *host) Watch(on bool)                                          {}
func (h *host) Fetch()                                                 {}
func (h *host) Log(text string)                                        {}

// A host passes the events of one request to a dispatcher: the first worker refuses the job, the second one
// serves it.
func Example() {
	h := &host{}
	d := rules.New(rules.Settings{
		MaxAttempts: 3,
		Classes:     []rules.Class{{LatencyTarget: 100_000, Deadline: 2_000_000, Effect: rules.Once, Kind: -1}},
	}, 42, 0, h)
	d.List(0, &rules.List{Form: rules.ListFull, Entries: []rules.ListEntry{{Worker: "a", Weight: 1}, {Worker: "b", Weight: 1}}})

	d.Request(1_000, &rules.Request{ID: "job-1", Key: 7, HasKey: true, Deadline: 2_001_000})
	d.Outcome(2_000, &rules.Outcome{Request: "job-1", Attempt: 0, Worker: h.worker, Status: rules.Refused})
	d.Progress(3_000, &rules.Progress{Request: "job-1", Attempt: 1, Worker: h.worker, Started: true})
	d.Outcome(90_000, &rules.Outcome{Request: "job-1", Attempt: 1, Worker: h.worker, Status: rules.OK, Closed: true})
	// Output:
	// send job-1 to b
	// send job-1 to a
}
