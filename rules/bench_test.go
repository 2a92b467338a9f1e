package rules

import (
	"fmt"
	"testing"
)

// Benchmarks of a tick and of a change of the list, by the length of the list.

var listLengths = []int{1000, 10_000, 33_000}

// weightedWorkerList returns workers of different weights.
func weightedWorkerList(workers int) []ListEntry {
	entries := workerList(workers)
	for i := range entries {
		entries[i].Weight = 1 + float64(i%7)/3
	}
	return entries
}

// newScaleDispatcher returns a dispatcher with that number of workers, and with jobs running at a hundred of them.
func newScaleDispatcher(workers int, weighted bool) *testDispatcher {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.MayProbe, s.WeightsAreSize = 32, true, true, weighted
	d := newTestDispatcher(s, weightedWorkerList(workers)...)
	for i := range 100 {
		r := d.submitKey(uint64(i))
		d.Progress(d.now, &Progress{Request: r, Attempt: 0, Worker: d.rec.lastSend().worker, Started: true})
	}
	return d
}

func BenchmarkHousekeeping(b *testing.B) {
	for _, workers := range listLengths {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			d := newScaleDispatcher(workers, false)
			d.now += ms
			b.ReportAllocs()
			for b.Loop() {
				d.housekeeping(d.now)
			}
		})
	}
}

// BenchmarkListChange measures a change of three workers to draining or ready, and a job after it. With weights that
// are sizes, each change also changes the mean weight.
func BenchmarkListChange(b *testing.B) {
	for _, workers := range listLengths {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) { benchmarkListChanges(b, newScaleDispatcher(workers, false), workers) })
		b.Run(fmt.Sprint(workers, " weighted workers"), func(b *testing.B) { benchmarkListChanges(b, newScaleDispatcher(workers, true), workers) })
	}
}

func benchmarkListChanges(b *testing.B, d *testDispatcher, workers int) {
	entries := weightedWorkerList(workers)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		changed := entries[n*3%(workers-3):][:3]
		for i := range changed {
			changed[i].State = Draining - changed[i].State
		}
		d.List(d.now, &List{Form: ListDelta, Entries: changed})
		r := d.submitKey(uint64(n % 500))
		d.endAttempt(r, 0, d.rec.lastSend().worker, OK)
		d.rec.sends, d.rec.timers, d.rec.broadcasts = d.rec.sends[:0], d.rec.timers[:0], d.rec.broadcasts[:0]
	}
}
