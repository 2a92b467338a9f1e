package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/standin"
)

// A client that has sent half a request shortly before the last answers does not hold up the end of the process. Guards
// against a kill with answers still to be sent.
func TestShutdownEndsInTimeBesideHalfARequest(t *testing.T) {
	t.Parallel()
	n := standin.Start(t, nil, standin.NewWorker(t, "s-1", nil))
	c, err := net.Dial("tcp", n.Front.Address())
	require.NoError(t, err)
	defer c.Close()
	since := time.Now().Add(-2900 * time.Millisecond)
	n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-2900*core.Millisecond, n.Loop.Stop) })
	_, err = fmt.Fprint(c, "POST /move/k HTTP/1.1\r\nHost: x\r\n")
	require.NoError(t, err)
	<-n.Ended
	assert.Less(t, time.Since(since), 3700*time.Millisecond)
}

// A worker that does not answer the cancellation of a job that the shutdown has answered does not hold up the end of the
// process. Guards against a kill with answers still to be sent.
func TestShutdownEndsInTimeBesideASilentWorker(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	w := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(202)
	})
	t.Cleanup(func() { close(end) }) // before the worker's end, which waits for its handlers
	w.ShouldDrop = func(r *http.Request) bool {
		if r.Method == "DELETE" {
			<-end
		}
		return false
	}
	n := standin.Start(t, nil, w)
	go sendWithTimeLeft(&http.Client{}, n.URL("/move/k"), 5000)
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	time.Sleep(100 * time.Millisecond)
	since := time.Now().Add(-2900 * time.Millisecond)
	n.Eventually(func() (isIdle bool) {
		n.RunOnLoop(func() { isIdle = n.Front.IdleConns() == 1 })
		return isIdle
	})
	n.RunOnLoop(func() { n.Front.StopSince(n.Loop.Now()-2900*core.Millisecond, n.Loop.Stop) })
	<-n.Ended
	assert.Less(t, time.Since(since), 3700*time.Millisecond)
}

// An HTTP/2 client that does not read its answer does not hold up the end of the process. Guards against a kill with answers
// of other clients still to be sent.
func TestShutdownEndsInTimeBesideAStalledHTTP2Client(t *testing.T) {
	t.Parallel()
	const deadline, killDelay = time.Second, 700 * time.Millisecond
	w := standin.NewWorker(t, "s-1", nil)
	n := startHTTP2(t, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = core.Time(deadline.Microseconds())
		}
	}, w)
	c := standin.Dial(t, n.HTTP2.Address())
	c.Send(http2.ClientPreface)
	framer := http2.NewFramer(c, c.Reader)
	require.NoError(t, framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}))
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHTTP2Request("id-1"), EndStream: true, EndHeaders: true}))
	n.Eventually(func() bool { return len(w.Jobs()) == 1 && openRequests(n) == 0 })
	since := time.Now()
	n.Gateway.Stop()
	<-n.Ended
	assert.Less(t, time.Since(since), deadline+killDelay)
}
