package rules

// Moving averages, regression slopes, decaying counts and token buckets. No decisions are made here.

import "math"

// ewma is an exponentially weighted moving average: its value v after n observations.
type ewma struct{ v, n float64 }

// add adds an observation. The first 1/gain of them have equal weights; after that the latest has the
// weight gain and older ones decay.
func (m *ewma) add(v, gain float64) {
	m.n++
	m.v += (v - m.v) * max(gain, 1/m.n)
}

// slope is the least-squares slope of y on x, two quantities that are relative to their means, so that the
// line goes through (1, 1).
type slope struct{ covariance, variance ewma }

// add adds an observation with the weight gain.
func (s *slope) add(x, y, gain float64) {
	s.covariance.add((x-1)*(y-1), gain)
	s.variance.add((x-1)*(x-1), gain)
}

// v returns the slope; 0 while it is unknown.
func (s *slope) v() float64 {
	if s.variance.v <= 0 {
		return 0
	}
	return s.covariance.v / s.variance.v
}

// tokenBucket limits a rate, in tokens per second.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   Time
}

// take refills the bucket, up to depth tokens, and reports whether it could remove one.
func (b *tokenBucket) take(now Time, depth float64) bool {
	b.tokens = min(b.tokens+b.rate*float64(now-b.refilledAt)/second, depth)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// decayingCount counts events, of a key if it is kept for one. The count was n at the time at.
type decayingCount struct {
	key uint64
	n   float64
	at  Time
}

// decayed returns the count now. It decays by the factor e in ten times run, in microseconds.
func (k *decayingCount) decayed(now Time, run float64) float64 {
	return k.n * math.Exp(-float64(now-k.at)/(10*max(1, run)))
}

// increment counts an event now.
func (k *decayingCount) increment(now Time, run float64) { k.n, k.at = k.decayed(now, run)+1, now }

// addKeyCount counts one in a list of limit keys at most, and returns the list. If it is full, a new key
// replaces the one with the lowest count.
func addKeyCount(list []decayingCount, one decayingCount, run float64, limit int) []decayingCount {
	lowest := 0
	for i := range list {
		k := &list[i]
		if k.key == one.key {
			k.increment(one.at, run)
			return list
		}
		if k.decayed(one.at, run) < list[lowest].decayed(one.at, run) {
			lowest = i
		}
	}
	if len(list) < limit {
		return append(list, one)
	}
	list[lowest] = one
	return list
}
