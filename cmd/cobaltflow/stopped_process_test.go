package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The time in which a request lies unread in the kernel, because its process gets no processor time, is not left to its client.
// Guards against attempts that state time which their client no longer has, and against answers that come late by as much.
func TestTimeLeftCountsWhileTheProcessIsStopped(t *testing.T) {
	const (
		stoppedFor = time.Second
		timeLeft   = 5 * time.Second
		slack      = 150 * time.Millisecond // by which the stated time may exceed the client's
	)
	for name, isKept := range map[string]bool{"kept connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			h := newUpgradeHarness(t, "s-1")
			only := h.start()
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: !isKept}, Timeout: testTimeout}
			send := func(id string) (status int) {
				q, _ := http.NewRequest("POST", "http://"+h.listen+"/move/k", nil)
				q.Header.Set("X-Correlation-Id", id)
				q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
				r, err := client.Do(q)
				if err != nil {
					return 0
				}
				r.Body.Close()
				return r.StatusCode
			}
			require.Equal(t, 200, send("id-1"))
			require.NoError(t, only.cmd.Process.Signal(syscall.SIGSTOP))
			eventually(t, only.isStopped)
			status := make(chan int, 1)
			go func() { status <- send("id-2") }()
			time.Sleep(stoppedFor)
			require.NoError(t, only.cmd.Process.Signal(syscall.SIGCONT))
			require.Equal(t, 200, <-status)
			jobs := h.workers[0].Jobs()
			require.Len(t, jobs, 2)
			stated, err := strconv.Atoi(jobs[1].TimeLeft)
			require.NoError(t, err)
			assert.LessOrEqual(t, stated, int((timeLeft - stoppedFor + slack).Milliseconds()), "time left in ms that the attempt states")
		})
	}
}

// isStopped reports whether all threads of the process are stopped (proc(5)), which a signal brings about a moment later.
func (i *instance) isStopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", i.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		_, afterName, found := strings.Cut(string(text), ") ")
		if err != nil || !found || !strings.HasPrefix(afterName, "T") {
			return false
		}
	}
	return true
}
