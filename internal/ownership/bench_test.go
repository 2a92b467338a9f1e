package ownership

import (
	"fmt"
	"testing"
)

// discardActions implements Actions by doing nothing.
type discardActions struct{}

func (discardActions) AcquireWorker(string)    {}
func (discardActions) ReleaseWorker(string)    {}
func (discardActions) SetDivision(Division)    {}
func (discardActions) MemberChanged(int, bool) {}
func (discardActions) Broadcast(Heartbeat)     {}

// BenchmarkSecond measures one second of an idle table: the turns in which all workers are updated once, and the
// heartbeats of the other members.
func BenchmarkSecond(b *testing.B) {
	for _, workers := range []int{8192, 33_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := 1_000 * Second
			t := New(Settings{Members: 32, Zone: UnknownZone, UsesHeartbeats: true}, now, discardActions{})
			t.UpdateWorkers(now, Update{IsSnapshot: true, Listed: newWorkers(workers, 19)})
			for range b.N {
				for range updateTurns {
					t.Turn(now, 0.5)
					now += Second / updateTurns
				}
				for rank := 1; rank < 32; rank++ {
					t.HandleHeartbeat(now, rank, Heartbeat{Zone: UnknownZone, Utilization: 0.5})
				}
			}
		})
	}
}

// BenchmarkWholeList measures a table's first worker list.
func BenchmarkWholeList(b *testing.B) {
	list := newWorkers(33_000, 19)
	for range b.N {
		t := New(Settings{Members: 32, Zone: UnknownZone, UsesHeartbeats: true}, Second, discardActions{})
		t.UpdateWorkers(Second, Update{IsSnapshot: true, Listed: list})
	}
}
