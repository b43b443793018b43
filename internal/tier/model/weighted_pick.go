package model

// PickService returns the service for a request with this key. It returns the same service for the same key, and distributes keys over the
// services by weight. A service with weight 0 is never picked. If weight moves from a service to its neighbour in the list, only the keys
// of the moved weight change their service.
func (r *Route) PickService(key uint64) string {
	sum := sumOfWeights(r.WeightedServices)
	if !isUsableSum(sum) {
		return r.Service
	}
	point := unitInterval(key) * sum
	picked := r.Service
	for i := range r.WeightedServices {
		weighted := &r.WeightedServices[i]
		if weighted.Weight <= 0 {
			continue
		}
		picked = weighted.Service
		if point < weighted.Weight {
			break
		}
		point -= weighted.Weight
	}
	return picked
}

// unitInterval maps keys, including consecutive ones, evenly to the interval from 0 (included) to 1 (excluded).
func unitInterval(key uint64) float64 {
	const (
		bits  = 53 // precision of a float64
		scale = 1 << bits
	)
	return float64(splitMix64(key)>>(64-bits)) / scale
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea, Flood 2014): each bit of the key affects about half of the bits of the
// result.
func splitMix64(key uint64) uint64 {
	key += 0x9e3779b97f4a7c15
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	return key ^ key>>31
}
