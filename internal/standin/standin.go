// Package standin holds the fakes that the integration tests use: clients, table workers and a discovery server of the
// platform, and Faktory clients and workers. All of them listen on ports that the kernel picks on the loopback address,
// follow the public specifications and make no scheduling decision. Only tests import it.
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

// WaitTimeout bounds how long a test waits for a condition that has to become true.
const WaitTimeout = 10 * time.Second

// Node is a scheduler that runs within the test's process.
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
	Ended     chan struct{} // closed when the gateway's Run has returned

	mu       sync.Mutex
	logLines []string
}

// Start runs a node whose worker list holds the workers, and stops it when the test ends. change, which may be nil, edits
// the configuration before the start. Start returns once the node watches the fake discovery server, if it uses that one.
// Of the job classes only board-view may run twice; a move or a settle that may have run is not repeated.
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

// Write implements io.Writer for the node's logger and stores the line.
func (n *Node) Write(line []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logLines = append(n.logLines, string(line))
	return len(line), nil
}

// HasLogged reports whether the log contains the text.
func (n *Node) HasLogged(text string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Contains(strings.Join(n.logLines, "\n"), text)
}

// URL returns the URL of a path on the node's HTTP/1.1 front.
func (n *Node) URL(path string) string { return "http://" + n.Front.Address() + path }

// Eventually fails the test unless the condition becomes true within WaitTimeout.
func (n *Node) Eventually(f func() bool) {
	n.T.Helper()
	require.Eventually(n.T, f, WaitTimeout, time.Millisecond)
}

// RunOnLoop runs a function on the node's loop and waits until it has returned.
func (n *Node) RunOnLoop(f func()) {
	done := make(chan struct{})
	n.Loop.Post(func() { f(); close(done) })
	<-done
}

// Answer is the final answer that a client received. Status is 0, and Body the error, if there was none.
type Answer struct {
	Status     int
	Body       string
	RetryAfter string
}

// SendRequest sends a request over HTTP/1.1 with leftMS milliseconds to its deadline, and waits for the answer. It may be
// called from any goroutine.
func (n *Node) SendRequest(class, key, id string, leftMS int, body string) Answer {
	req, _ := http.NewRequest("POST", n.URL("/"+class+"/"+key), strings.NewReader(body))
	req.Header.Set(platform.HeaderID, id)
	req.Header.Set(platform.HeaderClass, class)
	req.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(leftMS))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{Body: err.Error()}
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: string(text), RetryAfter: resp.Header.Get("Retry-After")}
}

// PostCallback sends a worker's callback and returns the HTTP status of the reply; 0 means that none arrived.
func PostCallback(url string, fields map[string]any) int {
	text, _ := json.Marshal(fields)
	r, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// Discovery is a fake discovery server: it serves the worker list and streams updates to those who watch it.
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

// NewDiscovery starts a discovery server with an empty list.
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
				// A line is sent in two writes, as the network may split it.
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

// Address returns the host and port that the server listens on.
func (d *Discovery) Address() string { return d.server.Listener.Addr().String() }

// SetFullList sets the answer to requests for the complete list.
func (d *Discovery) SetFullList(list json.RawMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullList = list
}

// WatchedFrom returns the list version that the latest watch resumed from.
func (d *Discovery) WatchedFrom() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchedFrom
}

// TruncateNextLine makes the server send only the first half of the next line.
func (d *Discovery) TruncateNextLine() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateNext = true
}

// takeTruncation reports whether to truncate the present line, and resets the flag.
func (d *Discovery) takeTruncation() (truncate bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	truncate, d.truncateNext = d.truncateNext, false
	return truncate
}

// WatchCount returns how many watches have been opened so far.
func (d *Discovery) WatchCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchCount
}

func (d *Discovery) isWatched() bool { return d.WatchCount() > 0 }

// SendLine sends a line unchanged to the open watch.
func (d *Discovery) SendLine(line string) { d.lines <- line }

// EncodeList encodes endpoints as the next version of the list: a complete one, or an update.
func (d *Discovery) EncodeList(full bool, endpoints ...map[string]any) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	text, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": full, "endpoints": endpoints})
	return text
}

func listEntries(status string, workers []*Worker) (out []map[string]any) {
	for _, w := range workers {
		out = append(out, w.ListEntry(status))
	}
	return out
}

// Worker is a fake table worker. Handle answers the request of a job; NewWorker replaces nil by CompleteJob.
type Worker struct {
	Name   string
	Handle func(w *Worker, id string, rw http.ResponseWriter, r *http.Request)
	// ShouldDrop, if set, selects the requests whose connection is closed without an answer.
	ShouldDrop func(r *http.Request) bool

	server      *httptest.Server
	mu          sync.Mutex
	callbackURL string
	jobs        []Job
	deleted     []string
	connCount   int
}

// Job is a job's request as the worker received it.
type Job struct{ ID, Target, Body, TimeLeft string }

// NewWorker starts a table worker. It stops when the test ends.
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

// CompleteJob accepts a job with 202 and sends a callback at once, with a result that names the worker and the job.
func CompleteJob(w *Worker, id string, rw http.ResponseWriter, _ *http.Request) {
	rw.WriteHeader(202)
	go w.SendCallback(id, "done", map[string]any{"result": w.Name + " did " + id})
}

// SendCallback sends a callback about a job with additional fields, and returns the HTTP status of the reply.
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

// SendCallbacksTo sets the node that receives the worker's callbacks; Start does so for the workers that it is given.
func (w *Worker) SendCallbacksTo(n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbackURL = n.URL(platform.PathEvents)
}

// Jobs returns the jobs' requests received so far.
func (w *Worker) Jobs() []Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Job(nil), w.jobs...)
}

// WasDeleted reports whether a DELETE has cancelled the job.
func (w *Worker) WasDeleted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(strings.Join(w.deleted, " "), id)
}

// ConnCount returns how many connections have been opened to the worker so far.
func (w *Worker) ConnCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connCount
}

// Address returns the host and port that the worker listens on.
func (w *Worker) Address() string { return w.server.Listener.Addr().String() }

// ListEntry returns the worker's entry of the worker list.
func (w *Worker) ListEntry(status string) map[string]any {
	return ListEntry(w.Name, w.Address(), status)
}

// ListEntry returns the worker list's entry for a worker at an address.
func ListEntry(name, address, status string) map[string]any {
	return map[string]any{"name": name, "address": address, "zone": "suva", "type": "gen1", "group": 0,
		"status": status, "weight": 1.0, "since_ms": 0}
}

// RawConn is a TCP connection for input that no client library would send.
type RawConn struct {
	net.Conn
	T      *testing.T
	Reader *bufio.Reader
}

// Dial opens a raw connection. It is closed when the test ends.
func Dial(t *testing.T, address string) *RawConn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	c.SetDeadline(time.Now().Add(WaitTimeout))
	t.Cleanup(func() { c.Close() })
	return &RawConn{c, t, bufio.NewReader(c)}
}

// Send writes text unchanged and moves the connection's deadline to WaitTimeout from now, so that a reply has the full
// time even on a connection that was idle before.
func (r *RawConn) Send(text string) {
	r.SetDeadline(time.Now().Add(WaitTimeout))
	_, err := io.WriteString(r.Conn, text)
	require.NoError(r.T, err)
}

// Stop closes the worker's listener and all its connections, as the death of its process would.
func (w *Worker) Stop() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// ClearLog drops the log lines stored so far.
func (n *Node) ClearLog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logLines = nil
}
