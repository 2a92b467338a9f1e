package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const timeout = 10 * time.Second

func noDelay() [2]time.Duration { return [2]time.Duration{} }

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// echo answers each byte on the connections of a listener.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go io.Copy(c, c)
	}
}

func roundTrip(c net.Conn, patience time.Duration) error {
	c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func dial(l net.Listener, wait time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", l.Addr().String(), wait)
}

// A vanished machine says nothing: new connections neither come up nor are refused, open ones stay open.
func TestSilentListener(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	l, err := n.Listen(Path{Job, 0, 1}, anyPort)
	require.NoError(t, err)
	defer l.Close()
	go echo(l)
	c, err := dial(l, timeout)
	require.NoError(t, err)
	require.NoError(t, roundTrip(c, timeout))

	l.SetSilent(true, false)
	var late net.Error
	_, err = dial(l, 100*time.Millisecond)
	require.ErrorAs(t, err, &late)
	require.True(t, late.Timeout(), "not refused, not up: %v", err)
	require.ErrorIs(t, roundTrip(c, 50*time.Millisecond), os.ErrDeadlineExceeded)

	l.SetSilent(false, false)
	again, err := dial(l, timeout)
	require.NoError(t, err)
	require.NoError(t, roundTrip(again, timeout))
}

// Where only the process hangs its kernel goes on taking connections.
func TestHungListener(t *testing.T) {
	n := New(1, noDelay(), noDelay(), 1)
	l, err := n.Listen(Path{Job, 0, 0}, anyPort)
	require.NoError(t, err)
	defer l.Close()
	go echo(l)
	l.SetSilent(true, true)
	c, err := dial(l, timeout)
	require.NoError(t, err)
	require.ErrorIs(t, roundTrip(c, 50*time.Millisecond), os.ErrDeadlineExceeded)
	l.SetSilent(false, false)
	c.SetDeadline(time.Now().Add(timeout))
	_, err = io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err, "what came meanwhile is read in the end")
}

// A cut in one direction holds what goes that way alone, and lets no connection come up.
func TestCutOneWay(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	l, err := n.Listen(Path{Job, 0, 1}, anyPort)
	require.NoError(t, err)
	defer l.Close()
	got := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		got <- c
	}()
	near, err := dial(l, timeout)
	require.NoError(t, err)
	far := <-got

	n.UpdateImpairments(nil, 0, 1, false, func(t *Impairment) { t.Cuts++ })
	_, err = dial(l, 100*time.Millisecond)
	require.Error(t, err)
	_, err = far.Write([]byte("back"))
	require.NoError(t, err)
	near.SetDeadline(time.Now().Add(timeout))
	_, err = io.ReadFull(near, make([]byte, 4))
	require.NoError(t, err, "the other direction goes on")
	read := make(chan int, 1)
	go func() {
		size, _ := far.Read(make([]byte, 16))
		read <- size
	}()
	near.Write([]byte("forth"))
	select {
	case <-read:
		t.Fatal("it passed a cut")
	case <-time.After(50 * time.Millisecond):
	}
	n.UpdateImpairments(nil, 0, 1, false, func(t *Impairment) { t.Cuts-- })
	require.Equal(t, 5, <-read)
}

// What a cut has held when its sender resets the connection never comes; behind an orderly end it does.
func TestDataHeldByCutAfterClose(t *testing.T) {
	for _, reset := range []bool{true, false} {
		n := New(1, noDelay(), noDelay(), 1)
		l, err := n.Listen(Path{Job, 0, 0}, anyPort)
		require.NoError(t, err)
		defer l.Close()
		c, err := dial(l, timeout)
		require.NoError(t, err)
		taken, err := l.Accept()
		require.NoError(t, err)
		n.UpdateImpairments([]Kind{Job}, -1, -1, true, func(t *Impairment) { t.Cuts++ })
		type got struct {
			text string
			err  error
		}
		came := make(chan got, 1)
		go func() {
			text, err := io.ReadAll(taken)
			came <- got{string(text), err}
		}()
		_, err = c.Write([]byte("held"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return n.Traffic(Job).Messages > 0 }, timeout, time.Millisecond, "the cut holds it")
		if reset {
			require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, c.Close())
		n.UpdateImpairments([]Kind{Job}, -1, -1, true, func(t *Impairment) { t.Cuts-- })
		all := <-came
		if reset {
			require.Equal(t, got{"", syscall.ECONNRESET}, got{all.text, errnoOf(all.err)})
		} else {
			require.Equal(t, got{"held", nil}, all)
		}
	}
}

// underlying is the system's error in another.
func errnoOf(err error) error {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	return err
}

func TestDialWaitsAtACut(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go echo(ln)
	n.UpdateImpairments([]Kind{Client}, 0, 1, true, func(t *Impairment) { t.Cuts++ })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = n.Dial(ctx, Path{Client, 0, 1}, ln.Addr().String())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	c, err := n.Dial(context.Background(), Path{Client, 0, 0}, ln.Addr().String())
	require.NoError(t, err)
	require.NoError(t, roundTrip(c, timeout))
	c.Close()
}

// A reset is seen as one, and only on the paths that it is meant for.
func TestReset(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	hit, err := n.Listen(Path{Job, 0, 1}, anyPort)
	require.NoError(t, err)
	defer hit.Close()
	spared, err := n.Listen(Path{Job, 0, 0}, anyPort)
	require.NoError(t, err)
	defer spared.Close()
	go echo(hit)
	go echo(spared)
	a, err := dial(hit, timeout)
	require.NoError(t, err)
	b, err := dial(spared, timeout)
	require.NoError(t, err)
	require.NoError(t, roundTrip(a, timeout))
	require.NoError(t, roundTrip(b, timeout))
	require.Equal(t, 1, n.ResetConns([]Kind{Job}, 0, 1, 0))
	require.True(t, errors.Is(roundTrip(a, timeout), syscall.ECONNRESET))
	require.NoError(t, roundTrip(b, timeout))
}

func TestDelay(t *testing.T) {
	n := New(1, noDelay(), noDelay(), 1)
	l, err := n.Listen(Path{Job, 0, 0}, anyPort)
	require.NoError(t, err)
	defer l.Close()
	go echo(l)
	n.UpdateImpairments([]Kind{Job}, 0, 0, true, func(t *Impairment) { t.Delay = 30 * time.Millisecond })
	c, err := dial(l, timeout)
	require.NoError(t, err)
	from := time.Now()
	require.NoError(t, roundTrip(c, timeout))
	require.GreaterOrEqual(t, time.Since(from), 60*time.Millisecond)
}

// Datagrams come from the sender's public address, to all but itself; a cut loses them; long ones are counted and held.
func TestPeerRelay(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	var socks []*net.UDPConn
	var own []netip.AddrPort
	for range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer c.Close()
		socks, own = append(socks, c), append(own, netip.MustParseAddrPort(c.LocalAddr().String()))
	}
	p, err := n.NewPeerRelay([]int{0, 0, 1}, own, 0, 0, func() time.Duration { return 0 })
	require.NoError(t, err)
	defer p.Close()
	each, all := p.Addresses()
	say := func(from int, text string) {
		_, err := socks[from].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(all))
		require.NoError(t, err)
	}
	hear := func(at int) (string, string) {
		buf := make([]byte, 300)
		socks[at].SetReadDeadline(time.Now().Add(timeout))
		size, from, err := socks[at].ReadFromUDPAddrPort(buf)
		require.NoError(t, err)
		return string(buf[:size]), from.String()
	}
	n.UpdateImpairments([]Kind{Peer}, 0, 1, true, func(t *Impairment) { t.Cuts++ })
	say(0, "one")
	text, from := hear(1)
	require.Equal(t, "one", text)
	require.Equal(t, each[0], from)
	n.UpdateImpairments([]Kind{Peer}, 0, 1, true, func(t *Impairment) { t.Cuts-- })
	say(0, string(make([]byte, 257)))
	say(1, "two")
	text, from = hear(2)
	require.Equal(t, "two", text, "the first was lost at the cut, the second is too long")
	require.Equal(t, each[1], from)
	_, tooLong := p.Counts()
	require.EqualValues(t, 1, tooLong)
}
