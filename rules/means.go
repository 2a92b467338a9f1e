package rules

// Means, slopes, counts that fade, and rate buckets. Nothing here decides anything.

import "math"

type ewma struct{ v, n float64 }

// add takes an observation: a plain mean at first, one that forgets later.
func (m *ewma) add(v, gain float64) {
	m.n++
	m.v += (v - m.v) * max(gain, 1/m.n)
}

// slope is the least-squares slope, through the means, of what was seen on what was expected.
type slope struct{ covariance, variance ewma }

func (s *slope) add(x, y, gain float64) {
	s.covariance.add((x-1)*(y-1), gain)
	s.variance.add((x-1)*(x-1), gain)
}

// v is 0 as long as nothing is known.
func (s *slope) v() float64 {
	if s.variance.v <= 0 {
		return 0
	}
	return s.covariance.v / s.variance.v
}

type tokenBucket struct {
	rate, tokens float64
	refilledAt   Time
}

// take fills the bucket, up to most, and takes one out if there is one.
func (b *tokenBucket) take(now Time, most float64) bool {
	b.tokens = min(b.tokens+b.rate*float64(now-b.refilledAt)/second, most)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type decayingCount struct {
	key uint64
	n   float64
	at  Time
}

func (k *decayingCount) decayed(now Time, run float64) float64 {
	return k.n * math.Exp(-float64(now-k.at)/(10*max(1, run)))
}

func (k *decayingCount) increment(now Time, run float64) { k.n, k.at = k.decayed(now, run)+1, now }

// countKey counts the key among a list of the most that ran lately; the least of them gives way to it.
func addKeyCount(list []decayingCount, one decayingCount, run float64, most int) []decayingCount {
	least := 0
	for i := range list {
		k := &list[i]
		if k.key == one.key {
			k.increment(one.at, run)
			return list
		}
		if k.decayed(one.at, run) < list[least].decayed(one.at, run) {
			least = i
		}
	}
	if len(list) < most {
		return append(list, one)
	}
	list[least] = one
	return list
}
