package platform_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// newFieldRecorder returns a worker that records the header fields of its last job, and a function that returns them.
func newFieldRecorder(t *testing.T) (w *standin.Worker, lastFields func() http.Header) {
	var mu sync.Mutex
	var last http.Header
	w = standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		last = r.Header.Clone()
		mu.Unlock()
		standin.CompleteJob(w, id, rw, r)
	})
	return w, func() http.Header {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
}

// Header fields of the client reach the worker, which recognizes the retry of a by_key request by one of them. Hop-by-hop
// fields are not forwarded.
func TestEndToEndFieldsReachWorker(t *testing.T) {
	w, lastFields := newFieldRecorder(t)
	n := standin.Start(t, nil, w)
	c := standin.Dial(t, n.Front.Address())
	c.Send("POST /move/k HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 5000\r\n" +
		"X-Service-Class: move\r\nidempotency-key: 00f9-a\r\nX-Account: somebody\r\nX-Two: a\r\nX-Two: b\r\n" +
		"Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\nContent-Length: 1\r\n\r\nx")
	r, err := http.ReadResponse(c.Reader, nil)
	require.NoError(t, err)
	io.Copy(io.Discard, r.Body)
	require.Equal(t, 200, r.StatusCode)
	h := lastFields()
	assert.Equal(t, []string{"00f9-a"}, h["Idempotency-Key"])
	assert.Equal(t, []string{"somebody"}, h["X-Account"])
	assert.Equal(t, []string{"a", "b"}, h["X-Two"])
	for _, name := range []string{"Connection", "X-Hop", "Te"} {
		assert.Empty(t, h[name], name)
	}
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms", "Content-Length"} {
		assert.Len(t, h[name], 1, name)
	}
}

// Fields of an HTTP/2 client, whose names are in lower case, reach the worker in the same way.
func TestHTTP2FieldsReachWorker(t *testing.T) {
	w, lastFields := newFieldRecorder(t)
	n := standin.Start(t, func(c *config.Config) { c.HTTP2.Listen = "127.0.0.1:0" }, w)
	client := &http.Client{Transport: &http.Transport{Protocols: new(http.Protocols)}}
	client.Transport.(*http.Transport).Protocols.SetUnencryptedHTTP2(true)
	request, _ := http.NewRequest("POST", "http://"+n.HTTP2.Address()+"/settle/k", bytes.NewReader([]byte("x")))
	for name, value := range map[string]string{"X-Correlation-Id": "id-2", "X-Time-Left-Ms": "5000", "Idempotency-Key": "00f9-b", "TE": "trailers"} {
		request.Header.Set(name, value)
	}
	r, err := client.Do(request)
	require.NoError(t, err)
	r.Body.Close()
	require.Equal(t, 200, r.StatusCode)
	assert.Equal(t, "00f9-b", strings.Join(lastFields()["Idempotency-Key"], ","))
	assert.Empty(t, lastFields()["Te"])
}
