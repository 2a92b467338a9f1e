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

// Faktory says how to reach a server of the Faktory work protocol.
type FaktoryServer struct {
	Address     string
	Password    string
	Jobtype     string // one that the server takes, and whose failed jobs it tries again; empty: "conformance"
	AllowsFlush bool   // the server allows FLUSH, and may lose all it has
}

// fk is what a case of the suite works with: names that are its own, so that cases don't meet one another.
type faktoryEnv struct {
	FaktoryServer
	runPrefix, caseName string
	lastID              int
	conns               []*client.Conn
}

type faktoryCase struct {
	name, description string
	run               func(k *faktoryEnv)
}

// RunFaktory runs the suite, some cases at a time, and gives the results in the order of the table.
func RunFaktory(s FaktoryServer) <-chan Result {
	if s.Jobtype == "" {
		s.Jobtype = "conformance"
	}
	prefix := fmt.Sprintf("%x", time.Now().UnixNano()&0xfffffffff)
	out := make(chan Result)
	go func() {
		defer close(out)
		runSuite(len(faktoryCases), func(i int) Result { return s.run(prefix, faktoryCases[i]) }, out)
		if s.AllowsFlush { // alone, since it takes everything from everybody
			out <- s.run(prefix, faktoryCase{"flush-empties", "FLUSH leaves no job behind", checkFlush})
		}
	}()
	return out
}

// run runs a case with connections of its own; prefix is what the names of this run begin with.
func (s FaktoryServer) run(prefix string, c faktoryCase) Result {
	k := &faktoryEnv{FaktoryServer: s, runPrefix: prefix, caseName: c.name}
	began := time.Now()
	err := catchFailure(func() { c.run(k) })
	for _, conn := range k.conns {
		conn.Close()
	}
	return Result{c.name, c.description, err, time.Since(began)}
}

// FaktoryCases is the number of cases in the table.
func FaktoryCaseCount() int { return len(faktoryCases) }

func (k *faktoryEnv) fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

func (k *faktoryEnv) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func (k *faktoryEnv) expectEqual(want, got any, what string) {
	if !reflect.DeepEqual(want, got) {
		k.fail("%s: wanted %v, got %v", what, want, got)
	}
}

func (k *faktoryEnv) trackConn(c *client.Conn, err error) *client.Conn {
	k.must(err)
	k.conns = append(k.conns, c)
	return c
}

func (k *faktoryEnv) dialProducer() *client.Conn {
	return k.trackConn(client.Dial(k.Address, client.Options{Password: k.Password}))
}

func (k *faktoryEnv) dialWorker() *client.Conn {
	k.lastID++
	return k.trackConn(client.Dial(k.Address, client.Options{Password: k.Password, WID: fmt.Sprintf("%s-%s-%d", k.runPrefix, k.caseName, k.lastID)}))
}

func (k *faktoryEnv) workerID(n int) string {
	return fmt.Sprintf("%s-%s-%d", k.runPrefix, k.caseName, n)
}

// queue is a name that only this case uses.
func (k *faktoryEnv) queue(suffix string) string { return k.runPrefix + "-" + k.caseName + suffix }

// job makes a job of this case's own, in its own queue.
func (k *faktoryEnv) newJob(change func(*client.Job)) client.Job {
	k.lastID++
	j := client.Job{JID: fmt.Sprintf("%s-%s-%d", k.runPrefix, k.caseName, k.lastID), Type: k.Jobtype, Args: []any{1.0, "two", nil}, Queue: k.queue("")}
	if change != nil {
		change(&j)
	}
	return j
}

func (k *faktoryEnv) do(c *client.Conn, verb, arg string) client.Reply {
	r, err := c.Do(verb, arg)
	if err != nil {
		k.fail("%s: %v", verb, err)
	}
	return r
}

func (k *faktoryEnv) expectOK(c *client.Conn, verb, arg string) {
	if r := k.do(c, verb, arg); !r.IsOK() {
		k.fail("%s %s: wanted +OK, got %s%s", verb, arg, r.Text, r.Err)
	}
}

func (k *faktoryEnv) expectError(c *client.Conn, verb, arg string) {
	if r := k.do(c, verb, arg); r.Err == "" {
		k.fail("%s %s: wanted an error, got %q", verb, arg, r.Text)
	}
}

func (k *faktoryEnv) push(c *client.Conn, j client.Job) client.Job {
	k.must(c.Push(j))
	return j
}

// fetch fetches until there is a job, for a few seconds.
func (k *faktoryEnv) fetch(c *client.Conn, queues ...string) *client.Job {
	if len(queues) == 0 {
		queues = []string{k.queue("")}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		j, err := c.Fetch(queues...)
		k.must(err)
		if j != nil {
			return j
		}
	}
	k.fail("no job came from %v", queues)
	return nil
}

// none has a FETCH find nothing.
func (k *faktoryEnv) expectNoJob(c *client.Conn, queues ...string) {
	if len(queues) == 0 {
		queues = []string{k.queue("")}
	}
	j, err := c.Fetch(queues...)
	k.must(err)
	if j != nil {
		k.fail("job %s came, and none was due", j.JID)
	}
}

// tasks gives the size of a set, by INFO.
func (k *faktoryEnv) setSize(c *client.Conn, set string) int {
	info, err := c.Info()
	k.must(err)
	f, _ := info["faktory"].(map[string]any)
	t, _ := f["tasks"].(map[string]any)
	s, _ := t[set].(map[string]any)
	n, ok := s["size"].(float64)
	if !ok {
		k.fail("INFO has no faktory.tasks.%s.size", set)
	}
	return int(n)
}

// failed pushes, fetches and fails a job.
func (k *faktoryEnv) failJob(p, w *client.Conn, change func(*client.Job)) client.Job {
	j := k.push(p, k.newJob(change))
	k.fetch(w, j.Queue)
	k.must(w.Fail(j.JID, "ConformanceError", "it failed on purpose", "one.go:1", "two.go:2"))
	return j
}

func (k *faktoryEnv) mutate(c *client.Conn, cmd, target string, filter map[string]any) {
	arg := map[string]any{"cmd": cmd, "target": target}
	if filter != nil {
		arg["filter"] = filter
	}
	text, _ := json.Marshal(arg)
	k.expectOK(c, "MUTATE", string(text))
}

func filterJIDs(ids ...string) map[string]any { return map[string]any{"jids": ids} }

func timeFromNow(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339Nano) }

func ptr(n int) *int { return &n }

// eventually waits for a condition.
func (k *faktoryEnv) eventually(what string, f func() bool) {
	for end := time.Now().Add(8 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			k.fail("it never came true that %s", what)
		}
	}
}

func (k *faktoryEnv) jobState(c *client.Conn, jid string) string {
	var t struct {
		State string `json:"state"`
	}
	r := k.do(c, "TRACK", "GET "+jid)
	k.must(json.Unmarshal([]byte(r.Text), &t))
	return t.State
}

func (k *faktoryEnv) expectClosed(c *client.Conn) {
	for {
		if _, err := c.Read(); errors.Is(err, client.ErrClosed) || errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			k.fail("wanted the end of the connection, got %v", err)
		}
	}
}

func checkFlush(k *faktoryEnv) {
	p := k.dialProducer()
	k.push(p, k.newJob(nil))
	k.push(p, k.newJob(func(j *client.Job) { j.At = timeFromNow(time.Hour) }))
	k.expectOK(p, "FLUSH", "")
	info, err := p.Info()
	k.must(err)
	f, _ := info["faktory"].(map[string]any)
	k.expectEqual(0.0, f["total_enqueued"], "total_enqueued")
	k.expectEqual(0, k.setSize(p, "Scheduled"), "scheduled jobs")
}

// together runs functions at once and waits for them.
func (k *faktoryEnv) runParallel(fs ...func()) {
	var wg sync.WaitGroup
	errs := make([]error, len(fs))
	for i, f := range fs {
		wg.Go(func() { errs[i] = catchFailure(f) })
	}
	wg.Wait()
	k.must(errors.Join(errs...))
}

func bulkArgument(jobs ...any) string {
	text, _ := json.Marshal(jobs)
	return string(text)
}

func contains(text, part string) bool { return strings.Contains(text, part) }
