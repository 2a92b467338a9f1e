// Package draw picks an index at random by weight, for the fleet test harness and the simulation in virtual time. It has no
// source of randomness: the caller passes the random number, so that the same seed gives the same picks.
package draw

// CumulativeWeights returns the running sums of n weights, divided by their total, for Pick. No weight may be negative and
// at least one must be above 0.
func CumulativeWeights(n int, weight func(int) float64) []float64 {
	out, sum := make([]float64, n), 0.0
	for i := range out {
		sum += weight(i)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Pick returns the index that a random number from 0 up to but not including 1 selects.
func Pick(cumulative []float64, random float64) int {
	low, high := 0, len(cumulative)-1
	for low < high {
		if mid := (low + high) / 2; cumulative[mid] > random {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
