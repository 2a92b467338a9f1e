package core

import "testing"

// A message queued in the turn in which the front closes its socket is dropped without a fault.
func TestBroadcastInTheTurnOfTheClose(t *testing.T) {
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
