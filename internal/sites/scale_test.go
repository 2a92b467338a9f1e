package sites

import (
	"fmt"
	"testing"
)

// The cost of a turn as the list grows, with ten members of three sites that have not replied, and the cost of applying
// a list that differs by one member.

var scaleSizes = []int{1000, 10_000, 33_000}

func BenchmarkTurn(b *testing.B) {
	for _, members := range scaleSizes {
		b.Run(fmt.Sprint(members, " members"), func(b *testing.B) {
			w := newWorld(Settings{MayProbe: true}, members/3, members/3, members/3)
			for i := range 10 {
				w.m.ReplyExpected(w.now, workerName(i%3, i))
			}
			b.ReportAllocs()
			for b.Loop() {
				w.m.Turn(w.now)
			}
		})
	}
}

func BenchmarkUpdateWorkers(b *testing.B) {
	for _, members := range scaleSizes {
		b.Run(fmt.Sprint(members, " members"), func(b *testing.B) {
			w := newWorld(Settings{MayProbe: true}, 1)
			var list []Member
			for i := range members {
				list = append(list, Member{workerName(0, i), 0})
			}
			w.m.UpdateWorkers(w.now, list)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				w.m.UpdateWorkers(w.now, list[:members-n%2])
			}
		})
	}
}
