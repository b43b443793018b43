package membership

// recordHash hashes the parts of a member's record on which nodes must agree. A suspicion is temporary and is left out. The hashes
// are sent in messages, so the function must not change.
func recordHash(member Member) uint64 {
	hash := uint64(fnvOffset)
	hash = hashString(hash, member.Name)
	if !member.DeadOrLeft() {
		hash = hashString(hash, member.ID)
		hash = hashString(hash, member.Address)
	}
	hash = hashUint64(hash, member.Incarnation)
	if member.DeadOrLeft() {
		hash = hashUint64(hash, 1)
	}
	return mixBits(hash)
}

// The constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString continues an FNV-1a hash with a text and a terminator, 0xff, which does not occur in UTF-8.
func hashString(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return (hash ^ 0xff) * fnvPrime
}

// hashUint64 continues an FNV-1a hash with a number in little-endian order.
func hashUint64(hash, number uint64) uint64 {
	for range hashBytes {
		hash = (hash ^ number&0xff) * fnvPrime
		number >>= 8
	}
	return hash
}

// mixBits is the finalizer of MurmurHash3. It distributes the bits, so that hashes can be combined by XOR.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
