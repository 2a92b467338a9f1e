package rules

import (
	"fmt"
	"testing"
)

// What a tick and a change of the list cost as the list grows.

var scaleSizes = []int{1000, 10_000, 33_000}

// scaleFleet has workers of unlike weights.
func scaleFleet(workers int) []ListEntry {
	entries := fleet(workers)
	for i := range entries {
		entries[i].Weight = 1 + float64(i%7)/3
	}
	return entries
}

// scaleBed has the given number of workers, and jobs of ours started at a hundred of them.
func scaleBed(workers int, weighted bool) *bed {
	s := oneClass(Once)
	s.GroupSize, s.MayBroadcast, s.MayProbe, s.WeightsAreSize = 32, true, true, weighted
	b := newBed(s, scaleFleet(workers)...)
	for i := range 100 {
		r := b.ask(uint64(i))
		b.Progress(b.now, &Progress{Request: r, Attempt: 0, Worker: b.a.last().w, Started: true})
	}
	return b
}

func BenchmarkHousekeeping(b *testing.B) {
	for _, workers := range scaleSizes {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			d := scaleBed(workers, false)
			d.now += ms
			b.ReportAllocs()
			for b.Loop() {
				d.housekeeping(d.now)
			}
		})
	}
}

// BenchmarkListChange has three workers drain or come back, and a job after each change; with weights that are sizes
// each such change is one of the mean weight as well.
func BenchmarkListChange(b *testing.B) {
	for _, workers := range scaleSizes {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) { listChanges(b, scaleBed(workers, false), workers) })
		b.Run(fmt.Sprint(workers, " weighted workers"), func(b *testing.B) { listChanges(b, scaleBed(workers, true), workers) })
	}
}

func listChanges(b *testing.B, d *bed, workers int) {
	entries := scaleFleet(workers)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		changed := entries[n*3%(workers-3):][:3]
		for i := range changed {
			changed[i].State = Draining - changed[i].State
		}
		d.List(d.now, &List{Form: ListDelta, Entries: changed})
		r := d.ask(uint64(n % 500))
		d.end(r, 0, d.a.last().w, OK)
		d.a.sends, d.a.timers, d.a.told = d.a.sends[:0], d.a.timers[:0], d.a.told[:0]
	}
}
