package flood

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workerCount     = 6
	runTime         = 30 * time.Millisecond // of each job
	callbackTries   = 10
	callbackSenders = 4 // connections of each worker for callbacks
	callbackTimeout = time.Second
	settleTime      = 300 * time.Millisecond // for attempts that are on their way when the clients have ended
)

// workers are table workers that take every job and report its end after runTime.
type workers struct {
	departures *departures
	all        []*worker
}

// callback reports the start or the end of a job.
type callback struct{ id, state string }

type worker struct {
	name      string
	ln        net.Listener
	server    *http.Server
	callbacks chan callback
	owner     *workers

	mu      sync.Mutex
	address string // of the scheduler
	done    chan struct{}
}

func startWorkers() (*workers, error) {
	w := &workers{departures: newDepartures()}
	for i := range workerCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.close()
			return nil, err
		}
		one := &worker{name: fmt.Sprint("table-", i), ln: ln, owner: w, callbacks: make(chan callback, 1<<16), done: make(chan struct{})}
		one.server = &http.Server{Handler: one}
		go one.server.Serve(ln)
		for range callbackSenders {
			go one.sendCallbacks()
		}
		w.all = append(w.all, one)
	}
	return w, nil
}

// sendCallbacksTo sets the scheduler's address, before the first job comes.
func (w *workers) sendCallbacksTo(address string) {
	for _, one := range w.all {
		one.mu.Lock()
		one.address = address
		one.mu.Unlock()
	}
}

// settle waits until attempts that are under way have arrived.
func (w *workers) settle() { time.Sleep(settleTime) }

func (w *workers) close() {
	for _, one := range w.all {
		close(one.done)
		one.server.Close()
	}
}

// ServeHTTP implements http.Handler: it takes a job with 202.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method != "POST" {
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	w.owner.departures.attemptBegan(id, time.Now())
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it was given up before its last byte
	}
	w.owner.departures.attemptArrived(id)
	rw.WriteHeader(http.StatusAccepted)
	w.report(callback{id, "started"})
	time.AfterFunc(runTime, func() { w.report(callback{id, "done"}) })
}

// report hands a callback to a sender.
func (w *worker) report(c callback) {
	select {
	case w.callbacks <- c:
	case <-w.done:
	}
}

// sendCallbacks sends the ends of jobs on one connection until the worker is closed.
func (w *worker) sendCallbacks() {
	var conn net.Conn
	var answers *bufio.Reader
	for {
		select {
		case <-w.done:
			if conn != nil {
				conn.Close()
			}
			return
		case next := <-w.callbacks:
			for range callbackTries {
				if conn == nil {
					if conn, answers = w.dial(); conn == nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
				}
				if w.sendCallback(conn, answers, next) {
					break
				}
				conn.Close()
				conn = nil
			}
		}
	}
}

func (w *worker) dial() (net.Conn, *bufio.Reader) {
	w.mu.Lock()
	address := w.address
	w.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, callbackTimeout)
	if err != nil {
		return nil, nil
	}
	return conn, bufio.NewReader(conn)
}

// sendCallback reports whether the callback was taken and the connection may be used again.
func (w *worker) sendCallback(conn net.Conn, answers *bufio.Reader, c callback) bool {
	text, _ := json.Marshal(map[string]string{"id": c.id, "from": w.name, "state": c.state, "result": "result of " + c.id})
	conn.SetDeadline(time.Now().Add(callbackTimeout))
	_, err := fmt.Fprintf(conn, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	if err != nil {
		return false
	}
	r, err := http.ReadResponse(answers, nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK || r.StatusCode == http.StatusNoContent
}

// departures matches the attempts at the workers with the moments at which their clients left.
type departures struct {
	mu       sync.Mutex
	left     map[string]time.Time // by ID
	began    map[string][]time.Time
	arrived  map[string]int
	attempts int
}

func newDepartures() *departures {
	return &departures{left: map[string]time.Time{}, began: map[string][]time.Time{}, arrived: map[string]int{}}
}

// clientLeft records that the client of these requests has closed its connection.
func (d *departures) clientLeft(ids []string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.left[id] = at
	}
}

func (d *departures) attemptBegan(id string, at time.Time) {
	if strings.HasPrefix(id, soundPrefix) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts++
	d.began[id] = append(d.began[id], at)
}

func (d *departures) attemptArrived(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrived[id]++
}

// judge counts the attempts, those that began too long after their client had left, and the IDs that ran twice.
func (d *departures) judge() (attempts, late int, latest time.Duration, ranTwice []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, began := range d.began {
		left, hasLeft := d.left[id]
		for _, at := range began {
			if delay := at.Sub(left); hasLeft && delay > disconnectTolerance {
				late++
				latest = max(latest, delay)
			}
		}
	}
	for id, n := range d.arrived {
		if n > 1 {
			ranTwice = append(ranTwice, id)
		}
	}
	return d.attempts, late, latest, ranTwice
}
