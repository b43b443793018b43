package model

// PickService returns the service for a request with this key: always the same for a key, and over many keys each service by its
// weight. A service of weight 0 is never picked. When weight moves from a service to its neighbour in the list, only the keys of the
// weight that moved change their service.
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

// unitInterval maps keys, including consecutive ones, evenly to 0 to 1 (without 1).
func unitInterval(key uint64) float64 {
	const (
		bits  = 53 // of a float64's mantissa
		scale = 1 << bits
	)
	return float64(splitMix64(key)>>(64-bits)) / scale
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea, Flood 2014): every bit of the key changes about half of the bits of the
// result.
func splitMix64(key uint64) uint64 {
	key += 0x9e3779b97f4a7c15
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	return key ^ key>>31
}
