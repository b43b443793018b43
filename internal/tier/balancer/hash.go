package balancer

// mix scrambles the bits of x with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// toUnitInterval maps a hash to [0, 1).
func toUnitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// hashString returns the FNV-1a hash of s, scrambled by mix. It must be the same in all processes: by it proxies choose the same
// endpoint for an affinity key.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}
