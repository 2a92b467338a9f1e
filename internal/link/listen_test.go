package link

import (
	"net"
	"testing"
)

// A second listener at the same address must be had while the first is open, as at an upgrade.
func TestListenTwiceAtOneAddress(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Listen(first.Addr().String())
	if err != nil {
		t.Fatalf("a second listener at %s: %v", first.Addr(), err)
	}
	second.Close()
	udp, err := ListenUDP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	again, err := ListenUDP(udp.LocalAddr().String())
	if err != nil {
		t.Fatalf("a second UDP socket at %s: %v", udp.LocalAddr(), err)
	}
	again.Close()
	// The plain way fails there: this is what the test guards.
	if plain, err := net.Listen("tcp", first.Addr().String()); err == nil {
		plain.Close()
		t.Fatal("a listener without SO_REUSEPORT could share the address; the test proves nothing")
	}
}
