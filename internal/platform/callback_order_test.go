package platform_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/platform"
	"cobaltflow/internal/standin"
)

// Tests that a callback reaches the process that has its job in every order of events. Which process gets a connection, and
// what happens meanwhile, is fixed by the test.

// workerTries is how often a worker sends a callback that is not accepted.
const workerTries = 10

// processBeside is a process of a scheduler that does not have the job. What it sends to the scheduler's shared address, to
// forward a callback, reaches a listener of the test, which relays each connection to the process that the test chooses; with
// a really shared address the kernel would choose.
type processBeside struct {
	*standin.Node
	listensAt string       // the address at which the test reaches this process alone
	forwarded atomic.Int32 // connections on which it has forwarded callbacks
}

// startBeside starts such a process. route returns, for each connection to the shared address counted from 1, the address to
// relay it to; an empty one closes it. The processes of these tests have no state directory in common, so the process gets the
// answer that a scan of it would give: there is another process.
func startBeside(t *testing.T, route func(connection int) string) *processBeside {
	shared, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { shared.Close() })
	beside := &processBeside{Node: standin.Start(t, nil)}
	beside.listensAt = beside.Front.Address()
	beside.RunOnLoop(func() {
		beside.Front.SetSharedAddress(shared.Addr())
		beside.Front.SetIsAlone(func() (bool, error) { return false, nil })
	})
	go func() {
		for {
			c, err := shared.Accept()
			if err != nil {
				return
			}
			go relayConn(c, route(int(beside.forwarded.Add(1))))
		}
	}()
	return beside
}

// relayConn copies both directions of a connection to an address.
func relayConn(c net.Conn, address string) {
	defer c.Close()
	if address == "" {
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		io.Copy(to, c)
		to.(*net.TCPConn).CloseWrite()
	}()
	io.Copy(c, to)
}

// knowsOthers sets the number of processes that the process counts to two.
func (p *processBeside) knowsOthers() { p.RunOnLoop(func() { p.Front.DivideLimits(2) }) }

// awaitTriesOrHeld waits until a worker has made its last try, whose responses it returns, or until the process holds the
// given number of callbacks without a response.
func (p *processBeside) awaitTriesOrHeld(statuses chan []int, callbacks int) (tries []int, ended bool) {
	p.Eventually(func() bool {
		select {
		case tries = <-statuses:
			ended = true
		default:
		}
		return ended || p.holds(callbacks)
	})
	return tries, ended
}

// holds reports whether the process has handled that many callbacks, none of which it has answered or refused.
func (p *processBeside) holds(callbacks int) bool {
	var refusedBefore, refusedAfter uint64
	var before, after int
	p.RunOnLoop(func() { refusedBefore = p.Front.RefusedCallbacks(); _, _, before = p.Front.ClientCounts() })
	p.RunOnLoop(func() { refusedAfter = p.Front.RefusedCallbacks(); _, _, after = p.Front.ClientCounts() })
	return before == callbacks && after == callbacks && refusedBefore == refusedAfter
}

// holdLoop makes a process stand still until resume is called, which happens at the end of the test at the latest.
func holdLoop(n *standin.Node) (resume func()) {
	held := make(chan struct{})
	resume = sync.OnceFunc(func() { close(held) })
	n.T.Cleanup(resume)
	n.Loop.Post(func() { <-held })
	return resume
}

// sendCallbackTo reports a job of worker s-1 as done at an address, on a connection of its own, and returns the status of the
// response; 0 means that there was none.
func sendCallbackTo(address, id string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: standin.WaitTimeout}
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"ok"}`, id)
	r, err := client.Post("http://"+address+platform.PathEvents, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// sendCallbackAsWorker repeats a callback as a worker does: until it is accepted, workerTries times at most. It returns the
// statuses of the responses.
func sendCallbackAsWorker(address, id string) (statuses []int) {
	for range workerTries {
		statuses = append(statuses, sendCallbackTo(address, id))
		if statuses[len(statuses)-1] == http.StatusNoContent {
			break
		}
	}
	return statuses
}

// startWithJob starts a process with one job that its worker has accepted, and returns the channel of the client's answer.
func startWithJob(t *testing.T, id string, change func(*config.Config)) (*standin.Node, chan standin.Answer) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, change, w)
	got := submit(n, "move", id)
	n.Eventually(func() bool { return len(w.Jobs()) == 1 })
	return n, got
}

var done = standin.Answer{Status: 200, Body: "ok"}

// A callback is not refused by a process only because that process does not know yet that there are others: it is forwarded
// until the process with the job accepts it. Guards against a lost callback: in the first milliseconds of an upgrade each
// process counts itself alone, refused callbacks of the other's jobs without forwarding them, and a worker made all of its
// ten tries in that time.
func TestCallbackIsForwardedBeforeOtherProcessesAreKnown(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("others known: %v", known), func(t *testing.T) {
			n, got := startWithJob(t, "id-1", nil)
			beside := startBeside(t, func(int) string { return n.Front.Address() })
			if known {
				beside.knowsOthers()
			}
			assert.Equal(t, []int{204}, sendCallbackAsWorker(beside.listensAt, "id-1"), "responses to the worker's tries")
			require.NotZero(t, beside.forwarded.Load(), "the callback was not offered to any other process")
			assert.Equal(t, done, receive(t, got))
		})
	}
}

// The callback of an open job is not lost while many others are being forwarded. Guards against a lost callback: the process
// with the jobs does not respond for a moment, maxForwarding callbacks wait for it, and the next one's ten tries were all
// refused at once, within milliseconds.
func TestCallbackIsNotRefusedWhileManyAreForwarded(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	beside := startBeside(t, func(int) string { return n.Front.Address() })
	beside.knowsOthers()
	resume := holdLoop(n)
	var others sync.WaitGroup
	for i := range platform.MaxForwarding {
		others.Go(func() { sendCallbackTo(beside.listensAt, fmt.Sprint("other-", i)) })
	}
	eventuallyOnLoop(beside.Node, func() bool { return beside.Front.Forwarding() == platform.MaxForwarding })
	statuses := make(chan []int, 1)
	go func() { statuses <- sendCallbackAsWorker(beside.listensAt, "id-1") }()
	tries, ended := beside.awaitTriesOrHeld(statuses, platform.MaxForwarding+1)
	resume()
	if !ended {
		tries = receive(t, statuses)
	}
	others.Wait()
	require.Equal(t, 204, tries[len(tries)-1], "responses to the worker's tries: %v", tries)
	assert.Equal(t, done, receive(t, got))
}

// A callback is accepted at the worker's first try although the first connections on which it is forwarded end at a process
// without the job, or are closed. Excludes these orders as causes of a lost callback.
func TestForwardedCallbackIsTriedOn(t *testing.T) {
	const inVain = 19
	third := standin.Start(t, nil)
	third.RunOnLoop(func() { third.Front.DivideLimits(3) })
	for name, address := range map[string]string{"a third process": third.Front.Address(), "closed connections": ""} {
		t.Run(name, func(t *testing.T) {
			n, got := startWithJob(t, "id-1", nil)
			beside := startBeside(t, func(connection int) string {
				if connection <= inVain {
					return address
				}
				return n.Front.Address()
			})
			beside.knowsOthers()
			assert.Equal(t, []int{204}, sendCallbackAsWorker(beside.listensAt, "id-1"))
			assert.Equal(t, done, receive(t, got))
		})
	}
}

// A callback is accepted at a later try of the worker if all connections on which a process forwards it reach that process
// itself. The test fixes what has a probability of 1 in 2^20 for each try with two processes; ten such tries on end lose the
// callback.
func TestCallbackOutlastsConnectionsToTheOwnProcess(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	var own atomic.Value
	beside := startBeside(t, func(connection int) string {
		if connection <= 20 {
			return own.Load().(string)
		}
		return n.Front.Address()
	})
	own.Store(beside.listensAt)
	beside.knowsOthers()
	tries := sendCallbackAsWorker(beside.listensAt, "id-1")
	assert.Equal(t, 204, tries[len(tries)-1], "responses to the worker's tries: %v", tries)
	assert.Equal(t, done, receive(t, got))
}

// A callback that was forwarded to a process that stands still takes effect when that process goes on, although its worker
// was refused meanwhile and does not try again. Excludes a stop of any length as a cause, as long as one connection of the
// callback has reached the process.
func TestCallbackTakesEffectAfterItsProcessStoodStill(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	beside := startBeside(t, func(int) string { return n.Front.Address() })
	beside.knowsOthers()
	resume := holdLoop(n)
	assert.Equal(t, 503, sendCallbackTo(beside.listensAt, "id-1"), "no response within the time to forward")
	resume()
	assert.Equal(t, done, receive(t, got))
}

// A callback takes effect although the process that forwards it ends before it has a response. Excludes this order as a cause
// of a lost callback, as long as one connection has reached the process with the job; the worker's try ends unanswered.
func TestCallbackTakesEffectAfterItsForwarderEnded(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	beside := startBeside(t, func(int) string { return n.Front.Address() })
	beside.knowsOthers()
	resume := holdLoop(n)
	status := make(chan int, 1)
	go func() { status <- sendCallbackTo(beside.listensAt, "id-1") }()
	n.Eventually(func() bool { return n.Front.AcceptedConns() == 2 }) // the client's connection and a forwarded one
	beside.RunOnLoop(func() {
		beside.Front.StopSince(beside.Loop.Now()-beside.Front.AnswerTimeout(), beside.Loop.Stop)
	})
	receive(t, beside.Ended)
	assert.Zero(t, receive(t, status), "the try ends without a response")
	resume()
	assert.Equal(t, done, receive(t, got))
}

// While a successor serves, the listener closes at the end of a shutdown whatever is pending, but not before the open jobs are
// answered: no job is open whose callback could not arrive. Excludes this order as a cause of a lost callback.
func TestHandOverClosesListenerAfterOpenJobsAreAnswered(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	open := make(chan int, 1)
	n.RunOnLoop(func() {
		n.Front.SetBeforeListenerClose(func() { open <- n.Core.OpenRequests() })
		n.Front.HandOver()
		n.Front.StopSince(n.Loop.Now()-n.Front.AnswerTimeout()+100*core.Millisecond, func() {})
	})
	assert.Zero(t, receive(t, open), "open requests as the listener closes")
	assert.Equal(t, 500, receive(t, got).Status, "answered by the shutdown")
}

// The callbacks of a job reach its process as long as the job is open. Guards against a lost callback: the poller accepted a
// client's connection between the shutdown's check that nothing is pending and the close of the listener; its job was
// admitted and ran, and its callbacks found no listener.
func TestListenerStaysOpenForTheLastJobsCallback(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, nil, w)
	address := n.Front.Address()
	answered := make(chan int, 1)
	n.RunOnLoop(func() {
		n.Front.SetBeforeListenerClose(sync.OnceFunc(func() {
			c := standin.Dial(t, address)
			c.Send(fmt.Sprintf(completeRequest, "id-1"))
			blockUntil(t, func() bool { return n.Front.AcceptedConns() == 1 })
			go func() {
				if r, err := http.ReadResponse(c.Reader, nil); err == nil {
					answered <- r.StatusCode
				}
			}()
		}))
		n.Front.StopSince(n.Loop.Now()-2*core.Second, n.Loop.Stop) // pollShutdown runs in this turn
	})
	n.Eventually(func() bool { return len(w.Jobs()) == 1 || len(answered) == 1 })
	if len(w.Jobs()) == 0 {
		assert.Equal(t, 503, <-answered, "a job that is not sent to a worker is refused")
		return
	}
	tries := sendCallbackAsWorker(address, "id-1")
	assert.Equal(t, 204, tries[len(tries)-1], "responses to the worker's tries: %v; 0: no connection", tries)
}

// An HTTP/2 stream whose job is admitted during a shutdown gets its worker's callback. Guards against a lost callback: with
// deadlines from about 0.4 to 2.2 s the final GOAWAY comes after the time from which the HTTP/1.1 listener closes as soon as
// nothing is pending, and the jobs of streams that come in between are sent to workers whose callbacks find no listener.
func TestListenerStaysOpenForTheLastStreamsCallback(t *testing.T) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := startHTTP2(t, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = core.Second
		}
	}, w)
	address := n.Front.Address()
	c := standin.Dial(t, n.HTTP2.Address())
	c.Send(http2.ClientPreface)
	framer := http2.NewFramer(c, c.Reader)
	require.NoError(t, framer.WriteSettings())
	request, listenerCloses := encodeHTTP2Request("id-1"), make(chan struct{})
	n.RunOnLoop(func() {
		n.Front.SetBeforeListenerClose(func() { // the loop reads the stream after the close
			assert.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: request, EndStream: true, EndHeaders: true}))
			close(listenerCloses)
		})
	})
	n.Gateway.Stop()
	receive(t, listenerCloses)
	refused := make(chan struct{})
	go func() {
		defer close(refused)
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if reset, ok := frame.(*http2.RSTStreamFrame); ok && reset.ErrCode == http2.ErrCodeRefusedStream {
				return
			}
		}
	}()
	n.Eventually(func() bool { return len(w.Jobs()) == 1 || isClosed(refused) })
	if len(w.Jobs()) == 0 {
		return // a stream that is refused may be sent elsewhere
	}
	tries := sendCallbackAsWorker(address, "id-1")
	assert.Equal(t, 204, tries[len(tries)-1], "responses to the worker's tries: %v; 0: no connection", tries)
}

// encodeHTTP2Request returns the header block of a request without a body.
func encodeHTTP2Request(id string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/move/k"}, {":authority", "x"},
		{"x-correlation-id", id}, {"x-time-left-ms", longTimeLeft}} {
		encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	return block.Bytes()
}

// isClosed reports whether a channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// startWithBusyClients starts a process whose connections are all in use by clients that wait for their jobs: as many as the
// budget for clients or, with upToAcceptLimit, as many as the poller accepts. The first job's ID is id-0, and its client's
// connection is returned.
func startWithBusyClients(t *testing.T, upToAcceptLimit bool) (*standin.Node, *standin.RawConn) {
	w := standin.NewWorker(t, "s-1", acceptOnly)
	n := standin.Start(t, func(c *config.Config) { c.Limits.Sockets = 64 }, w)
	clients := 0
	connect := func() *standin.RawConn {
		c := standin.Dial(t, n.Front.Address())
		c.Send(fmt.Sprintf(completeRequest, fmt.Sprint("id-", clients)))
		clients++
		return c
	}
	first := connect()
	eventuallyOnLoop(n, func() bool { return len(w.Jobs()) == 1 && n.Front.IdleConns() == 1 })
	n.RunOnLoop(func() { // the requests are complete when the loop registers their connections
		limit, acceptLimit := n.Front.ConnLimits()
		if upToAcceptLimit {
			limit = acceptLimit
		}
		for clients < limit {
			c := connect()
			blockUntil(t, func() bool { return n.Front.AcceptedConns() == clients && hasArrived(t, c) })
		}
	})
	eventuallyOnLoop(n, func() bool { return n.Core.OpenRequests() == clients })
	return n, first
}

// hasArrived reports whether all that a client has written is at the other end, where it is read or waits in the kernel.
func hasArrived(t *testing.T, c *standin.RawConn) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	unsent := 0
	require.NoError(t, raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }))
	require.NoError(t, err)
	return unsent == 0
}

// sendCallbackAfterConnecting sends a callback on a connection whose end, if the process closes it at once, or whose
// registration came before the first byte. It returns the status of the response; 0 means that there was none.
func sendCallbackAfterConnecting(n *standin.Node, id string) int {
	registered := 0
	n.RunOnLoop(func() { registered, _, _ = n.Front.ClientCounts() })
	n.ClearLog()
	c := standin.Dial(n.T, n.Front.Address())
	eventuallyOnLoop(n, func() bool {
		now, _, _ := n.Front.ClientCounts()
		return now > registered || n.HasLogged("reason=over-budget")
	})
	body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"ok"}`, id)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", platform.PathEvents, len(body), body)
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// A callback is accepted although clients use all connections: it is what ends their jobs. Guards against a lost callback: the
// process closed each connection that was made over its limits, unread, so that all ten tries of a worker ended unanswered
// within milliseconds.
func TestCallbackIsAcceptedWhileClientsUseAllConnections(t *testing.T) {
	for name, upToAcceptLimit := range map[string]bool{"budget": false, "accept limit": true} {
		t.Run(name, func(t *testing.T) {
			n, client := startWithBusyClients(t, upToAcceptLimit)
			var tries []int
			for len(tries) < workerTries && (len(tries) == 0 || tries[len(tries)-1] != 204) {
				tries = append(tries, sendCallbackAfterConnecting(n, "id-0"))
			}
			require.Equal(t, 204, tries[len(tries)-1], "responses to the worker's tries: %v; 0: closed", tries)
			assert.Equal(t, 200, readStatus(t, client))
		})
	}
}
