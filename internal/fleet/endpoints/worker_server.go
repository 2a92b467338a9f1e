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

// workerServer is a worker's HTTP server for the schedulers of one site.
type workerServer struct {
	worker    *Worker
	listener  *relay.Listener
	server    *http.Server
	mu        sync.Mutex
	openConns map[*relay.Conn]struct{}
}

type connKey struct{}

// connState is a worker's state of one connection.
type connState struct {
	conn   *relay.Conn
	isUsed bool
}

// workerHost is the address of all workers. It differs from the address of outgoing connections, so that none of those
// takes the port of a worker that is down.
var workerHost = netip.MustParseAddr("127.0.1.1")

// listen starts the server for the schedulers of a site, at the same port each time. The caller holds mu.
func (w *Worker) listen(site int) (*workerServer, error) {
	if w.ports[site] == nil {
		port, err := reserve(workerHost)
		if err != nil {
			return nil, fmt.Errorf("table worker %s: %w", w.Name, err)
		}
		w.ports[site] = port
	}
	address := w.ports[site].address
	path := relay.Path{Kind: relay.Job, From: site, To: w.Site}
	ln, err := w.network.Listen(path, address)
	// A process that is being started holds copies of all sockets of this one between fork and exec. A socket that was just
	// closed may therefore still listen at the port.
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < 200; tries++ {
		time.Sleep(5 * time.Millisecond)
		ln, err = w.network.Listen(path, address)
	}
	if err != nil {
		return nil, fmt.Errorf("table worker %s: %w", w.Name, err)
	}
	srv := &workerServer{worker: w, listener: ln, openConns: map[*relay.Conn]struct{}{}}
	srv.server = &http.Server{Handler: srv, IdleTimeout: time.Duration(w.cfg.IdleS * float64(time.Second)), ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connState{conn: c.(*relay.Conn)})
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			conn := c.(*relay.Conn)
			srv.mu.Lock()
			defer srv.mu.Unlock()
			switch state {
			case http.StateNew:
				srv.openConns[conn] = struct{}{}
				if int(w.conns.Add(1)) > w.cfg.Connections {
					go conn.Abort()
				}
			case http.StateClosed, http.StateHijacked:
				if _, open := srv.openConns[conn]; open {
					delete(srv.openConns, conn)
					w.conns.Add(-1)
				}
			}
		}}
	go srv.server.Serve(ln)
	return srv, nil
}

// close behaves as the end of the worker's process does: new connections are refused and open ones are reset.
func (srv *workerServer) close() {
	srv.listener.Close()
	srv.mu.Lock()
	var open []*relay.Conn
	for c := range srv.openConns {
		open = append(open, c)
	}
	srv.mu.Unlock()
	for _, c := range open {
		c.Abort()
	}
	srv.server.Close()
}

// ServeHTTP handles job requests, cancellations and probes of schedulers.
func (srv *workerServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := srv.worker
	switch {
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.cancelWaiting(strings.TrimPrefix(r.URL.Path, "/jobs/"))
		return
	case r.URL.Path == "/-/load" && w.cfg.Probes:
		w.ProbeCount.Add(1)
		w.mu.Lock()
		report := w.currentReport(time.Now())
		w.mu.Unlock()
		fmt.Fprintf(rw, "TEXT queue=%d, latency_ms=%.1f, inflight=%d, x0=%d", report.queue, report.latency, report.inFlight, report.free)
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
	try, isKnown := w.recorder.FindTry(id)
	if !isKnown {
		rw.WriteHeader(400)
		return
	}
	connectTime := time.Duration(0)
	state := r.Context().Value(connKey{}).(*connState)
	if !state.isUsed {
		state.isUsed = true
		connectTime = time.Duration(w.cfg.ConnectMS * float64(time.Millisecond))
	}
	timeLeftMS, err := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 64)
	if err != nil {
		timeLeftMS = -1
	}
	switch w.accept(try, connectTime, timeLeftMS, state.conn) {
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

// Callbacks sends the job events of table workers to the schedulers.
type Callbacks struct {
	clients        []*http.Client // index: worker's site * siteCount + scheduler's site
	siteCount      int
	addresses      []string // by scheduler index
	schedulerSites []int    // by scheduler index
}

// NewCallbacks returns the callbacks to schedulers that listen at addresses. schedulerSites are the schedulers' sites.
func NewCallbacks(n *relay.Network, siteCount int, addresses []string, schedulerSites []int) *Callbacks {
	c := &Callbacks{siteCount: siteCount, addresses: addresses, schedulerSites: schedulerSites}
	for from := range siteCount {
		for to := range siteCount {
			path := relay.Path{Kind: relay.Callback, From: from, To: to}
			c.clients = append(c.clients, &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
				MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true,
				DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, path, address) }}})
		}
	}
	return c
}

const (
	maxCallbackTries   = 10
	callbackRetryDelay = 100 * time.Millisecond
)

// send posts a job event to the scheduler that sent the job, until it answers 200 or 204, at most maxCallbackTries times. It
// stops when the worker is gone: silent, down or started again.
func (c *Callbacks) send(w *Worker, j *job, state, result string) {
	fields := map[string]string{"id": j.attempt.ID, "from": w.Name, "state": state}
	if state == "done" {
		fields["result"] = result
	}
	text, _ := json.Marshal(fields)
	scheduler := int(j.attempt.Scheduler)
	url, client := "http://"+c.addresses[scheduler]+"/v1/job-events", c.clients[w.Site*c.siteCount+c.schedulerSites[scheduler]]
	for range maxCallbackTries {
		w.mu.Lock()
		isGone := w.generation != j.generation || w.isSilent || !w.isUp && state != "lost"
		w.mu.Unlock()
		if isGone {
			return
		}
		resp, err := client.Post(url, "application/json", bytes.NewReader(text))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 || resp.StatusCode == 204 {
				return
			}
		}
		time.Sleep(callbackRetryDelay)
	}
}
