package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A callback takes effect that reached a stopped process only in the kernel: the connection was made, the callback sent and
// the connection's end too before the process accepts it. Excludes a stop of the process with the job as the cause of a lost
// callback, as long as its listener is open and one connection has reached it.
func TestCallbackOfAStoppedProcessTakesEffect(t *testing.T) {
	h := newUpgradeHarness(t, "s-1")
	h.callbackAttempts = -1 // the test sends the callback
	old := h.start()
	status := make(chan int, 1)
	go func() {
		q, _ := http.NewRequest("POST", "http://"+h.listen+"/move/k", nil)
		q.Header.Set("X-Correlation-Id", "id-1")
		q.Header.Set("X-Time-Left-Ms", "10000")
		if r, err := http.DefaultClient.Do(q); err == nil {
			r.Body.Close()
			status <- r.StatusCode
		}
	}()
	eventually(t, func() bool { return h.workers[0].jobsAfter(time.Time{}) == 1 })
	fresh := h.start()
	eventually(t, func() bool { return fresh.logged("alive=1") })
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	isRefused := false
	for tries := 0; tries < 20 && !isRefused; tries++ { // until the kernel gives one to the new process
		isRefused = postCallbackOnce(h.listen, "id-1") == http.StatusServiceUnavailable
	}
	require.True(t, isRefused, "the new process forwards the callback and gets no response in time")
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	select {
	case got := <-status:
		assert.Equal(t, http.StatusOK, got)
	case <-time.After(testTimeout):
		t.Fatal("no answer")
	}
}

// postCallbackOnce reports a job of worker s-1 as done and returns the status of the response, or 0 if there is none in time.
func postCallbackOnce(address, id string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 800 * time.Millisecond}
	r, err := client.Post("http://"+address+"/v1/job-events", "application/json", strings.NewReader(`{"id":"`+id+`","from":"s-1","state":"done","result":"ok"}`))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}
