package core

import "testing"

// What was told in the turn in which the front closes its socket is lost, and nothing else happens.
func TestToldInTheTurnOfTheClose(t *testing.T) {
	sent := 0
	c := &Core{Broadcast: func([]byte) { sent++ }}
	c.mainPool = &Pool{core: c}
	a := actions{c.mainPool}
	a.Broadcast([]byte{0, 0, 0, 0})
	c.runPendingActions()
	a.Broadcast([]byte{0, 0, 0, 0})
	c.Broadcast = nil
	c.runPendingActions()
	if sent != 1 || len(c.broadcastBuffer) != 0 {
		t.Errorf("%d messages sent, %d bytes wait", sent, len(c.broadcastBuffer))
	}
}
