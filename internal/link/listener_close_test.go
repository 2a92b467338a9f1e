package link

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a listener that closes its descriptor's number twice: the second close may hit a connection that has been
// given the number meanwhile. Nothing can be made to happen between the two, so the test opens descriptors all the time.
func TestListenerCloseKeepsOtherDescriptors(t *testing.T) {
	var opened, closedByOthers atomic.Int64
	stop := make(chan struct{})
	var openers sync.WaitGroup
	for range 2 {
		openers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
				if !assert.NoError(t, err) {
					return
				}
				opened.Add(1)
				if unix.Close(fd) != nil {
					closedByOthers.Add(1)
				}
			}
		})
	}
	listeners := 0
	for start := time.Now(); time.Since(start) < 500*time.Millisecond; listeners++ {
		l, err := Listen("127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
	}
	close(stop)
	openers.Wait()
	t.Logf("%d listeners closed, %d descriptors opened meanwhile", listeners, opened.Load())
	assert.Zero(t, closedByOthers.Load(), "descriptors closed by a listener that did not own them")
}
