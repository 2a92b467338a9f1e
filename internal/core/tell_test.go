package core

import "testing"

// What was told in the turn in which the front closes its socket is lost, and nothing else happens.
func TestToldInTheTurnOfTheClose(t *testing.T) {
	sent := 0
	c := &Core{Tell: func([]byte) { sent++ }}
	c.main = &Pool{core: c}
	a := actions{c.main}
	a.Broadcast([]byte{0, 0, 0, 0})
	c.carryOut()
	a.Broadcast([]byte{0, 0, 0, 0})
	c.Tell = nil
	c.carryOut()
	if sent != 1 || len(c.telling) != 0 {
		t.Errorf("%d messages sent, %d bytes wait", sent, len(c.telling))
	}
}
