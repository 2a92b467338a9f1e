package link

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
)

// retransmissionTime is less than the time after which a client repeats a connection attempt that was ignored.
const retransmissionTime = 900 * time.Millisecond

// listenTwice returns the listeners of a process and of its successor at one address.
func listenTwice(t *testing.T) (old, successor netpoll.Listener) {
	old, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { old.Close() })
	return old, listenBeside(t, old)
}

func listenBeside(t *testing.T, other netpoll.Listener) netpoll.Listener {
	l, err := Listen(other.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// dialMany opens connections and returns them with the longest time that one has taken.
func dialMany(t *testing.T, l netpoll.Listener, n int) (conns []net.Conn, longest time.Duration) {
	for range n {
		start := time.Now()
		c, err := net.DialTimeout("tcp", l.Addr().String(), 10*time.Second)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
		longest = max(longest, time.Since(start))
	}
	return conns, longest
}

// acceptFrom accepts and closes n connections in the accept queues of listeners, and returns how many each had. The kernel
// puts a connection there when the last packet of its handshake is handled, which a dial does not wait for.
func acceptFrom(t *testing.T, n int, listeners ...netpoll.Listener) (counts []int) {
	counts = make([]int, len(listeners))
	total := 0
	require.Eventually(t, func() bool {
		for i, l := range listeners {
			for {
				c, err := l.Accept()
				require.NoError(t, err)
				if c == nil {
					break
				}
				c.Close()
				counts[i]++
				total++
			}
		}
		return total >= n
	}, 5*time.Second, time.Millisecond)
	return counts
}

// queuedAt returns the length of the accept queue of a listener.
func queuedAt(t *testing.T, l netpoll.Listener) int {
	n, err := l.(tolerantListener).Listener.(drainableSocket).queuedConnections()
	require.NoError(t, err)
	return n
}

// runLoop returns a loop that runs until the end of the test.
func runLoop(t *testing.T) *core.Loop {
	loop := core.NewLoop()
	go loop.Run()
	t.Cleanup(func() { loop.Post(loop.Stop) })
	return loop
}

// runOn runs f on the loop.
func runOn(loop *core.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { defer close(done); f() })
	<-done
}

// Connections that were established before the drain stay in the queue of the old listener until they are accepted, and it
// closes only then; new ones reach the successor at once.
func TestDrainKeepsQueueAndSteersNewConnections(t *testing.T) {
	old, successor := listenTwice(t)
	loop := runLoop(t)
	d := NewDrainingListener(old, "test", loop, slog.New(slog.DiscardHandler))
	closed := make(chan struct{})
	d.OnClosed(func() { close(closed) })
	dialMany(t, old, 32)
	require.Eventually(t, func() bool { return queuedAt(t, old)+queuedAt(t, successor) == 32 }, 5*time.Second, time.Millisecond)
	queued := queuedAt(t, old)
	require.Positive(t, queued)
	var longest time.Duration
	var counts []int
	runOn(loop, func() {
		d.SteerToSuccessor()
		d.Close()
		_, longest = dialMany(t, old, 32) // in the turn of the drain's begin, so that the old listener is open
		counts = acceptFrom(t, 64, d, successor)
	})
	assert.Equal(t, []int{queued, 64 - queued}, counts, "the queue is whole and has no new connection")
	<-closed
	assert.Less(t, longest, retransmissionTime)
}

// A drain without steering: the kernel ignores connection attempts at the old listener, and none of the clients is reset or
// refused; one that was ignored tries again and reaches the successor.
func TestIgnoredConnectionAttemptReachesSuccessorLater(t *testing.T) {
	old, successor := listenTwice(t)
	loop := runLoop(t)
	d := NewDrainingListener(old, "test", loop, slog.New(slog.DiscardHandler))
	runOn(loop, func() { d.Close() })
	const clients = 16
	connected := make(chan error, clients)
	for range clients {
		go func() {
			c, err := net.DialTimeout("tcp", old.Addr().String(), 10*time.Second)
			if err == nil {
				t.Cleanup(func() { c.Close() })
			}
			connected <- err
		}()
	}
	for range clients {
		require.NoError(t, <-connected)
	}
	assert.Equal(t, []int{0, clients}, acceptFrom(t, clients, d, successor))
}

// A connection whose handshake ends behind the begin of the drain inherits the option that ignores segments. It is undone.
func TestAcceptedConnectionIsReadableDuringDrain(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer old.Close()
	socket := old.(tolerantListener).Listener.(*socketListener)
	conns, _ := dialMany(t, old, 1)
	require.NoError(t, socket.ignoreNewConnections())
	accepted, err := old.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	// As if the connection had inherited the option: the accept has undone it, which is what a second call shows.
	fd := accepted.(netpoll.Conn).Fd()
	require.NoError(t, setMinHopLimit(fd, maxHopLimit))
	acceptAnyHopLimit(fd)
	_, err = conns[0].Write([]byte("x"))
	require.NoError(t, err)
	assert.Eventually(t, func() bool {
		n, err := readNow(fd)
		return err == nil && n == 1
	}, 5*time.Second, time.Millisecond)
}

// A successor that comes later shares new connections with the present process: steering ends with the process that began
// it, also if that was killed.
func TestSteeringEndsWithItsProcess(t *testing.T) {
	for _, isKilled := range []bool{true, false} {
		t.Run(map[bool]string{true: "killed", false: "ended"}[isKilled], func(t *testing.T) {
			old, second := listenTwice(t)
			socket := old.(tolerantListener).Listener.(*socketListener)
			if isKilled {
				require.NoError(t, socket.steerToSuccessor())
				require.NoError(t, socket.Close())
			} else {
				loop, closed := runLoop(t), make(chan struct{})
				d := NewDrainingListener(old, "test", loop, slog.New(slog.DiscardHandler))
				d.OnClosed(func() { close(closed) })
				runOn(loop, func() { d.SteerToSuccessor(); d.Close() })
				<-closed
				require.True(t, d.steers)
			}
			third := listenBeside(t, second)
			dialMany(t, second, 64)
			counts := acceptFrom(t, 64, second, third)
			assert.Positive(t, counts[0])
			assert.Positive(t, counts[1])
		})
	}
}

// readNow reads one byte without waiting for it.
func readNow(fd int) (int, error) { return unix.Read(fd, make([]byte, 1)) }

// A listener whose drain has been held up for long is not closed over its accept queue. Guards against the reset of connections
// that the kernel has established, when the poller does not get to accept them.
func TestDrainWaitsForTheAcceptQueue(t *testing.T) {
	const heldTime = time.Duration(4*(handshakeGrace+maxDrainPolls*drainPollInterval)) * time.Microsecond
	loop := core.NewLoop()
	go loop.Run()
	t.Cleanup(func() { loop.Post(loop.Stop) })
	onLoop := func(f func()) {
		done := make(chan struct{})
		loop.Post(func() {
			f()
			close(done)
		})
		<-done
	}
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	drain := NewDrainingListener(listener, "test", loop, slog.New(slog.DiscardHandler))
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	onLoop(func() { drain.Close() })
	time.Sleep(heldTime)
	onLoop(func() { assert.False(t, drain.IsClosed(), "closed over a connection in its queue") })
	accepted, err := drain.Accept()
	require.NoError(t, err)
	require.NotNil(t, accepted)
	drain.Registered()
	require.Eventually(t, func() (isClosed bool) {
		onLoop(func() { isClosed = drain.IsClosed() })
		return isClosed
	}, 10*time.Second, time.Millisecond)
}
