package conformance

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"
	"time"

	"cobaltflow/internal/faktory/client"
)

// FaktoryServer describes how to reach a server of the Faktory work protocol, and what it allows.
type FaktoryServer struct {
	Address     string
	Password    string // empty: the server requires none
	Jobtype     string // a job type that the server accepts and whose failed jobs it retries; empty: "conformance"
	AllowsFlush bool   // the server allows FLUSH, and may lose all its jobs
}

// faktoryEnv is the environment of one case: its connections, and names that no other case uses, so that cases can run in
// parallel.
type faktoryEnv struct {
	FaktoryServer
	runPrefix, caseName string
	lastID              int // number of the latest job or worker
	conns               []*client.Conn
}

// caseTimeout bounds how long a case waits for a job or a condition.
const caseTimeout = 8 * time.Second

// faktoryCase is a case of the suite.
type faktoryCase struct {
	name, description string
	run               func(e *faktoryEnv)
}

// RunFaktory runs the suite, several cases at a time, and sends the results in the order of the table. The channel closes
// after the last.
func RunFaktory(s FaktoryServer) <-chan Result {
	if s.Jobtype == "" {
		s.Jobtype = "conformance"
	}
	prefix := fmt.Sprintf("%x", time.Now().UnixNano()&0xfffffffff)
	out := make(chan Result)
	go func() {
		defer close(out)
		runSuite(len(faktoryCases), func(i int) Result { return s.run(prefix, faktoryCases[i]) }, out)
		if s.AllowsFlush { // after all other cases, since it deletes their jobs
			out <- s.run(prefix, faktoryCase{"flush-empties", "FLUSH leaves no job behind", checkFlush})
		}
	}()
	return out
}

// run runs a case with its own connections. All names of the suite's run start with prefix.
func (s FaktoryServer) run(prefix string, c faktoryCase) Result {
	e := &faktoryEnv{FaktoryServer: s, runPrefix: prefix, caseName: c.name}
	start := time.Now()
	err := catchFailure(func() { c.run(e) })
	for _, conn := range e.conns {
		conn.Close()
	}
	return Result{c.name, c.description, err, time.Since(start)}
}

// FaktoryCaseCount returns the number of cases in the table, without the one for FLUSH.
func FaktoryCaseCount() int { return len(faktoryCases) }

// fail ends the case with an error.
func (e *faktoryEnv) fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

// must ends the case if err is not nil.
func (e *faktoryEnv) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// expectEqual ends the case with an error unless two values are deeply equal.
func (e *faktoryEnv) expectEqual(want, got any, what string) {
	if !reflect.DeepEqual(want, got) {
		e.fail("%s: wanted %v, got %v", what, want, got)
	}
}

// trackConn registers a new connection to be closed at the case's end.
func (e *faktoryEnv) trackConn(c *client.Conn, err error) *client.Conn {
	e.must(err)
	e.conns = append(e.conns, c)
	return c
}

// dialProducer connects as a producer.
func (e *faktoryEnv) dialProducer() *client.Conn {
	return e.trackConn(client.Dial(e.Address, client.Options{Password: e.Password}))
}

// dialWorker connects as a worker.
func (e *faktoryEnv) dialWorker() *client.Conn {
	e.lastID++
	return e.trackConn(client.Dial(e.Address, client.Options{Password: e.Password, WID: fmt.Sprintf("%s-%s-%d", e.runPrefix, e.caseName, e.lastID)}))
}

// workerID returns the ID of the case's n-th job or worker.
func (e *faktoryEnv) workerID(n int) string {
	return fmt.Sprintf("%s-%s-%d", e.runPrefix, e.caseName, n)
}

// queue returns the name of a queue that only this case uses.
func (e *faktoryEnv) queue(suffix string) string { return e.runPrefix + "-" + e.caseName + suffix }

// newJob returns a job with its own ID in the case's queue. change, which may be nil, edits it.
func (e *faktoryEnv) newJob(change func(*client.Job)) client.Job {
	e.lastID++
	j := client.Job{JID: fmt.Sprintf("%s-%s-%d", e.runPrefix, e.caseName, e.lastID), Type: e.Jobtype, Args: []any{1.0, "two", nil}, Queue: e.queue("")}
	if change != nil {
		change(&j)
	}
	return j
}

// do sends a command and returns the reply.
func (e *faktoryEnv) do(c *client.Conn, verb, arg string) client.Reply {
	r, err := c.Do(verb, arg)
	if err != nil {
		e.fail("%s: %v", verb, err)
	}
	return r
}

// expectOK sends a command whose reply has to be OK.
func (e *faktoryEnv) expectOK(c *client.Conn, verb, arg string) {
	if r := e.do(c, verb, arg); !r.IsOK() {
		e.fail("%s %s: wanted +OK, got %s%s", verb, arg, r.Text, r.Err)
	}
}

// expectError sends a command whose reply has to be an error.
func (e *faktoryEnv) expectError(c *client.Conn, verb, arg string) {
	if r := e.do(c, verb, arg); r.Err == "" {
		e.fail("%s %s: wanted an error, got %q", verb, arg, r.Text)
	}
}

// push pushes a job, which has to be accepted, and returns it.
func (e *faktoryEnv) push(c *client.Conn, j client.Job) client.Job {
	e.must(c.Push(j))
	return j
}

// fetch fetches from the queues, or from the case's own, until it gets a job. It gives up after caseTimeout.
func (e *faktoryEnv) fetch(c *client.Conn, queues ...string) *client.Job {
	if len(queues) == 0 {
		queues = []string{e.queue("")}
	}
	for end := time.Now().Add(caseTimeout); time.Now().Before(end); {
		j, err := c.Fetch(queues...)
		e.must(err)
		if j != nil {
			return j
		}
	}
	e.fail("no job arrived from %v", queues)
	return nil
}

// expectNoJob sends a FETCH that has to return no job.
func (e *faktoryEnv) expectNoJob(c *client.Conn, queues ...string) {
	if len(queues) == 0 {
		queues = []string{e.queue("")}
	}
	j, err := c.Fetch(queues...)
	e.must(err)
	if j != nil {
		e.fail("got job %s, wanted none", j.JID)
	}
}

// setSize returns the number of jobs in a set, such as Retries, as INFO reports it.
func (e *faktoryEnv) setSize(c *client.Conn, set string) int {
	info, err := c.Info()
	e.must(err)
	f, _ := info["faktory"].(map[string]any)
	t, _ := f["tasks"].(map[string]any)
	s, _ := t[set].(map[string]any)
	n, ok := s["size"].(float64)
	if !ok {
		e.fail("INFO has no faktory.tasks.%s.size", set)
	}
	return int(n)
}

// failJob pushes, fetches and fails a job.
func (e *faktoryEnv) failJob(p, w *client.Conn, change func(*client.Job)) client.Job {
	j := e.push(p, e.newJob(change))
	e.fetch(w, j.Queue)
	e.must(w.Fail(j.JID, "ConformanceError", "it failed on purpose", "one.go:1", "two.go:2"))
	return j
}

// mutate sends a MUTATE of a set, which has to succeed.
func (e *faktoryEnv) mutate(c *client.Conn, cmd, target string, filter map[string]any) {
	arg := map[string]any{"cmd": cmd, "target": target}
	if filter != nil {
		arg["filter"] = filter
	}
	text, _ := json.Marshal(arg)
	e.expectOK(c, "MUTATE", string(text))
}

// filterJIDs returns the filter of a MUTATE that selects jobs by ID.
func filterJIDs(ids ...string) map[string]any { return map[string]any{"jids": ids} }

// timeFromNow returns the time after a duration in the format of RFC 3339.
func timeFromNow(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339Nano) }

func ptr(n int) *int { return &n }

// eventually polls a condition until it is true, for caseTimeout at most.
func (e *faktoryEnv) eventually(what string, f func() bool) {
	for end := time.Now().Add(caseTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			e.fail("timed out waiting until %s", what)
		}
	}
}

// jobState returns a job's state as TRACK GET reports it.
func (e *faktoryEnv) jobState(c *client.Conn, jid string) string {
	var t struct {
		State string `json:"state"`
	}
	r := e.do(c, "TRACK", "GET "+jid)
	e.must(json.Unmarshal([]byte(r.Text), &t))
	return t.State
}

// expectClosed reads until the server closes the connection.
func (e *faktoryEnv) expectClosed(c *client.Conn) {
	for {
		if _, err := c.Read(); errors.Is(err, client.ErrClosed) || errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			e.fail("wanted the end of the connection, got %v", err)
		}
	}
}

// checkFlush is the case of FLUSH: no job remains in any queue or set.
func checkFlush(e *faktoryEnv) {
	p := e.dialProducer()
	e.push(p, e.newJob(nil))
	e.push(p, e.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
	e.expectOK(p, "FLUSH", "")
	info, err := p.Info()
	e.must(err)
	f, _ := info["faktory"].(map[string]any)
	e.expectEqual(0.0, f["total_enqueued"], "total_enqueued")
	e.expectEqual(0, e.setSize(p, "Scheduled"), "scheduled jobs")
}

// runParallel runs functions in parallel and waits for all of them.
func (e *faktoryEnv) runParallel(fs ...func()) {
	var wg sync.WaitGroup
	errs := make([]error, len(fs))
	for i, f := range fs {
		wg.Go(func() { errs[i] = catchFailure(f) })
	}
	wg.Wait()
	e.must(errors.Join(errs...))
}

// bulkArgument returns the argument of a PUSHB.
func bulkArgument(jobs ...any) string {
	text, _ := json.Marshal(jobs)
	return string(text)
}

func contains(text, part string) bool { return strings.Contains(text, part) }
