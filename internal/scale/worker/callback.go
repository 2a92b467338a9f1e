package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/scale/traffic"
)

const (
	callbackTimeout     = 5 * time.Second
	maxCallbackAttempts = 10
	callbackRetryDelay  = 100 * time.Millisecond
	maxCallbackConns    = 64 // to one scheduler
	stateStarted        = "started"
	stateDone           = "done"
	jobIDParts          = 2 // scheduler and serial number
	jobIDSeparator      = "-"
)

// JobID returns the ID of a job that is sent to a scheduler. The workers take from it which scheduler to call back.
func JobID(scheduler int, serial uint64) string {
	return strconv.Itoa(scheduler) + jobIDSeparator + strconv.FormatUint(serial, 36)
}

// schedulerOf returns the number of the scheduler that a job was sent to.
func schedulerOf(id string) (int, error) {
	parts := strings.SplitN(id, jobIDSeparator, jobIDParts)
	return strconv.Atoi(parts[0])
}

// callbacks sends callbacks to schedulers. Connections to each scheduler are kept and limited in number; a callback
// waits for a free one.
type callbacks struct {
	schedulers []netip.AddrPort
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
}

func newCallbacks(counter *traffic.Counter, schedulers []netip.AddrPort) *callbacks {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{}
	transport := &http.Transport{MaxConnsPerHost: maxCallbackConns, MaxIdleConnsPerHost: maxCallbackConns, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counter.WrapConn(nc, traffic.Callback), nil
		}}
	return &callbacks{schedulers: schedulers, client: &http.Client{Transport: transport, Timeout: callbackTimeout}, ctx: ctx, cancel: cancel}
}

func (c *callbacks) close() {
	c.cancel()
	c.client.CloseIdleConnections()
}

// event is the body of a callback about a job.
type event struct {
	ID     string `json:"id"`
	From   string `json:"from"`
	State  string `json:"state"`
	Result string `json:"result,omitempty"`
}

// send posts an event to the job's scheduler until it is accepted, at most maxCallbackAttempts times.
func (c *callbacks) send(id, from, state, result string) {
	scheduler, err := schedulerOf(id)
	if err != nil || scheduler < 0 || scheduler >= len(c.schedulers) {
		return // not an ID from JobID
	}
	text, err := json.Marshal(event{ID: id, From: from, State: state, Result: result})
	if err != nil {
		return
	}
	url := fmt.Sprintf("http://%s%s", c.schedulers[scheduler], platform.PathEvents)
	for range maxCallbackAttempts {
		if c.post(url, text) {
			return
		}
		select {
		case <-time.After(callbackRetryDelay):
		case <-c.ctx.Done():
			return
		}
	}
}

// post sends a callback and reports whether it was accepted with a status of 2xx.
func (c *callbacks) post(url string, text []byte) bool {
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}
