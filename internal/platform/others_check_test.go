package platform_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/standin"
)

// scanResult is what a scan for other processes returns.
type scanResult struct {
	isAlone bool
	err     error
}

// scriptScans makes each scan for other processes, which a process starts, wait for its result from the test. started gets the
// number of a scan as it begins, counted from 1.
func scriptScans(n *standin.Node) (started chan int, results chan scanResult) {
	started, results = make(chan int, 16), make(chan scanResult, 16)
	ended := make(chan struct{})
	n.T.Cleanup(func() { close(ended) })
	scans := 0 // one scan runs at a time
	n.RunOnLoop(func() {
		n.Front.SetIsAlone(func() (bool, error) {
			scans++
			started <- scans
			select {
			case r := <-results:
				return r.isAlone, r.err
			case <-ended:
				return false, nil
			}
		})
	})
	return started, results
}

// A process that is alone refuses a callback of an unknown ID without forwarding it: after a mass kill there are many, and
// each would take 20 connections to the process itself. A scan that fails or does not end does not refuse.
func TestUnknownCallbackIsForwardedUnlessAScanFindsNoOtherProcess(t *testing.T) {
	for name, test := range map[string]struct {
		result *scanResult // nil: the scan does not end
		status int
	}{
		"alone":      {&scanResult{isAlone: true}, 503},
		"not alone":  {&scanResult{}, 204},
		"fails":      {&scanResult{err: errors.New("input/output error")}, 204},
		"is unclear": {&scanResult{isAlone: true, err: errors.New("input/output error")}, 204},
		"hangs":      {nil, 204},
	} {
		t.Run(name, func(t *testing.T) {
			n, got := startWithJob(t, "id-1", nil)
			beside := startBeside(t, func(int) string { return n.Front.Address() })
			_, results := scriptScans(beside.Node)
			if test.result != nil {
				results <- *test.result
			}
			assert.Equal(t, test.status, sendCallbackTo(beside.listensAt, "id-1"))
			if test.status == 204 {
				assert.Equal(t, done, receive(t, got))
			} else {
				assert.Zero(t, beside.forwarded.Load(), "connections on which the callback was forwarded")
			}
		})
	}
}

// A scan decides only on callbacks that had arrived when it began: the process that has the job of a later one may have been
// started since. Later callbacks share the next scan.
func TestScanDecidesOnlyOnEarlierCallbacks(t *testing.T) {
	n, got := startWithJob(t, "id-1", nil)
	beside := startBeside(t, func(int) string { return n.Front.Address() })
	started, results := scriptScans(beside.Node)
	send := func(id string) chan int {
		status := make(chan int, 1)
		go func() { status <- sendCallbackTo(beside.listensAt, id) }()
		return status
	}
	early := send("id-1")
	require.Equal(t, 1, receive(t, started))
	late := []chan int{send("id-1"), send("other"), send("id-1")}
	eventuallyOnLoop(beside.Node, func() bool { return beside.Front.AwaitingScan() == 1+len(late) })
	results <- scanResult{isAlone: true}
	assert.Equal(t, 503, receive(t, early))
	require.Equal(t, 2, receive(t, started))
	results <- scanResult{isAlone: false}
	assert.Equal(t, []int{204, 503, 204}, []int{receive(t, late[0]), receive(t, late[1]), receive(t, late[2])})
	assert.Empty(t, started, "one scan for all that arrived during the first")
	assert.Equal(t, done, receive(t, got))
}

// A callback that waits for a scan leaves when its connection ends, so that the connections bound the number that waits while
// the directory hangs.
func TestCallbackOfAnEndedConnectionAwaitsNoScan(t *testing.T) {
	n := standin.Start(t, nil)
	n.RunOnLoop(func() { n.Front.SetOthersCheckTimeout(time.Hour) })
	started, _ := scriptScans(n)
	const body = `{"id":"id-1","from":"s-1","state":"done"}`
	for range 2 {
		c := standin.Dial(t, n.Front.Address())
		c.Send(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		eventuallyOnLoop(n, func() bool { return n.Front.AwaitingScan() == 1 })
		c.Close()
		eventuallyOnLoop(n, func() bool { return n.Front.AwaitingScan() == 0 })
	}
	assert.Equal(t, 1, receive(t, started))
	assert.Empty(t, started, "at most one scan runs")
}
