package http2_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/front/admission"
	"cobaltflow/internal/standin"
)

// Bodies as large as one may be are served on both HTTP fronts, as many at once on a connection as max_body_kb holds, in the
// smallest deployment and with half of its memory, as in an upgrade. One byte more is answered 413, and ends nothing else.
func TestLargestBodiesAreServed(t *testing.T) {
	const bodiesAtOnce = 16 // of max_body_kb
	w := standin.NewWorker(t, "s-1", nil)
	n := start(t, func(c *config.Config) { c.Limits.MemoryMB, c.Limits.Sockets = 32, 256 }, w)
	n.RunOnLoop(func() { n.Front.DivideLimits(2) })
	largest := strings.Repeat("x", admission.MaxBody)
	assert.Equal(t, 200, n.SendRequest("move", "k", "http1", 5000, largest).Status)
	assert.Equal(t, 413, n.SendRequest("move", "k", "http1-more", 5000, largest+"x").Status)

	c := newClient(n)
	var all sync.WaitGroup
	for i := range bodiesAtOnce {
		all.Go(func() {
			status, _, err := send(c, newRequest(context.Background(), n, "move", fmt.Sprint("http2-", i), 5000, largest))
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
		})
	}
	status, _, err := send(c, newRequest(context.Background(), n, "move", "http2-more", 5000, largest+"x"))
	assert.NoError(t, err)
	assert.Equal(t, 413, status)
	all.Wait()
	jobs := w.Jobs()
	require.Len(t, jobs, 1+bodiesAtOnce)
	for _, job := range jobs {
		assert.Len(t, job.Body, admission.MaxBody)
	}
}
