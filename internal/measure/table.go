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

// TableWorker is a stand-in for a table worker: so many slots, a queue before them, and callbacks at a job's
// start and end.
type TableWorker struct {
	server          *http.Server
	ln              net.Listener
	name            string
	callbackAddress atomic.Value // where to call back, a string
	slots           chan struct{}
	meanRunTime     time.Duration
	onStart         func(id string)
	client          *http.Client
}

// NewTableWorker starts one on a port from the kernel. A job takes half to one and a half times run; ran, which may
// be nil, is told of each that starts.
func NewTableWorker(name string, slots int, run time.Duration, ran func(id string)) (*TableWorker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &TableWorker{ln: ln, name: name, slots: make(chan struct{}, slots), meanRunTime: run, onStart: ran,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.callbackAddress.Store("")
	t.server = &http.Server{Handler: t}
	go t.server.Serve(ln)
	return t, nil
}

// Address is where it listens.
func (t *TableWorker) Address() string { return t.ln.Addr().String() }

// SendCallbacksTo sets the address that gets the callbacks of its jobs.
func (t *TableWorker) SendCallbacksTo(address string) { t.callbackAddress.Store(address) }

// Close ends it, with its connections.
func (t *TableWorker) Close() { t.server.Close() }

// ServeHTTP takes a job.
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

func (t *TableWorker) sendCallback(id, state, result string) {
	text, _ := json.Marshal(map[string]string{"id": id, "from": t.name, "state": state, "result": result})
	r, err := t.client.Post("http://"+t.callbackAddress.Load().(string)+platform.PathEvents, "application/json", strings.NewReader(string(text)))
	if err == nil {
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
	}
}
