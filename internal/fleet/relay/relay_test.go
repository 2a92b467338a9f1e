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

// echo sends back all data on the connections of a listener.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go io.Copy(c, c)
	}
}

// roundTrip sends a byte and reads the echo, within a limit.
func roundTrip(c net.Conn, limit time.Duration) error {
	c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func dial(l net.Listener, wait time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", l.Addr().String(), wait)
}

// A silent listener neither accepts nor refuses new connections, and does not answer on open ones, as a machine without
// power does.
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
	var netErr net.Error
	_, err = dial(l, 100*time.Millisecond)
	require.ErrorAs(t, err, &netErr)
	require.True(t, netErr.Timeout(), "the dial must time out: %v", err)
	require.ErrorIs(t, roundTrip(c, 50*time.Millisecond), os.ErrDeadlineExceeded)

	l.SetSilent(false, false)
	again, err := dial(l, timeout)
	require.NoError(t, err)
	require.NoError(t, roundTrip(again, timeout))
}

// With only the process hung the kernel still accepts connections, and their data is read when the process continues.
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
	require.NoError(t, err, "data that arrived meanwhile is read")
}

// A cut in one direction holds the data of that direction only, and prevents new connections.
func TestCutOneWay(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	l, err := n.Listen(Path{Job, 0, 1}, anyPort)
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	near, err := dial(l, timeout)
	require.NoError(t, err)
	far := <-accepted

	n.UpdateImpairments(nil, 0, 1, false, func(t *Impairment) { t.Cuts++ })
	_, err = dial(l, 100*time.Millisecond)
	require.Error(t, err)
	_, err = far.Write([]byte("back"))
	require.NoError(t, err)
	near.SetDeadline(time.Now().Add(timeout))
	_, err = io.ReadFull(near, make([]byte, 4))
	require.NoError(t, err, "the other direction is not cut")
	read := make(chan int, 1)
	go func() {
		size, _ := far.Read(make([]byte, 16))
		read <- size
	}()
	near.Write([]byte("forth"))
	select {
	case <-read:
		t.Fatal("data passed a cut")
	case <-time.After(50 * time.Millisecond):
	}
	n.UpdateImpairments(nil, 0, 1, false, func(t *Impairment) { t.Cuts-- })
	require.Equal(t, 5, <-read)
}

// Data that a cut holds is lost when its sender resets the connection, and arrives when its sender closes the connection
// with a FIN.
func TestDataHeldByCutAfterClose(t *testing.T) {
	for _, reset := range []bool{true, false} {
		n := New(1, noDelay(), noDelay(), 1)
		l, err := n.Listen(Path{Job, 0, 0}, anyPort)
		require.NoError(t, err)
		defer l.Close()
		c, err := dial(l, timeout)
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		n.UpdateImpairments([]Kind{Job}, -1, -1, true, func(t *Impairment) { t.Cuts++ })
		type result struct {
			text string
			err  error
		}
		results := make(chan result, 1)
		go func() {
			text, err := io.ReadAll(accepted)
			results <- result{string(text), err}
		}()
		_, err = c.Write([]byte("held"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return n.Traffic(Job).Messages > 0 }, timeout, time.Millisecond, "the cut holds the data")
		if reset {
			require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, c.Close())
		n.UpdateImpairments([]Kind{Job}, -1, -1, true, func(t *Impairment) { t.Cuts-- })
		got := <-results
		if reset {
			require.Equal(t, result{"", syscall.ECONNRESET}, result{got.text, errnoOf(got.err)})
		} else {
			require.Equal(t, result{"held", nil}, got)
		}
	}
}

// errnoOf returns the system's error that err wraps, or err.
func errnoOf(err error) error {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	return err
}

// A dial on a cut path waits until its context is done; a dial on another path succeeds.
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

// ResetConns resets the connections of the given path, and no others.
func TestReset(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	target, err := n.Listen(Path{Job, 0, 1}, anyPort)
	require.NoError(t, err)
	defer target.Close()
	other, err := n.Listen(Path{Job, 0, 0}, anyPort)
	require.NoError(t, err)
	defer other.Close()
	go echo(target)
	go echo(other)
	a, err := dial(target, timeout)
	require.NoError(t, err)
	b, err := dial(other, timeout)
	require.NoError(t, err)
	require.NoError(t, roundTrip(a, timeout))
	require.NoError(t, roundTrip(b, timeout))
	require.Equal(t, 1, n.ResetConns([]Kind{Job}, 0, 1, 0))
	require.True(t, errors.Is(roundTrip(a, timeout), syscall.ECONNRESET))
	require.NoError(t, roundTrip(b, timeout))
}

// A delay of a path applies in each direction.
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

// A broadcast datagram reaches all schedulers but its sender, from the sender's public address. A cut drops it, and an
// oversize datagram is counted and dropped.
func TestPeerRelay(t *testing.T) {
	n := New(2, noDelay(), noDelay(), 1)
	var socks []*net.UDPConn
	var addresses []netip.AddrPort
	for range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer c.Close()
		socks, addresses = append(socks, c), append(addresses, netip.MustParseAddrPort(c.LocalAddr().String()))
	}
	p, err := n.NewPeerRelay([]int{0, 0, 1}, addresses, 0, 0, func() time.Duration { return 0 })
	require.NoError(t, err)
	defer p.Close()
	public, broadcast := p.Addresses()
	send := func(from int, text string) {
		_, err := socks[from].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(broadcast))
		require.NoError(t, err)
	}
	receive := func(at int) (string, string) {
		buf := make([]byte, 300)
		socks[at].SetReadDeadline(time.Now().Add(timeout))
		size, from, err := socks[at].ReadFromUDPAddrPort(buf)
		require.NoError(t, err)
		return string(buf[:size]), from.String()
	}
	n.UpdateImpairments([]Kind{Peer}, 0, 1, true, func(t *Impairment) { t.Cuts++ })
	send(0, "one")
	text, from := receive(1)
	require.Equal(t, "one", text)
	require.Equal(t, public[0], from)
	n.UpdateImpairments([]Kind{Peer}, 0, 1, true, func(t *Impairment) { t.Cuts-- })
	send(0, string(make([]byte, 257)))
	send(1, "two")
	text, from = receive(2)
	require.Equal(t, "two", text, "the cut dropped the first datagram, the second is oversize")
	require.Equal(t, public[1], from)
	_, tooLong := p.Counts()
	require.EqualValues(t, 1, tooLong)
}

// connectPair returns the two ends of a connection, of which the network wraps the accepted one.
func connectPair(t *testing.T, n *Network) (peer net.Conn, conn *Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	peer, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	accepted, err := ln.Accept()
	require.NoError(t, err)
	return peer, n.Wrap(accepted, Path{Kind: Job}, false)
}

// A connection states when its data came and was through the path's delay, however late it is read, and when it was closed.
func TestConnTimes(t *testing.T) {
	const delay, readLate = 20 * time.Millisecond, 200 * time.Millisecond
	n := New(1, [2]time.Duration{delay, delay}, [2]time.Duration{}, 1)
	peer, conn := connectPair(t, n)
	require.NotNil(t, conn.raw, "the kernel states time stamps")
	before := time.Now()
	_, err := peer.Write([]byte("hello"))
	require.NoError(t, err)
	written := time.Now()
	time.Sleep(readLate)
	buf := make([]byte, 10)
	size, err := conn.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "hello", string(buf[:size]))
	const margin = time.Millisecond // the kernel's wall clock and this process's need not agree to the microsecond
	require.WithinRange(t, conn.LastReceived(), before.Add(-margin), written.Add(margin))
	require.Equal(t, delay, conn.LastArrived().Sub(conn.LastReceived()))

	require.True(t, conn.WaitClosed(time.Millisecond).IsZero())
	before = time.Now()
	require.NoError(t, conn.Close())
	require.WithinRange(t, conn.WaitClosed(time.Second), before.Add(-margin), time.Now().Add(margin))
	require.Error(t, conn.Close())
}

// Data that a cut has held arrives when the cut is over.
func TestHeldDataArrivesAfterTheCut(t *testing.T) {
	const held = 150 * time.Millisecond
	n := New(1, [2]time.Duration{}, [2]time.Duration{}, 1)
	peer, conn := connectPair(t, n)
	defer conn.Close()
	n.UpdateImpairments(nil, -1, -1, true, func(i *Impairment) { i.Cuts++ })
	_, err := peer.Write([]byte("hello"))
	require.NoError(t, err)
	ended := make(chan time.Time, 1)
	time.AfterFunc(held, func() {
		ended <- time.Now()
		n.UpdateImpairments(nil, -1, -1, true, func(i *Impairment) { i.Cuts-- })
	})
	_, err = conn.Read(make([]byte, 10))
	require.NoError(t, err)
	require.False(t, conn.LastArrived().Before((<-ended).Round(0)))
	require.Greater(t, conn.LastArrived().Sub(conn.LastReceived()), held/2)
}

// The end of a connection, its reset and a deadline are reported as a plain connection reports them.
func TestReadErrors(t *testing.T) {
	n := New(1, [2]time.Duration{}, [2]time.Duration{}, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	open := func() (*Conn, *net.TCPConn) {
		peer, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		accepted, err := ln.Accept()
		require.NoError(t, err)
		return n.Wrap(accepted, Path{Kind: Job}, false), peer.(*net.TCPConn)
	}
	buf := make([]byte, 10)
	conn, peer := open()
	conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	conn.SetReadDeadline(time.Time{})
	peer.Close()
	_, err = conn.Read(buf)
	require.Equal(t, io.EOF, err)
	conn.Close()
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, net.ErrClosed)
	conn, peer = open()
	peer.SetLinger(0)
	peer.Close()
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	conn.Close()
}
