package endpoints

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// reservedPort is a port that stays its owner's while nothing listens there: the kernel gives it to nobody who asks for any,
// and refuses connections to it. Its owner listens there with SO_REUSEADDR.
type reservedPort struct {
	address netip.AddrPort
	fd      int
}

// reserve has the kernel choose a port of an IPv4 address.
func reserve(host netip.Addr) (*reservedPort, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	bound, err := bind(fd, host)
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	return &reservedPort{address: bound, fd: fd}, nil
}

func bind(fd int, host netip.Addr) (netip.AddrPort, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: host.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := name.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)), nil
}

// release gives the port back; its number stays known.
func (p *reservedPort) release() {
	if p.fd >= 0 {
		unix.Close(p.fd)
	}
	p.fd = -1
}
