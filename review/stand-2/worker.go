package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// job is an attempt that a table worker has taken.
type job struct {
	id, class, key string
	attempt        int // attempts of this request at all workers so far, from 1
	runFor         time.Duration
	result         string
	started, ended bool
	fails          bool // it ends in failed in place of done
}

// fleet is what the workers share: the record and how often each request has come.
type fleet struct {
	record    *record
	scheduler string // where callbacks go
	mu        sync.Mutex
	attempts  map[string]int
	log       []event
}

// event is a step of an attempt, for the judge.
type event struct {
	at      time.Time
	worker  string
	id      string
	class   string
	attempt int
	what    string // arrived, refused, error, taken, started, done, failed, given-up
}

func newFleet(r *record, scheduler string) *fleet {
	return &fleet{record: r, scheduler: scheduler, attempts: map[string]int{}}
}

func (f *fleet) note(w *worker, j *job, what string) {
	f.mu.Lock()
	f.log = append(f.log, event{time.Now(), w.name, j.id, j.class, j.attempt, what})
	f.mu.Unlock()
	f.record.line("worker %s: %s %s attempt %d: %s", w.name, j.class, j.id, j.attempt, what)
}

func (f *fleet) events() []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]event(nil), f.log...)
}

// worker is a table worker: slots, a queue in order, callbacks. Its hooks are set before it serves.
type worker struct {
	name     string
	fleet    *fleet
	listener net.Listener
	slots    int
	maxQueue int

	// runTime returns how long a job runs and its result.
	runTime func(j *job) (time.Duration, string)
	// onJob may answer a job's request itself: it returns true if it did.
	onJob func(c net.Conn, j *job) bool
	// callbackAddress returns where a callback goes; nil: the scheduler.
	callbackAddress func(j *job, state string) string
	// answerDelay is the time from a request's last byte to its answer.
	answerDelay func() time.Duration

	mu      sync.Mutex
	queue   []*job
	running map[string]*job
	hung    bool
	wake    chan struct{} // closed when hung ends
}

func startWorker(name string, f *fleet) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, fleet: f, listener: l, slots: 4, maxQueue: 40, running: map[string]*job{}, wake: make(chan struct{})}
	w.runTime = func(*job) (time.Duration, string) { return 500 * time.Millisecond, "ok" }
	return w, nil
}

func (w *worker) serve() {
	go func() {
		for {
			c, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.serveConn(c)
		}
	}()
}

func (w *worker) endpoint(zone string) endpoint {
	return endpoint{Name: w.name, Address: w.listener.Addr().String(), Zone: zone, Type: "gen3", Status: "up", Weight: 1}
}

// hang makes the worker stand still, or go on.
func (w *worker) hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung && !on {
		close(w.wake)
		w.wake = make(chan struct{})
	}
	w.hung = on
}

// awaitLife waits while the worker stands still.
func (w *worker) awaitLife() {
	for {
		w.mu.Lock()
		hung, wake := w.hung, w.wake
		w.mu.Unlock()
		if !hung {
			return
		}
		<-wake
	}
}

func writeAnswer(c net.Conn, status int, headers, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), headers, body)
	return err
}

// serveConn serves the requests of one connection, one after the other.
func (w *worker) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		w.awaitLife()
		switch {
		case req.Method == "GET" && (req.URL.Path == "/-/load" || req.URL.Path == "/-/healthy"):
			err = writeAnswer(c, 200, "", w.load())
		case req.Method == "DELETE" && strings.HasPrefix(req.URL.Path, "/jobs/"):
			w.giveUp(strings.TrimPrefix(req.URL.Path, "/jobs/"))
			err = writeAnswer(c, 200, "", "")
		case req.Method == "POST":
			err = w.takeJob(c, req)
		default:
			err = writeAnswer(c, 404, "", "")
		}
		if err != nil {
			return
		}
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text, _ := json.Marshal(map[string]int{"queue": len(w.queue), "inflight": len(w.queue) + len(w.running), "x0": max(0, w.slots-len(w.running)), "latency_ms": 500})
	return string(text)
}

// newJob returns the job of a request, counted as its next attempt.
func (w *worker) newJob(req *http.Request) *job {
	parts := strings.Split(strings.TrimPrefix(req.URL.Path, "/"), "/")
	j := &job{id: req.Header.Get("X-Correlation-Id"), class: parts[0], key: parts[len(parts)-1]}
	w.fleet.mu.Lock()
	w.fleet.attempts[j.id]++
	j.attempt = w.fleet.attempts[j.id]
	w.fleet.mu.Unlock()
	return j
}

func (w *worker) takeJob(c net.Conn, req *http.Request) error {
	j := w.newJob(req)
	w.fleet.note(w, j, "arrived")
	if w.answerDelay != nil {
		time.Sleep(w.answerDelay())
		w.awaitLife()
	}
	if w.onJob != nil && w.onJob(c, j) {
		return nil
	}
	if !w.accept(j) {
		w.fleet.note(w, j, "refused")
		return writeAnswer(c, 503, "X-Unprocessed: 1\r\n", "")
	}
	return writeAnswer(c, 202, "", "")
}

// accept queues a job, if there is room, and starts what fits.
func (w *worker) accept(j *job) bool {
	w.mu.Lock()
	if len(w.queue) >= w.maxQueue {
		w.mu.Unlock()
		return false
	}
	j.runFor, j.result = w.runTime(j)
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	w.fleet.note(w, j, "taken")
	w.startWaiting()
	return true
}

func (w *worker) startWaiting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) > 0 && len(w.running) < w.slots {
		j := w.queue[0]
		w.queue = w.queue[1:]
		j.started = true
		w.running[fmt.Sprintf("%s/%d", j.id, j.attempt)] = j
		go w.run(j)
	}
}

func (w *worker) run(j *job) {
	w.awaitLife()
	w.fleet.note(w, j, "started")
	w.callback(j, map[string]any{"id": j.id, "from": w.name, "state": "started"})
	time.Sleep(j.runFor)
	w.awaitLife()
	w.mu.Lock()
	delete(w.running, fmt.Sprintf("%s/%d", j.id, j.attempt))
	j.ended = true
	w.mu.Unlock()
	w.startWaiting()
	if j.fails {
		w.fleet.note(w, j, "failed")
		w.callback(j, map[string]any{"id": j.id, "from": w.name, "state": "failed"})
		return
	}
	w.fleet.note(w, j, "done")
	w.callback(j, map[string]any{"id": j.id, "from": w.name, "state": "done", "result": j.result})
}

// giveUp drops a job that waits; one that runs goes on.
func (w *worker) giveUp(id string) {
	w.mu.Lock()
	var dropped []*job
	for i := 0; i < len(w.queue); i++ {
		if w.queue[i].id == id {
			dropped = append(dropped, w.queue[i])
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			i--
		}
	}
	for _, j := range w.running {
		if j.id == id {
			dropped = append(dropped, j)
		}
	}
	w.mu.Unlock()
	for _, j := range dropped {
		w.fleet.note(w, j, "given-up")
	}
}

// callback tells the scheduler what becomes of a job. It tries until it is answered, ten times at most.
func (w *worker) callback(j *job, body map[string]any) {
	text, _ := json.Marshal(body)
	state := body["state"].(string)
	go func() {
		for try := range 10 {
			address := w.fleet.scheduler
			if w.callbackAddress != nil {
				if a := w.callbackAddress(j, state); a != "" {
					address = a
				}
			}
			err := postCallback(address, text)
			if err == nil {
				return
			}
			w.fleet.record.line("worker %s: call %q for %s attempt %d, try %d: %v", w.name, state, j.id, j.attempt, try+1, err)
			time.Sleep(100 * time.Millisecond)
			w.awaitLife()
		}
	}()
}

var callbackClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 8, DisableCompression: true}}

func postCallback(address string, text []byte) error {
	req, err := http.NewRequest("POST", "http://"+address+"/v1/job-events", bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.GetBody = nil // net/http does not send it again by itself
	resp, err := callbackClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != 200 && resp.StatusCode != 204 {
		return errors.New(resp.Status)
	}
	return nil
}
