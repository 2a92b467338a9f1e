package link

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// exhaustedAcceptPause is how long a poller waits after an accept that failed for lack of descriptors or memory. The
// pending connection stays in the kernel's queue, so that an immediate retry would spin. The poller's other connections
// are delayed by no more than this.
const exhaustedAcceptPause = time.Millisecond

// acceptFailures counts the failed accepts of all listeners.
var acceptFailures atomic.Uint64

// AcceptFailures returns how many accepts have failed since the process started, at all listeners together.
func AcceptFailures() uint64 { return acceptFailures.Load() }

// tolerantListener survives failing accepts. netpoll stops listening for up to a second when descriptors run out, and
// retries at full speed after other failures. Here every failure except the closing of the listener itself is taken to
// concern one connection, or to be temporary.
type tolerantListener struct {
	netpoll.Listener
	accept func() (net.Conn, error)
}

func newTolerantListener(l netpoll.Listener) tolerantListener { return tolerantListener{l, l.Accept} }

// Accept returns the next connection. A nil connection with a nil error means that there is none at the moment.
func (l tolerantListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err == nil || isListenerClosed(err) {
		return c, err
	}
	acceptFailures.Add(1)
	if isResourceExhausted(err) {
		time.Sleep(exhaustedAcceptPause)
	}
	return nil, nil
}

// isListenerClosed reports whether an accept failed because the listener is closed or is not a listening socket.
func isListenerClosed(err error) bool {
	for _, target := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// isResourceExhausted reports whether an accept failed for lack of a resource, which lasts until some is released.
func isResourceExhausted(err error) bool {
	for _, target := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
