package admin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/front/admin"
	"cobaltflow/internal/standin"
)

// start runs a node with an admin address; the directives are kept in tmp.
func start(t *testing.T, tmp string, workers ...*standin.Worker) *standin.Node {
	return startAt(t, tmp, "127.0.0.1:0", workers...)
}

func startAt(t *testing.T, tmp, listen string, workers ...*standin.Worker) *standin.Node {
	return standin.Start(t, func(c *config.Config) {
		c.Admin, c.Listen, c.StateDir = "127.0.0.1:0", listen, tmp
	}, workers...)
}

// sendRaw sends raw text to the admin address and returns status and body; the connection must be closed after it.
func sendRaw(t *testing.T, n *standin.Node, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", n.Gateway.Admin.Address())
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(standin.WaitTimeout))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err, "the answer must be complete and the connection closed after it")
	return r.StatusCode, string(body)
}

func send(t *testing.T, n *standin.Node, method, path string) (int, string) {
	return sendRaw(t, n, method+" "+path+" HTTP/1.1\r\nHost: ops\r\n\r\n")
}

func TestRequestsAndTheirFaults(t *testing.T) {
	n := start(t, t.TempDir(), standin.NewWorker(t, "s-1", nil))
	status, _ := send(t, n, "GET", "/-/ready")
	assert.Equal(t, 200, status)
	status, body := send(t, n, "GET", "/-/nothing")
	assert.Equal(t, 404, status)
	assert.Contains(t, body, "/-/nothing")
	status, body = send(t, n, "GET", "/-/drain")
	assert.Equal(t, 405, status)
	assert.Contains(t, body, "only POST")
	status, body = send(t, n, "POST", "/-/table-workers/s-9/disable")
	assert.Equal(t, 404, status)
	assert.Contains(t, body, "s-9")
	status, _ = send(t, n, "POST", "/-/table-workers/s-1/halt")
	assert.Equal(t, 404, status)
	status, _ = sendRaw(t, n, "GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n")
	assert.Equal(t, 400, status)
	status, _ = sendRaw(t, n, "GET /-/ready HTTP/1.1\r\nHost: ops\r\nX: "+strings.Repeat("y", 70<<10)+"\r\n\r\n")
	assert.GreaterOrEqual(t, status, 400)
	assert.Less(t, status, 500)
}

// A disabled worker gets no job, one enable undoes two disables, and the metrics show the state.
func TestDisabledWorkers(t *testing.T) {
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := start(t, t.TempDir(), a, b)
	for range 2 {
		status, _ := send(t, n, "POST", "/-/table-workers/s-1/disable")
		require.Equal(t, 200, status)
	}
	_, metrics := send(t, n, "GET", "/-/metrics")
	assert.Contains(t, metrics, "edge_relay.out_of_rotation:1|g\n")
	assert.Contains(t, metrics, "edge_relay.registry_entries:2|g\n")
	assert.Contains(t, metrics, "edge_relay.input_bytes:0|g\n")
	assert.Contains(t, metrics, "edge_relay.refused_for_memory:0|c\n")
	for _, name := range []string{"unhandled_messages", "heap_bytes", "runtime_bytes"} {
		assert.Contains(t, metrics, "edge_relay."+name+":")
	}
	for i := range 20 {
		id := fmt.Sprint("id-", i)
		require.Equal(t, 200, n.SendRequest("board-view", fmt.Sprint("k", i), id, 5000, "").Status)
	}
	assert.Empty(t, a.Jobs(), "the disabled worker got jobs")
	assert.Len(t, b.Jobs(), 20)
	status, _ := send(t, n, "POST", "/-/table-workers/s-1/enable")
	require.Equal(t, 200, status)
	_, metrics = send(t, n, "GET", "/-/metrics")
	assert.Contains(t, metrics, "edge_relay.out_of_rotation:0|g\n")
	assert.Contains(t, metrics, "edge_relay.fulfilled.board-view:20|c\n")
	assert.Contains(t, metrics, "edge_relay.relayed:20|c\n")
	assert.Contains(t, metrics, "edge_relay.open_requests:0|g\n")
}

// Disabled workers are persisted in TMPDIR: a new process with the same name and address keeps them disabled.
func TestWorkersStayDisabledAcrossARestart(t *testing.T) {
	tmp := t.TempDir()
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	ln.Close()
	first := startAt(t, tmp, address, a, b)
	status, _ := send(t, first, "POST", "/-/table-workers/s-2/disable")
	require.Equal(t, 200, status)
	first.Gateway.Stop()
	<-first.Ended
	second := startAt(t, tmp, address, a, b)
	_, metrics := send(t, second, "GET", "/-/metrics")
	assert.Contains(t, metrics, "edge_relay.out_of_rotation:1|g\n")
	for i := range 10 {
		require.Equal(t, 200, second.SendRequest("board-view", fmt.Sprint("k", i), fmt.Sprint("id-", i), 5000, "").Status)
	}
	assert.Empty(t, b.Jobs())
}

// After a drain the clients' address is not ready and an idle connection is closed; resume undoes it.
func TestDrainAndResume(t *testing.T) {
	n := start(t, t.TempDir(), standin.NewWorker(t, "s-1", nil))
	idle, err := net.Dial("tcp", n.Front.Address())
	require.NoError(t, err)
	defer idle.Close()
	_, err = io.WriteString(idle, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	r := bufio.NewReader(idle)
	first, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, 200, first.StatusCode)
	io.ReadAll(io.LimitReader(first.Body, 1<<10))

	status, _ := send(t, n, "POST", "/-/drain")
	require.Equal(t, 200, status)
	resp, err := http.Get(n.URL("/-/ready"))
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 503, resp.StatusCode)
	status, _ = send(t, n, "GET", "/-/ready")
	assert.Equal(t, 503, status)
	idle.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "an idle client's connection must be closed in a drain")

	status, _ = send(t, n, "POST", "/-/resume")
	require.Equal(t, 200, status)
	resp, err = http.Get(n.URL("/-/ready"))
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
}

// Connections that send nothing, or a partial request, block no one else: a complete request is answered at once, and the
// silent connections are closed at their timeout or over the budget.
func TestSilentConnectionsBlockNoRequest(t *testing.T) {
	n := start(t, t.TempDir(), standin.NewWorker(t, "s-1", nil))
	var silent []net.Conn
	for i := range admin.MaxConnections + 8 {
		c, err := net.Dial("tcp", n.Gateway.Admin.Address())
		require.NoError(t, err)
		if i%2 == 0 {
			io.WriteString(c, "GET /-/met")
		}
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	status, _ := send(t, n, "GET", "/-/ready")
	assert.Equal(t, 200, status)
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
		_, err := io.ReadAll(c)
		require.NoError(t, err, "the front must close a silent connection")
	}
	// A connection's log line may be written a moment after the client sees its end.
	for _, text := range []string{"party=operator", "reason=over-budget", "reason=slow-input"} {
		n.Eventually(func() bool { return n.HasLogged(text) })
	}
}

// Admin requests are answered although idle and partial connections exhaust the clients' share of a small descriptor
// budget: admin connections have a budget of their own.
func TestAdminRequestsAnsweredWhileClientBudgetIsExhausted(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	n := standin.Start(t, func(c *config.Config) {
		c.Admin = "127.0.0.1:0"
		c.Limits.Sockets = 128
	}, standin.NewWorker(t, "s-1", nil))
	var clientConns []net.Conn
	defer func() {
		for _, c := range clientConns {
			c.Close()
		}
	}()
	for i := range 300 {
		c, err := net.Dial("tcp", n.Front.Address())
		if err != nil {
			break // refused by the poller: the budget is exhausted
		}
		if i%3 == 0 {
			io.WriteString(c, "POST /move/k HTTP/1.1\r\nX-Corr")
		}
		clientConns = append(clientConns, c)
	}
	for range 5 {
		status, _ := send(t, n, "GET", "/-/ready")
		assert.Equal(t, 200, status)
	}
	_, metrics := send(t, n, "GET", "/-/metrics")
	assert.Contains(t, metrics, "edge_relay.open_requests:0|g\n")
}
