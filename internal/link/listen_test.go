package link

import (
	"net"
	"testing"
)

// During an upgrade the new process listens at the address while the old one still has it open.
func TestTwoListenersShareAnAddress(t *testing.T) {
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
	// A plain listener must fail at that address: otherwise the checks above hold without SO_REUSEPORT.
	if plain, err := net.Listen("tcp", first.Addr().String()); err == nil {
		plain.Close()
		t.Fatal("a listener without SO_REUSEPORT could share the address; the test proves nothing")
	}
}
