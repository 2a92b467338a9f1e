package link

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// acceptPause is how long a poller waits after an accept that failed for want of descriptors or memory. The connection
// stays in the kernel's queue and would be tried again at once, at full speed; its other connections wait no longer than
// this.
const exhaustedAcceptPause = time.Millisecond

// acceptFailures counts the accepts of all listeners that failed.
var acceptFailures atomic.Uint64

// AcceptFailures is how many accepts have failed since the start, at any listener.
func AcceptFailures() uint64 { return acceptFailures.Load() }

// tolerant is a listener whose accepts may fail for a while. netpoll stops listening for up to a second where descriptors
// are short, and asks again at full speed after other failures; here each failure but the listener's own end is that of
// one connection, or passes.
type tolerantListener struct {
	netpoll.Listener
	accept func() (net.Conn, error)
}

func newTolerantListener(l netpoll.Listener) tolerantListener { return tolerantListener{l, l.Accept} }

// Accept gives the next connection; neither one nor an error says that there is none now.
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

// ended tells of the errors of a listener that is closed, or was none.
func isListenerClosed(err error) bool {
	for _, end := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// exhausted tells of the errors that stay until somebody gives something back.
func isResourceExhausted(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}
