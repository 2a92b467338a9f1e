package judge

import (
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// crowding takes from the workers' records how jobs bunch: the herd index, and workers that nobody sent to.
func (b *Analysis) addHerdFigures(f *Figures, from, to int64, site int) {
	arrivals := map[int32][]int64{}
	n := 0
	for i := range b.attempts {
		r := &b.attempts[i]
		if r.ArrivedUS >= from && r.ArrivedUS < to && (site < 0 || b.workerSite[r.Worker] == site) {
			arrivals[r.Worker] = append(arrivals[r.Worker], r.ArrivedUS)
			n++
		}
	}
	age := int64(b.scenario.Workers.ReportS.Max * 1e6)
	workers := 0
	for i := range b.workerSite {
		if site < 0 || b.workerSite[i] == site {
			workers++
		}
	}
	fair := max(1, float64(n)/float64(max(1, workers))*float64(age)/float64(max(1, to-from)))
	for _, at := range arrivals {
		slices.Sort(at)
		for first, last := 0, 0; last < len(at); last++ {
			for at[last]-at[first] > age {
				first++
			}
			f.Herd = max(f.Herd, float64(last-first+1)/fair)
		}
	}
	f.StarvedWorkers = b.starvedWorkers(from, to, site)
}

// leftAloneUS is for how long a worker with room may stand without a job while jobs wait elsewhere.
const starvationUS = 5e6

func (b *Analysis) starvedWorkers(from, to int64, site int) (n int) {
	busy := map[int32]int64{} // when it last ran a job, or had no room
	counted := map[int32]bool{}
	for i := 0; i < len(b.samples); {
		at, waiting, end := b.samples[i].AtUS, 0, i
		for ; end < len(b.samples) && b.samples[end].AtUS == at; end++ {
			if s := &b.samples[end]; site < 0 || b.workerSite[s.Worker] == site {
				waiting += int(s.Waiting)
			}
		}
		for ; i < end; i++ {
			s := &b.samples[i]
			if last, seen := busy[s.Worker]; s.Running > 0 || s.UsableSlots == 0 || !seen || at < from {
				busy[s.Worker] = at
			} else if at < to && waiting > 0 && at-last > starvationUS && (site < 0 || b.workerSite[s.Worker] == site) && !counted[s.Worker] {
				counted[s.Worker] = true
				n++
			}
		}
	}
	return n
}

// stepUS is how near in time two decisions have to be to count as made in one situation.
const inversionWindowUS = 250_000

// inverted gives the requests of which a try was refused while one of a class of less worth for its slot-time was served
// at the same site within the same quarter of a second.
func invertedRequests(s *scenario.Scenario, tries []record.Try) map[int32]bool {
	type moment struct {
		site int32
		at   int64
	}
	density := func(c int32) float64 { return s.Classes[c].Worth / s.Classes[c].RunMS }
	least := map[moment]float64{}
	for i := range tries {
		if t := &tries[i]; t.Status == 200 {
			m := moment{t.Site, t.SentUS / inversionWindowUS}
			if d, taken := least[m]; !taken || density(t.Class) < d {
				least[m] = density(t.Class)
			}
		}
	}
	bad := map[int32]bool{}
	for i := range tries {
		t := &tries[i]
		if d, taken := least[moment{t.Site, t.SentUS / inversionWindowUS}]; taken && (t.Status == 429 || t.Status == 503) && density(t.Class) > d {
			bad[t.Request] = true
		}
	}
	return bad
}
