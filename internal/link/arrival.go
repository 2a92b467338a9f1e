package link

import (
	"golang.org/x/sys/unix"

	"cobaltflow/internal/core"
)

// minQueuedTime is the age below which input counts as read on arrival: the kernel counts the age in ticks of up to 10 ms.
const minQueuedTime = 20 * core.Millisecond

// ArrivalTime returns when the last input arrived that the kernel has received on the connection, which is not earlier than
// the arrival of what has been read so far. Input waits in the kernel while the process gets no processor time, and in the
// read buffer while an earlier message is processed. The result is the present time if the kernel does not tell. ArrivalTime
// may be called from any goroutine.
func (l *Link) ArrivalTime(loop *core.Loop) core.Time {
	queued := l.queuedTime()
	now := loop.Clock() // read after the age, which would be too long for an earlier time
	if queued < minQueuedTime {
		return now
	}
	return now - queued
}

// queuedTime returns the age of the connection's last input, which may be a tick too long, or 0 if the kernel does not tell.
func (l *Link) queuedTime() (age core.Time) {
	l.withFD(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = core.Time(info.Last_data_recv) * core.Millisecond
		}
	})
	return age
}
