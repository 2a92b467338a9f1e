package http2_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// answerWithin is the time within which a client that stops in the middle of a request is owed an error or a close.
const answerWithin = 3 * time.Second

// Guards against clients that stop in the middle of a request and stay: they got neither an error nor a close, and held every
// connection that the front may have, so that all others were turned away.
func TestHalfRequestsEndInTimeAndGiveWay(t *testing.T) {
	stops := map[string]func(r *rawConn){
		"before the body": func(r *rawConn) { r.sendRequest("move", "half-1", 2000, false) },
		"within the body": func(r *rawConn) { r.WriteData(r.sendRequest("move", "half-2", 2000, false), false, []byte("part")) },
		"within the headers": func(r *rawConn) {
			r.WriteHeaders(xhttp2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
		},
		"within a frame": func(r *rawConn) { r.nc.Write([]byte{0, 0, 10, 0, 0}) },
	}
	n := start(t, func(c *config.Config) { c.HTTP2.MaxConnections = len(stops) }, standin.NewWorker(t, "s-1", nil))
	began := time.Now()
	clients := map[string]*rawConn{}
	for name, stop := range stops {
		clients[name] = dial(n)
		stop(clients[name])
	}
	for name, r := range clients {
		r.nc.SetReadDeadline(began.Add(answerWithin))
		for {
			f, err := r.ReadFrame()
			if err != nil {
				assert.ErrorIs(t, err, io.EOF, "stopped %s: neither an error nor a close", name)
				break
			}
			if _, isAnswer := f.(*xhttp2.HeadersFrame); isAnswer || isGoAway(f) {
				break
			}
		}
	}
	n.Eventually(func() bool {
		status, _, err := send(newClient(n), newRequest(context.Background(), n, "move", fmt.Sprint("other-", time.Now().UnixNano()), 3000, ""))
		return err == nil && status == 200
	})
}

// Guards against an operators' drain that does not reach clients of HTTP/2: readiness said yes, and they stayed.
func TestDrainReachesHTTP2Clients(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil))
	readiness := func() int {
		r, err := newClient(n).Get("http://" + n.HTTP2.Address() + "/-/ready")
		require.NoError(t, err)
		r.Body.Close()
		return r.StatusCode
	}
	require.Equal(t, http.StatusOK, readiness())
	r := dial(n)
	n.RunOnLoop(n.Front.Drain)
	assert.Equal(t, http.StatusServiceUnavailable, readiness())
	r.readUntil(t, isGoAway)
	require.Eventually(t, func() bool { _, err := r.ReadFrame(); return err != nil }, answerWithin, time.Millisecond, "an unused connection is closed")
	n.RunOnLoop(n.Front.Resume)
	assert.Equal(t, http.StatusOK, readiness())
}
