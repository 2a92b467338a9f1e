package endpoints

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cobaltflow/internal/fleet/relay"
)

// gate is a worker's listener for the schedulers of one site.
type workerServer struct {
	worker    *Worker
	listener  *relay.Listener
	server    *http.Server
	mu        sync.Mutex
	openConns map[*relay.Conn]struct{}
}

type connKey struct{}

// connState is what a worker remembers of a connection.
type connState struct{ isUsed bool }

// workersAt is the address of all workers: apart from the one that outgoing connections leave from, so that none of
// their ports is taken while a worker is away.
var workerHost = netip.MustParseAddr("127.0.1.1")

func (w *Worker) listen(site int) (*workerServer, error) {
	if w.ports[site] == nil {
		held, err := reserve(workerHost)
		if err != nil {
			return nil, fmt.Errorf("table worker %s: %w", w.Name, err)
		}
		w.ports[site] = held
	}
	at := w.ports[site].address
	path := relay.Path{Kind: relay.Job, From: site, To: w.Site}
	ln, err := w.network.Listen(path, at)
	// A process that is being started holds all sockets of ours until it becomes the program: one just closed may still
	// listen there.
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < 200; tries++ {
		time.Sleep(5 * time.Millisecond)
		ln, err = w.network.Listen(path, at)
	}
	if err != nil {
		return nil, fmt.Errorf("table worker %s: %w", w.Name, err)
	}
	g := &workerServer{worker: w, listener: ln, openConns: map[*relay.Conn]struct{}{}}
	g.server = &http.Server{Handler: g, IdleTimeout: time.Duration(w.cfg.IdleS * float64(time.Second)), ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connState{})
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			conn := c.(*relay.Conn)
			g.mu.Lock()
			defer g.mu.Unlock()
			switch s {
			case http.StateNew:
				g.openConns[conn] = struct{}{}
				if int(w.conns.Add(1)) > w.cfg.Connections {
					go conn.Abort()
				}
			case http.StateClosed, http.StateHijacked:
				if _, open := g.openConns[conn]; open {
					delete(g.openConns, conn)
					w.conns.Add(-1)
				}
			}
		}}
	go g.server.Serve(ln)
	return g, nil
}

// close has the process's end be seen: refused from now on, and all connections reset.
func (g *workerServer) close() {
	g.listener.Close()
	g.mu.Lock()
	var open []*relay.Conn
	for c := range g.openConns {
		open = append(open, c)
	}
	g.mu.Unlock()
	for _, c := range open {
		c.Abort()
	}
	g.server.Close()
}

// ServeHTTP takes what schedulers send to a worker.
func (g *workerServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := g.worker
	switch {
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.cancelWaiting(strings.TrimPrefix(r.URL.Path, "/jobs/"))
		return
	case r.URL.Path == "/-/load" && w.cfg.Probes:
		w.ProbeCount.Add(1)
		w.mu.Lock()
		l := w.currentReport(time.Now())
		w.mu.Unlock()
		fmt.Fprintf(rw, "TEXT queue=%d, latency_ms=%.1f, inflight=%d, x0=%d", l.queue, l.latency, l.inFlight, l.free)
		return
	case r.URL.Path == "/-/healthy" && w.cfg.Probes:
		w.ProbeCount.Add(1)
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		rw.WriteHeader(404)
		return
	}
	io.Copy(io.Discard, r.Body)
	try, known := w.recorder.FindTry(id)
	if !known {
		rw.WriteHeader(400)
		return
	}
	opening := time.Duration(0)
	if state := r.Context().Value(connKey{}).(*connState); !state.isUsed {
		state.isUsed = true
		opening = time.Duration(w.cfg.ConnectMS * float64(time.Millisecond))
	}
	left, err := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 64)
	if err != nil {
		left = -1
	}
	switch w.accept(try, opening, left) {
	case accepted:
		rw.WriteHeader(202)
	case queueFull:
		rw.Header().Set("X-Unprocessed", "1")
		rw.WriteHeader(503)
	case failed:
		rw.WriteHeader(500)
	case collapsed:
		panic(http.ErrAbortHandler)
	}
}

// Backs are the ways from table workers back to the schedulers.
type Callbacks struct {
	clients        []*http.Client // by the worker's site and the scheduler's, in one list
	siteCount      int
	addresses      []string // by scheduler
	schedulerSites []int    // their sites
}

// NewBacks makes the ways to schedulers that listen at addresses, at sites.
func NewCallbacks(n *relay.Network, sites int, listens []string, at []int) *Callbacks {
	b := &Callbacks{siteCount: sites, addresses: listens, schedulerSites: at}
	for from := range sites {
		for to := range sites {
			path := relay.Path{Kind: relay.Callback, From: from, To: to}
			b.clients = append(b.clients, &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
				MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true,
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, path, address) }}})
		}
	}
	return b
}

const (
	maxCallbackTries   = 10
	callbackRetryDelay = 100 * time.Millisecond
)

// tell calls the scheduler that sent a job, until it answers, ten times at most. A worker that has gone says nothing.
func (b *Callbacks) send(w *Worker, j *job, state, result string) {
	fields := map[string]string{"id": j.attempt.ID, "from": w.Name, "state": state}
	if state == "done" {
		fields["result"] = result
	}
	text, _ := json.Marshal(fields)
	to := int(j.attempt.Scheduler)
	url, client := "http://"+b.addresses[to]+"/v1/job-events", b.clients[w.Site*b.siteCount+b.schedulerSites[to]]
	for range maxCallbackTries {
		w.mu.Lock()
		gone := w.generation != j.generation || w.isSilent || !w.isUp && state != "lost"
		w.mu.Unlock()
		if gone {
			return
		}
		r, err := client.Post(url, "application/json", bytes.NewReader(text))
		if err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				return
			}
		}
		time.Sleep(callbackRetryDelay)
	}
}
