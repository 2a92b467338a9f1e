// Package standin holds what the tests put in the place of the outside: clients, table workers and
// discovery of the platform, and Faktory clients and workers, all on the loopback address, with ports
// from the kernel. They follow the public specifications and decide nothing.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/faktory"
	"cobaltflow/internal/front/http2"
	"cobaltflow/internal/gateway"
	"cobaltflow/internal/platform"
	"cobaltflow/rules"
)

// Patience is how long a test waits for a condition that has to come true.
const WaitTimeout = 10 * time.Second

// Node is a scheduler within the test's process.
type Node struct {
	T         *testing.T
	Conf      *config.Config
	Gateway   *gateway.Gateway
	Loop      *core.Loop
	Core      *core.Core
	Front     *platform.Front
	Faktory   *faktory.Front
	HTTP2     *http2.Front
	Discovery *Discovery
	Ended     chan struct{}

	mu       sync.Mutex
	logLines []string
}

// Start runs a node that knows the workers; change may alter the configuration first.
func Start(t *testing.T, change func(*config.Config), workers ...*Worker) *Node {
	t.Helper()
	n := &Node{T: t, Discovery: NewDiscovery(t), Ended: make(chan struct{})}
	n.Conf = &config.Config{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: n.Discovery.Address(), Seed: 1,
		Limits: config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Names: config.Names{Classes: []string{"board-view", "move", "settle"}, Zones: []string{"suva", "lautoka"},
			Kinds: []string{"gen1"}, ConnIdleTimeout: 60_000_000},
		Settings: rules.Settings{MayCancel: true, MaxAttempts: 4, RetryAfter: true, ReportsStart: true, Zones: 2, Kinds: 1,
			ConnectTimeout: 150_000, AnswerSlack: 16_000, DrainGrace: 1_000_000, Classes: []rules.Class{
				{LatencyTarget: 500_000, Deadline: 5_000_000, Value: 3, Effect: rules.Repeatable, Kind: -1},
				{LatencyTarget: 1_000_000, Deadline: 10_000_000, Value: 2, Kind: -1},
				{LatencyTarget: 1_200_000, Deadline: 20_000_000, Value: 10, Kind: -1}}},
		Faktory: config.DefaultFaktory(), HTTP2: config.DefaultHTTP2(), StateDir: t.TempDir(),
	}
	n.Conf.KnownWorkers = n.Discovery.EncodeList(true, listEntries("up", workers)...)
	n.Discovery.SetFullList(n.Conf.KnownWorkers)
	if change != nil {
		change(n.Conf)
	}
	log := slog.New(slog.NewTextHandler(n, nil))
	n.Gateway = gateway.New(n.Conf, log)
	require.NoError(t, n.Gateway.Start())
	n.Loop, n.Core, n.Front, n.Faktory, n.HTTP2 = n.Gateway.Loop, n.Gateway.Core, n.Gateway.Front, n.Gateway.Faktory, n.Gateway.HTTP2
	go func() {
		n.Gateway.Run()
		close(n.Ended)
	}()
	for _, w := range workers {
		w.SendCallbacksTo(n)
	}
	t.Cleanup(func() {
		n.Loop.Post(n.Loop.Stop)
		<-n.Ended
	})
	if n.Conf.Discovery == n.Discovery.Address() {
		n.Eventually(func() bool { return n.Discovery.isWatched() })
	}
	return n
}

// Write takes a line of the log.
func (n *Node) Write(line []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logLines = append(n.logLines, string(line))
	return len(line), nil
}

// Logged tells whether a line with the text has been logged.
func (n *Node) HasLogged(text string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Contains(strings.Join(n.logLines, "\n"), text)
}

// URL is where a client finds a path.
func (n *Node) URL(path string) string { return "http://" + n.Front.Address() + path }

// Eventually waits for a condition.
func (n *Node) Eventually(f func() bool) {
	n.T.Helper()
	require.Eventually(n.T, f, WaitTimeout, time.Millisecond)
}

// On runs a function on the loop and waits for it.
func (n *Node) RunOnLoop(f func()) {
	done := make(chan struct{})
	n.Loop.Post(func() { f(); close(done) })
	<-done
}

// Answer is what a client got.
type Answer struct {
	Status     int
	Body       string
	RetryAfter string
}

// Ask sends a request as a client would and waits for the answer. It may be called from any goroutine.
func (n *Node) SendRequest(class, key, id string, leftMS int, body string) Answer {
	q, _ := http.NewRequest("POST", n.URL("/"+class+"/"+key), strings.NewReader(body))
	q.Header.Set(platform.HeaderID, id)
	q.Header.Set(platform.HeaderClass, class)
	q.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(leftMS))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return Answer{Body: err.Error()}
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Body: string(text), RetryAfter: r.Header.Get("Retry-After")}
}

// Event sends a callback and gives the status that came back.
func PostCallback(url string, fields map[string]any) int {
	text, _ := json.Marshal(fields)
	r, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// Discovery tells a node of the farm.
type Discovery struct {
	server       *httptest.Server
	mu           sync.Mutex
	index        int
	lines        chan string
	fullList     json.RawMessage
	watchCount   int
	watchedFrom  string
	truncateNext bool
}

// NewDiscovery starts one that has nothing to tell.
func NewDiscovery(t *testing.T) *Discovery {
	d := &Discovery{lines: make(chan string, 64)}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			d.mu.Lock()
			defer d.mu.Unlock()
			w.Write(d.fullList)
			return
		}
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		d.mu.Lock()
		d.watchCount++
		d.watchedFrom = r.URL.Query().Get("after")
		d.mu.Unlock()
		for {
			select {
			case line := <-d.lines:
				// In two parts, as a line may come.
				io.WriteString(w, line[:len(line)/2])
				w.(http.Flusher).Flush()
				if d.takeTruncation() {
					continue
				}
				io.WriteString(w, line[len(line)/2:]+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.server.CloseClientConnections(); d.server.Close() })
	return d
}

// Address is where discovery listens.
func (d *Discovery) Address() string { return d.server.Listener.Addr().String() }

// Whole sets the answer for those who ask for the whole list.
func (d *Discovery) SetFullList(list json.RawMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullList = list
}

// After is the version that the last watch continued from.
func (d *Discovery) WatchedFrom() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchedFrom
}

// Break has the next line stop in its middle.
func (d *Discovery) TruncateNextLine() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateNext = true
}

func (d *Discovery) takeTruncation() (yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	yes, d.truncateNext = d.truncateNext, false
	return yes
}

// Watches is the number of watches that have been opened.
func (d *Discovery) WatchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchCount
}

func (d *Discovery) isWatched() bool { return d.WatchCount() > 0 }

// Say sends a line to the watch as it is.
func (d *Discovery) SendLine(line string) { d.lines <- line }

// Tell makes a line of the list.
func (d *Discovery) EncodeList(whole bool, endpoints ...map[string]any) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	text, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": whole, "endpoints": endpoints})
	return text
}

func listEntries(status string, workers []*Worker) (out []map[string]any) {
	for _, w := range workers {
		out = append(out, w.ListEntry(status))
	}
	return out
}

// Worker is a table worker. Do answers a job's request; nil stands for Done.
type Worker struct {
	Name   string
	Handle func(w *Worker, id string, rw http.ResponseWriter, r *http.Request)
	// Cut tells, where it is set, of a request whose connection is to be closed instead of an answer.
	ShouldDrop func(r *http.Request) bool

	server      *httptest.Server
	mu          sync.Mutex
	callbackURL string
	jobs        []Job
	deleted     []string
	connCount   int
}

// Job is a request that a worker got.
type Job struct{ ID, Target, Body, TimeLeft string }

// NewWorker starts a table worker.
func NewWorker(t *testing.T, name string, do func(w *Worker, id string, rw http.ResponseWriter, r *http.Request)) *Worker {
	w := &Worker{Name: name, Handle: do}
	if do == nil {
		w.Handle = CompleteJob
	}
	w.server = httptest.NewUnstartedServer(http.HandlerFunc(w.serve))
	w.server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			w.mu.Lock()
			w.connCount++
			w.mu.Unlock()
		}
	}
	w.server.Start()
	t.Cleanup(func() { w.server.CloseClientConnections(); w.server.Close() })
	return w
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if w.ShouldDrop != nil && w.ShouldDrop(r) {
		c, _, _ := rw.(http.Hijacker).Hijack()
		c.Close()
		return
	}
	if r.Method == "DELETE" {
		w.mu.Lock()
		w.deleted = append(w.deleted, strings.TrimPrefix(r.URL.Path, platform.PathJobs))
		w.mu.Unlock()
		return
	}
	if r.URL.Path == platform.PathLoad {
		io.WriteString(rw, "TEXT queue=0, latency_ms=10, inflight=0, x0=4")
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(platform.HeaderID)
	w.mu.Lock()
	w.jobs = append(w.jobs, Job{id, r.URL.RequestURI(), string(body), r.Header.Get(platform.HeaderTimeLeft)})
	w.mu.Unlock()
	w.Handle(w, id, rw, r)
}

// Done takes a job and calls back with a result that names worker and job.
func CompleteJob(w *Worker, id string, rw http.ResponseWriter, _ *http.Request) {
	rw.WriteHeader(202)
	go w.SendCallback(id, "done", map[string]any{"result": w.Name + " did " + id})
}

// Call calls back.
func (w *Worker) SendCallback(id, state string, more map[string]any) int {
	fields := map[string]any{"id": id, "from": w.Name, "state": state}
	for k, v := range more {
		fields[k] = v
	}
	w.mu.Lock()
	url := w.callbackURL
	w.mu.Unlock()
	return PostCallback(url, fields)
}

// BackTo has a worker that was not there at the node's start call it back.
func (w *Worker) SendCallbacksTo(n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbackURL = n.URL(platform.PathEvents)
}

// Jobs are the requests that have come.
func (w *Worker) Jobs() []Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Job(nil), w.jobs...)
}

// Deleted tells whether a job has been given up by DELETE.
func (w *Worker) WasDeleted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(strings.Join(w.deleted, " "), id)
}

// Conns is the number of connections that have been opened to the worker.
func (w *Worker) ConnCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connCount
}

// Address is where the worker listens.
func (w *Worker) Address() string { return w.server.Listener.Addr().String() }

// Entry is the worker's entry of the list.
func (w *Worker) ListEntry(status string) map[string]any {
	return ListEntry(w.Name, w.Address(), status)
}

// Entry is the entry of the list of a worker at an address.
func ListEntry(name, address, status string) map[string]any {
	return map[string]any{"name": name, "address": address, "zone": "suva", "type": "gen1", "group": 0,
		"status": status, "weight": 1.0, "since_ms": 0}
}

// Raw is a plain connection, for input that no client library would write.
type RawConn struct {
	net.Conn
	T      *testing.T
	Reader *bufio.Reader
}

// Dial opens a plain connection.
func Dial(t *testing.T, address string) *RawConn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	c.SetDeadline(time.Now().Add(WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return &RawConn{c, t, bufio.NewReader(c)}
}

// Say writes text as it is. What it brings has Patience to come, however long the connection has stood.
func (r *RawConn) Send(text string) {
	r.SetDeadline(time.Now().Add(WaitTimeout))
	_, err := io.WriteString(r.Conn, text)
	require.NoError(r.T, err)
}

// Stop has the worker's process die.
func (w *Worker) Stop() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// ClearLog forgets what was logged.
func (n *Node) ClearLog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logLines = nil
}
