package model

// PickService is the service that a request with this key goes to: always the same for a key, and over many keys each service
// by its share. A service without a share is never picked. When a share moves from a service to the one beside it, only
// the keys of the part that moved are picked anew.
func (r *Route) PickService(key uint64) string {
	total := totalShare(r.WeightedServices)
	if !isUsableTotal(total) {
		return r.Service
	}
	left := unitInterval(key) * total
	picked := r.Service
	for i := range r.WeightedServices {
		share := &r.WeightedServices[i]
		if share.Weight <= 0 {
			continue
		}
		picked = share.Service
		if left < share.Weight {
			break
		}
		left -= share.Weight
	}
	return picked
}

// unitInterval spreads keys, also those that follow one another, evenly over 0 to 1 (without 1).
func unitInterval(key uint64) float64 {
	const (
		bits  = 53 // of a float64's mantissa
		whole = 1 << bits
	)
	return float64(splitMix64(key)>>(64-bits)) / whole
}

// splitMix64 is the finishing step of SplitMix64: every bit of the key changes about half of the bits of the result.
func splitMix64(key uint64) uint64 {
	key += 0x9e3779b97f4a7c15
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	return key ^ key>>31
}
