package replica

import "hash/fnv"

// randomSource is a SplitMix64 pseudorandom generator. It is a plain value, so that a copy continues the same sequence.
type randomSource uint64

// newRandomSource combines the seed with the identity, so that members with the same seed draw different numbers.
func newRandomSource(seed uint64, id string) randomSource {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return randomSource(seed ^ hash.Sum64())
}

// uint64N returns a number from 0 to limit-1.
func (s *randomSource) uint64N(limit uint64) uint64 {
	*s += 0x9e3779b97f4a7c15
	mixed := uint64(*s)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return (mixed ^ mixed>>31) % limit
}
