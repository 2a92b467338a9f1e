package link

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A listener whose accepts fail temporarily must serve connections as soon as an accept succeeds.
func TestListenerSurvivesTemporaryAcceptFailures(t *testing.T) {
	const failures = 20
	for _, fault := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPERM, syscall.ENOPROTOOPT} {
		t.Run(fault.Error(), func(t *testing.T) {
			ln, err := Listen("127.0.0.1:0")
			require.NoError(t, err)
			faulty := ln.(tolerantListener)
			var mu sync.Mutex
			remaining, before := failures, AcceptFailures()
			faulty.accept = func() (net.Conn, error) {
				mu.Lock()
				defer mu.Unlock()
				if remaining > 0 {
					remaining--
					return nil, fault
				}
				return ln.(tolerantListener).Listener.Accept()
			}
			server, err := netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
				_, err := c.Writer().WriteString("here")
				c.Reader().Skip(c.Reader().Len())
				return firstOf(err, c.Writer().Flush())
			})
			require.NoError(t, err)
			go server.Serve(faulty)
			defer server.Shutdown(context.Background())
			for range 2 {
				c, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				c.SetDeadline(time.Now().Add(10 * time.Second))
				_, err = io.WriteString(c, "?")
				require.NoError(t, err)
				answer := make([]byte, 4)
				_, err = io.ReadFull(c, answer)
				require.NoError(t, err)
			}
			assert.GreaterOrEqual(t, AcceptFailures()-before, uint64(failures))
		})
	}
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// The closing of the listener itself must be reported, unlike a temporary failure.
func TestAcceptReportsClosedListener(t *testing.T) {
	for _, closedErr := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL} {
		l := tolerantListener{accept: func() (net.Conn, error) { return nil, closedErr }}
		_, err := l.Accept()
		assert.ErrorIs(t, err, closedErr)
	}
}
