package measure

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Askers of one connection share it from the first request on, all of them at once.
func TestHTTP2AskersShareTheirConnection(t *testing.T) {
	const conns, streams = 3, 20
	var opened atomic.Int64
	var together sync.WaitGroup
	together.Add(conns * streams)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, 2, r.ProtoMajor)
		together.Done()
		together.Wait() // no answer before all requests are open
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()

	askers, closeAll := http2Requesters(server.Listener.Addr().String(), jobPath, conns, streams)
	defer closeAll()
	var asked sync.WaitGroup
	for _, ask := range askers {
		asked.Go(func() {
			status, err := ask()
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	}
	asked.Wait()
	assert.EqualValues(t, conns, opened.Load())
}
