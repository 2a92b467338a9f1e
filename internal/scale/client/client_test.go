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

// served is a stand-in for a scheduler's front of either protocol.
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

func TestAnswersAreCountedByWhatTheySay(t *testing.T) {
	var seen sync.Map
	var number atomic.Int64
	address := startServer(t, func(rw http.ResponseWriter, r *http.Request) {
		if _, twice := seen.LoadOrStore(r.Header.Get("X-Correlation-Id"), true); twice {
			t.Error("an id came twice")
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

// Streams of one connection carry more than one request at a time, and no more connections are opened than were asked for.
func TestHTTP2KeepsToItsConnections(t *testing.T) {
	const jobs, connections = 40, 2
	var open sync.WaitGroup
	open.Add(jobs)
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Error(r.Proto)
		}
		open.Done()
		open.Wait() // until all of them are here
	})
	counter := &traffic.Counter{}
	c := NewHTTP2(counter, []netip.AddrPort{address}, connections)
	defer c.Close()
	r := c.Run(context.Background(), Load{Class: process.LongClass, Jobs: jobs})
	require.Equal(t, jobs, r.Served, r.FirstError)
	require.Equal(t, uint64(connections), counter.Totals()[traffic.Client].Connections)
}
