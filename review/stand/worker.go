package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is one attempt of a request that has arrived whole at a table worker.
type Attempt struct {
	ID, Class string
	Facts     string // X-Facts
	Worker    *Worker
	Number    int // at this worker, for this request, from 1
	Begun     time.Time
	Conn      *Conn

	mu      sync.Mutex
	givenUp bool
	ended   bool
}

// Conn is a connection from a scheduler.
type Conn struct {
	net.Conn
	write  sync.Mutex
	paused sync.Mutex // held while the worker stands still
}

// WriteText writes a message whole.
func (c *Conn) WriteText(text string) error {
	c.write.Lock()
	defer c.write.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

// Response returns a response with the status and fields, and a body with its length.
func Response(status int, body string, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// Worker is a table worker.
type Worker struct {
	Name, Address string
	// CallAddress is where its callbacks go: a scheduler's address, or a proxy before it.
	CallAddress string
	// Serve handles an attempt; it answers on a.Conn. It runs on the connection's goroutine.
	Serve func(a *Attempt)
	// Load answers GET /-/load; nil: it answers an idle worker's report.
	Load func(c *Conn)

	rec      *Record
	listener net.Listener
	mu       sync.Mutex
	attempts []*Attempt
	calls    *callConn
}

// StartWorker starts a table worker.
func StartWorker(rec *Record, w *Worker) error {
	ln, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	w.rec, w.listener, w.calls = rec, ln, &callConn{address: w.CallAddress}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serveConn(&Conn{Conn: nc})
		}
	}()
	return nil
}

// Close ends the worker's listener.
func (w *Worker) Close() { w.listener.Close() }

// Attempts returns the attempts so far.
func (w *Worker) Attempts() []*Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Attempt(nil), w.attempts...)
}

func (w *Worker) serveConn(c *Conn) {
	defer c.Close()
	in := bufio.NewReader(c.Conn)
	var last *Attempt
	defer func() {
		if last != nil && !last.accepted() {
			last.GiveUp("its connection ended before the 202")
		}
	}()
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		switch {
		case request.Method == "GET" && request.URL.Path == "/-/load" && w.Load != nil:
			w.Load(c)
		case request.Method == "GET" && (request.URL.Path == "/-/load" || request.URL.Path == "/-/healthy"):
			c.WriteText(Response(200, "TEXT queue=0, latency_ms=300, inflight=0, x0=4"))
		case request.Method == "DELETE" && strings.HasPrefix(request.URL.Path, "/jobs/"):
			w.giveUp(strings.TrimPrefix(request.URL.Path, "/jobs/"))
			c.WriteText(Response(204, ""))
		case request.Method == "POST" && request.Header.Get("X-Correlation-Id") != "":
			id := request.Header.Get("X-Correlation-Id")
			a := &Attempt{ID: id, Class: request.Header.Get("X-Service-Class"), Facts: request.Header.Get("X-Facts"), Worker: w, Number: 1, Begun: time.Now(), Conn: c}
			w.mu.Lock()
			for _, other := range w.attempts {
				if other.ID == id {
					a.Number++
				}
			}
			w.attempts = append(w.attempts, a)
			w.mu.Unlock()
			w.rec.Add("worker %s: attempt %d of %s (%s) has arrived whole on %s, time left %s ms", w.Name, a.Number, id, a.Class, c.RemoteAddr(),
				request.Header.Get("X-Time-Left-Ms"))
			last = a
			w.Serve(a)
		default:
			c.WriteText(Response(404, ""))
		}
	}
}

var acceptedState sync.Map // *Attempt to true once its 202 was written

func (a *Attempt) accepted() bool { _, ok := acceptedState.Load(a); return ok }

// Accept answers 202.
func (a *Attempt) Accept() {
	acceptedState.Store(a, true)
	a.Worker.rec.Add("worker %s: 202 for attempt %d of %s", a.Worker.Name, a.Number, a.ID)
	a.Conn.WriteText(Response(202, ""))
}

// Accepted notes that the 202 was written by other means.
func (a *Attempt) Accepted() { acceptedState.Store(a, true) }

// GiveUp notes that the scheduler has given the attempt up.
func (a *Attempt) GiveUp(how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.givenUp && !a.ended {
		a.givenUp = true
		a.Worker.rec.Add("worker %s: attempt %d of %s given up: %s", a.Worker.Name, a.Number, a.ID, how)
	}
}

// End notes that the attempt has ended: its outcome is told.
func (a *Attempt) End(how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.ended = true
		a.Worker.rec.Add("worker %s: attempt %d of %s has ended: %s", a.Worker.Name, a.Number, a.ID, how)
	}
}

// IsOut reports whether the attempt has neither ended nor been given up.
func (a *Attempt) IsOut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && !a.givenUp
}

func (w *Worker) giveUp(id string) {
	for _, a := range w.Attempts() {
		if a.ID == id {
			a.GiveUp("DELETE")
		}
	}
}

// Tell calls the scheduler with the state of an attempt, again until it is answered, ten times at most, as the protocol
// wants. It returns after the answer.
func (w *Worker) Tell(a *Attempt, state, result string) {
	event := map[string]any{"id": a.ID, "from": w.Name, "state": state}
	if state == "done" {
		event["result"] = result
	}
	text, _ := json.Marshal(event)
	for try := 1; try <= 10; try++ {
		w.rec.Add("worker %s: calls %q for attempt %d of %s, call %d", w.Name, state, a.Number, a.ID, try)
		status, err := w.calls.post(text)
		if err == nil && (status == 200 || status == 204) {
			w.rec.Add("worker %s: call %d %q for attempt %d of %s answered with %d", w.Name, try, state, a.Number, a.ID, status)
			return
		}
		w.rec.Add("worker %s: call %d %q for attempt %d of %s not answered: status %d, %v", w.Name, try, state, a.Number, a.ID, status, err)
		time.Sleep(100 * time.Millisecond)
	}
}

// callConn sends callbacks, each on a connection of its own.
type callConn struct{ address string }

func (c *callConn) post(text []byte) (status int, err error) {
	nc, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	var b bytes.Buffer
	b.WriteString("POST /v1/job-events HTTP/1.1\r\nHost: " + c.address + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(text)) + "\r\n\r\n")
	b.Write(text)
	if _, err := nc.Write(b.Bytes()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// TellAt is Tell to the scheduler that sent the attempt, where there are several. The attempt's Back tells which.
func (w *Worker) TellAt(addresses []string, a *Attempt, state, result string) {
	text, _ := json.Marshal(map[string]any{"id": a.ID, "from": w.Name, "state": state, "result": result})
	for _, address := range addresses {
		c := callConn{address: address}
		if status, err := c.post(text); err == nil && (status == 200 || status == 204) {
			w.rec.Add("worker %s: %q for %s answered by %s", w.Name, state, a.ID, address)
			return
		}
	}
}
