// Package draw picks among weights, as the rig and the model in virtual time both do. It holds no source of chance: the
// caller draws, so that the same seed gives the same picks.
package draw

// Cumulated gives the running sums of n weights over their total, for Pick. One weight at least has to be above 0.
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

// Pick gives the place that a draw from 0 to under 1 falls to.
func Pick(cumulated []float64, draw float64) int {
	low, high := 0, len(cumulated)-1
	for low < high {
		if mid := (low + high) / 2; cumulated[mid] > draw {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
