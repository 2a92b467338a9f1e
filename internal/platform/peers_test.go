package platform_test

import (
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// A scheduler broadcasts its jobs to its peers, and jobs reported by a peer count in the choice of a worker. Messages
// from unknown addresses and messages that are too long are ignored.
func TestPeersExchangeJobReports(t *testing.T) {
	socket := func() *net.UDPConn {
		s, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { s.Close() })
		return s
	}
	peer, unknown := socket(), socket()
	at := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, func(c *config.Config) {
		c.Settings.GroupSize, c.Settings.MayBroadcast = 2, true
		c.Peers = config.Peers{Listen: "127.0.0.1:0", Group: at,
			ByRank: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), at}}
	}, a, b)
	require.Equal(t, 200, n.SendRequest("move", "k", "first", 5000, "").Status)
	home, other := a, b
	if len(b.Jobs()) == 1 {
		home, other = b, a
	}
	// The first message that is more than a heartbeat reports the job.
	report, buf := []byte(nil), make([]byte, 300)
	for report == nil {
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(standin.WaitTimeout)))
		size, err := peer.Read(buf)
		require.NoError(t, err)
		if buf[0]>>5 == 1 {
			report = append(report, buf[:size]...)
		}
	}
	send := func(from *net.UDPConn, message []byte) {
		_, err := from.WriteToUDPAddrPort(message, n.Front.PeerAddress())
		require.NoError(t, err)
	}
	var manyJobs []byte
	for range 30 {
		manyJobs = append(manyJobs, report[:4]...)
	}
	send(unknown, manyJobs)
	send(peer, make([]byte, 300))
	require.Equal(t, 200, n.SendRequest("move", "k", "second", 5000, "").Status)
	assert.Len(t, home.Jobs(), 2, "reports from unknown addresses are ignored")
	send(peer, manyJobs)
	n.Eventually(func() bool { // the datagram may arrive at any time
		require.Equal(t, 200, n.SendRequest("move", "k", "id-"+strconv.Itoa(len(home.Jobs())+len(other.Jobs())), 5000, "").Status)
		return len(other.Jobs()) > 0 // the key's worker counts as full of the peer's jobs
	})
}
