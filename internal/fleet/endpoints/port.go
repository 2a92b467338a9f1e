package endpoints

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// reservedPort is a port that is bound and not listening. The kernel chooses it for no other socket and refuses connections
// to it, while its owner can listen there with SO_REUSEADDR.
type reservedPort struct {
	address netip.AddrPort
	fd      int
}

// reserve reserves a port of an IPv4 address that the kernel chooses.
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

// bind binds fd to a port of host with SO_REUSEADDR and returns the address.
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
	address := name.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)), nil
}

// release frees the port. address keeps its value.
func (p *reservedPort) release() {
	if p.fd >= 0 {
		unix.Close(p.fd)
	}
	p.fd = -1
}
