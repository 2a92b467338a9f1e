package client

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale/process"
	"cobaltflow/internal/scale/traffic"
)

// startServer starts a fake scheduler that serves HTTP/1.1 and HTTP/2 with a handler.
func startServer(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func TestAnswersAreCountedByStatus(t *testing.T) {
	var seen sync.Map
	var number atomic.Int64
	address := startServer(t, func(rw http.ResponseWriter, r *http.Request) {
		if _, twice := seen.LoadOrStore(r.Header.Get("X-Correlation-Id"), true); twice {
			t.Error("an ID was received twice")
		}
		rw.WriteHeader([]int{200, 429, 503, 500}[number.Add(1)%4])
	})
	c := New(&traffic.Counter{}, []netip.AddrPort{address})
	defer c.Close()
	r := c.Run(context.Background(), Load{Class: process.ShortClass, Jobs: 40, Tenants: 3})
	require.Equal(t, []int{40, 10, 20, 10}, []int{r.Sent, r.Served, r.Refused, r.Failed})
	require.Equal(t, int64(10), r.Latency.TotalCount())
	require.NotEmpty(t, r.FirstError)
}

// A connection multiplexes several requests, and no more connections are opened than configured.
func TestHTTP2UsesTheGivenNumberOfConnections(t *testing.T) {
	const jobs, connections = 40, 2
	var arrivals sync.WaitGroup
	arrivals.Add(jobs)
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Error(r.Proto)
		}
		arrivals.Done()
		arrivals.Wait() // until all requests have arrived
	})
	counter := &traffic.Counter{}
	c := NewHTTP2(counter, []netip.AddrPort{address}, connections)
	defer c.Close()
	r := c.Run(context.Background(), Load{Class: process.LongClass, Jobs: jobs})
	require.Equal(t, jobs, r.Served, r.FirstError)
	require.Equal(t, uint64(connections), counter.Totals()[traffic.Client].Connections)
}
