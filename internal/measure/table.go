package measure

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cobaltflow/internal/platform"
)

// TableWorker is a fake table worker with a number of slots, an unbounded queue, and callbacks at each job's start and
// end.
type TableWorker struct {
	server          *http.Server
	ln              net.Listener
	name            string
	callbackAddress atomic.Value // string: host and port that get the callbacks
	slots           chan struct{}
	meanRunTime     time.Duration
	onStart         func(id string)
	client          *http.Client
}

// NewTableWorker starts a worker on a port that the kernel picks on the loopback address. A job runs for 0.5 to 1.5 times
// meanRunTime. onStart, which may be nil, is called with the ID of each job that starts.
func NewTableWorker(name string, slots int, meanRunTime time.Duration, onStart func(id string)) (*TableWorker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &TableWorker{ln: ln, name: name, slots: make(chan struct{}, slots), meanRunTime: meanRunTime, onStart: onStart,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.callbackAddress.Store("")
	t.server = &http.Server{Handler: t}
	go t.server.Serve(ln)
	return t, nil
}

// Address returns the host and port that the worker listens on.
func (t *TableWorker) Address() string { return t.ln.Addr().String() }

// SendCallbacksTo sets the host and port that get the callbacks. It has to be called before the first job arrives.
func (t *TableWorker) SendCallbacksTo(address string) { t.callbackAddress.Store(address) }

// Close closes the worker's listener and its connections.
func (t *TableWorker) Close() { t.server.Close() }

// ServeHTTP accepts a job with 202 and runs it once a slot is free. Other methods than POST get an empty 200.
func (t *TableWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != "POST" {
		return
	}
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get(platform.HeaderID)
	w.WriteHeader(202)
	go func() {
		t.slots <- struct{}{}
		if t.onStart != nil {
			t.onStart(id)
		}
		t.sendCallback(id, "started", "")
		time.Sleep(time.Duration(float64(t.meanRunTime) * (0.5 + rand.Float64())))
		<-t.slots
		t.sendCallback(id, "done", "result of "+id)
	}()
}

// sendCallback sends a callback about a job. A failure is ignored.
func (t *TableWorker) sendCallback(id, state, result string) {
	text, _ := json.Marshal(map[string]string{"id": id, "from": t.name, "state": state, "result": result})
	r, err := t.client.Post("http://"+t.callbackAddress.Load().(string)+platform.PathEvents, "application/json", strings.NewReader(string(text)))
	if err == nil {
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
	}
}
