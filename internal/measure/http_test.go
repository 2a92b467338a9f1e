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

// Concurrent requesters must share their connection from the first request on. A transport that opened a second connection
// for the first requests would measure more connections than the table says.
func TestHTTP2RequestersShareTheirConnection(t *testing.T) {
	const conns, streams = 3, 20
	var opened atomic.Int64
	var allOpen sync.WaitGroup
	allOpen.Add(conns * streams)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, 2, r.ProtoMajor)
		allOpen.Done()
		allOpen.Wait() // no answer before all requests are open
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

	requesters, closeAll := http2Requesters(server.Listener.Addr().String(), jobPath, conns, streams)
	defer closeAll()
	var answered sync.WaitGroup
	for _, request := range requesters {
		answered.Go(func() {
			status, err := request()
			assert.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	}
	answered.Wait()
	assert.EqualValues(t, conns, opened.Load())
}
