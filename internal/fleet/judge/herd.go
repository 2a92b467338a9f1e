package judge

import (
	"slices"

	"cobaltflow/internal/fleet/record"
	"cobaltflow/internal/fleet/scenario"
)

// addHerdFigures sets the figures on how attempts spread over the workers: the herd index and the starved workers.
func (a *Analysis) addHerdFigures(f *Figures, fromUS, toUS int64, site int) {
	arrivals := map[int32][]int64{}
	total := 0
	for i := range a.attempts {
		attempt := &a.attempts[i]
		if attempt.ArrivedUS >= fromUS && attempt.ArrivedUS < toUS && (site < 0 || a.workerSite[attempt.Worker] == site) {
			arrivals[attempt.Worker] = append(arrivals[attempt.Worker], attempt.ArrivedUS)
			total++
		}
	}
	reportAgeUS := int64(a.scenario.Workers.ReportS.Max * 1e6)
	workers := 0
	for i := range a.workerSite {
		if site < 0 || a.workerSite[i] == site {
			workers++
		}
	}
	fairArrivals := max(1, float64(total)/float64(max(1, workers))*float64(reportAgeUS)/float64(max(1, toUS-fromUS)))
	for _, times := range arrivals {
		slices.Sort(times)
		for first, last := 0, 0; last < len(times); last++ {
			for times[last]-times[first] > reportAgeUS {
				first++
			}
			f.Herd = max(f.Herd, float64(last-first+1)/fairArrivals)
		}
	}
	f.StarvedWorkers = a.starvedWorkers(fromUS, toUS, site)
}

// starvationUS is how long, in microseconds, a worker with free capacity may have no job while jobs wait at other workers.
const starvationUS = 5e6

// starvedWorkers returns the number of workers that were without a job for more than starvationUS while jobs waited at
// others.
func (a *Analysis) starvedWorkers(fromUS, toUS int64, site int) (n int) {
	lastBusyUS := map[int32]int64{} // when a worker last ran a job, or had no usable slot
	isCounted := map[int32]bool{}
	for i := 0; i < len(a.samples); {
		atUS, waiting, end := a.samples[i].AtUS, 0, i
		for ; end < len(a.samples) && a.samples[end].AtUS == atUS; end++ {
			if s := &a.samples[end]; site < 0 || a.workerSite[s.Worker] == site {
				waiting += int(s.Waiting)
			}
		}
		for ; i < end; i++ {
			s := &a.samples[i]
			if lastUS, seen := lastBusyUS[s.Worker]; s.Running > 0 || s.UsableSlots == 0 || !seen || atUS < fromUS {
				lastBusyUS[s.Worker] = atUS
			} else if atUS < toUS && waiting > 0 && atUS-lastUS > starvationUS && (site < 0 || a.workerSite[s.Worker] == site) && !isCounted[s.Worker] {
				isCounted[s.Worker] = true
				n++
			}
		}
	}
	return n
}

// inversionWindowUS is the length, in microseconds, of the time windows within which admission decisions are compared.
const inversionWindowUS = 250_000

// invertedRequests returns the requests with a refused try such that, at the same site and in the same window of
// inversionWindowUS, a request of a class with less value per running time was served.
func invertedRequests(s *scenario.Scenario, tries []record.Try) map[int32]bool {
	type moment struct {
		site int32
		at   int64
	}
	valuePerTime := func(c int32) float64 { return s.Classes[c].Worth / s.Classes[c].RunMS }
	leastServed := map[moment]float64{}
	for i := range tries {
		if try := &tries[i]; try.Status == 200 {
			m := moment{try.Site, try.SentUS / inversionWindowUS}
			if least, isServed := leastServed[m]; !isServed || valuePerTime(try.Class) < least {
				leastServed[m] = valuePerTime(try.Class)
			}
		}
	}
	found := map[int32]bool{}
	for i := range tries {
		try := &tries[i]
		if least, isServed := leastServed[moment{try.Site, try.SentUS / inversionWindowUS}]; isServed && (try.Status == 429 || try.Status == 503) && valuePerTime(try.Class) > least {
			found[try.Request] = true
		}
	}
	return found
}
