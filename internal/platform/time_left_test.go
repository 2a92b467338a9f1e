package platform_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// Times of the tests below, in which a request waits in the scheduler for longer than the slack that a worker's time left
// may exceed the client's by.
const (
	heldTime        = time.Second
	timeLeftSlackMS = 500
	timeLeftMS      = 5000
)

// holdLoopFor makes the node's loop stand still for heldTime from now on.
func holdLoopFor(n *standin.Node) {
	isHeld := make(chan struct{})
	n.Loop.Post(func() {
		close(isHeld)
		time.Sleep(heldTime)
	})
	<-isHeld
}

// sendWithTimeLeft sends a job with the time left in milliseconds, and returns the response's status.
func sendWithTimeLeft(client *http.Client, url string, timeLeft int) int {
	request, _ := http.NewRequest("POST", url, nil)
	request.Header.Set(platform.HeaderID, "id-1")
	request.Header.Set(platform.HeaderTimeLeft, strconv.Itoa(timeLeft))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// requireTimeLeftWithout requires that the worker's only job states a time left that does not contain the time spent.
func requireTimeLeftWithout(t *testing.T, w *standin.Worker, spent time.Duration) {
	t.Helper()
	require.Len(t, w.Jobs(), 1)
	stated, err := strconv.Atoi(w.Jobs()[0].TimeLeft)
	require.NoError(t, err)
	assert.LessOrEqual(t, stated, timeLeftMS-int(spent.Milliseconds())+timeLeftSlackMS, "time left in ms that the attempt states")
}

// A request's time left counts from when it was read, not from the turn of the loop that handles it. Guards against attempts
// that state time which their client no longer has, and against answers that come late by as much: on a busy machine a
// request may wait for the loop for half a second.
func TestTimeLeftCountsFromTheRead(t *testing.T) {
	t.Parallel()
	for name, front := range map[string]func(n *standin.Node) (*http.Client, string){
		"HTTP/1.1": func(n *standin.Node) (*http.Client, string) { return &http.Client{}, n.URL("/move/k") },
		"HTTP/2": func(n *standin.Node) (*http.Client, string) {
			return newHTTP2Client(t, nil), "http://" + n.HTTP2.Address() + "/move/k"
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := standin.NewWorker(t, "s-1", nil)
			n := startHTTP2(t, nil, w)
			client, url := front(n)
			holdLoopFor(n)
			require.Equal(t, 200, sendWithTimeLeft(client, url, timeLeftMS))
			requireTimeLeftWithout(t, w, heldTime)
		})
	}
}

// Guards against attempts that state time which their client no longer has, since the request waits in the kernel behind frames that
// the loop has to handle, and frames that come after it hide its age.
func TestTimeLeftCountsFromTheArrivalBehindOtherFrames(t *testing.T) {
	t.Parallel()
	w := standin.NewWorker(t, "s-1", nil)
	n := startHTTP2(t, nil, w)
	isHeld, release := make(chan struct{}), make(chan struct{})
	n.Loop.Post(func() { close(isHeld); <-release })
	<-isHeld
	c := standin.Dial(t, n.HTTP2.Address())
	c.Send(http2.ClientPreface)
	framer := http2.NewFramer(c, c.Reader)
	require.NoError(t, framer.WriteSettings())
	blockUntil(t, func() bool { return n.Gateway.Poller().Unhandled() == 2 }) // the connection, and its SETTINGS
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHTTP2Request("id-1"), EndStream: true, EndHeaders: true}))
	time.Sleep(heldTime)
	require.NoError(t, framer.WritePing(false, [8]byte{}))
	blockUntil(t, func() bool { return hasArrived(t, c) })
	close(release)
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	sent, err := strconv.Atoi(longTimeLeft)
	require.NoError(t, err)
	stated, err := strconv.Atoi(w.Jobs()[0].TimeLeft)
	require.NoError(t, err)
	assert.LessOrEqual(t, stated, sent-int(heldTime.Milliseconds())+timeLeftSlackMS)
}

// A request whose time is over when the loop handles it is refused and reaches no worker.
func TestRequestThatWaitedPastItsDeadlineIsRefused(t *testing.T) {
	t.Parallel()
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	holdLoopFor(n)
	assert.Equal(t, 503, sendWithTimeLeft(&http.Client{}, n.URL("/move/k"), int(heldTime.Milliseconds()/2)))
	assert.Empty(t, w.Jobs())
}

// The time left that an attempt states does not contain the time that connecting to the worker took.
func TestTimeLeftIsStatedWithoutTheDial(t *testing.T) {
	t.Parallel()
	w := standin.NewWorker(t, "s-1", nil)
	n := standin.Start(t, nil, w)
	connected, release := holdDials(n)
	status := make(chan int, 1)
	go func() { status <- sendWithTimeLeft(&http.Client{}, n.URL("/move/k"), timeLeftMS) }()
	receive(t, connected)
	time.Sleep(heldTime)
	release <- struct{}{}
	require.Equal(t, 200, receive(t, status))
	requireTimeLeftWithout(t, w, heldTime)
}
