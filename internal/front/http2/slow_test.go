package http2_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
