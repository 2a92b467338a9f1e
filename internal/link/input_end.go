package link

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// HasPeerFinished reports whether the peer has ended its output in order (TCP FIN), so that all of it has arrived. A reset does
// not count, nor does a connection that was ended from this side. It may be called on any goroutine until the connection's
// close callbacks have run.
func (l *Link) HasPeerFinished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, ok := l.Conn.(netpoll.Conn)
	if !ok || l.isFDClosed {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(conn.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}
