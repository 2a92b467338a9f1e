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

// Jobs are told to the other schedulers, and what these tell of theirs moves the next job; what comes from nobody
// known, or is too long, does not.
func TestSchedulersTellOneAnother(t *testing.T) {
	socket := func() *net.UDPConn {
		s, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { s.Close() })
		return s
	}
	peer, stranger := socket(), socket()
	at := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	a, b := standin.NewWorker(t, "s-1", nil), standin.NewWorker(t, "s-2", nil)
	n := standin.Start(t, func(c *config.Config) {
		c.Settings.GroupSize, c.Settings.MayBroadcast = 2, true
		c.Peers = config.Peers{Listen: "127.0.0.1:0", All: at,
			Each: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), at}}
	}, a, b)
	require.Equal(t, 200, n.Ask("move", "k", "first", 5000, "").Status)
	home, other := a, b
	if len(b.Jobs()) == 1 {
		home, other = b, a
	}
	// The first message that is not just a sign of life tells of the job.
	told, buf := []byte(nil), make([]byte, 300)
	for told == nil {
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(standin.Patience)))
		size, err := peer.Read(buf)
		require.NoError(t, err)
		if buf[0]>>5 == 1 {
			told = append(told, buf[:size]...)
		}
	}
	say := func(from *net.UDPConn, message []byte) {
		_, err := from.WriteToUDPAddrPort(message, n.Front.PeerAddress())
		require.NoError(t, err)
	}
	var jam []byte
	for range 30 {
		jam = append(jam, told[:4]...)
	}
	say(stranger, jam)
	say(peer, make([]byte, 300))
	require.Equal(t, 200, n.Ask("move", "k", "second", 5000, "").Status)
	assert.Len(t, home.Jobs(), 2, "a stranger's word moves nothing")
	say(peer, jam)
	n.Eventually(func() bool { // a datagram arrives when it does
		require.Equal(t, 200, n.Ask("move", "k", "id-"+strconv.Itoa(len(home.Jobs())+len(other.Jobs())), 5000, "").Status)
		return len(other.Jobs()) > 0 // since the key's worker is full of the peer's jobs
	})
}
