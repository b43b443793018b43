package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// entry is what a node holds of one other member.
type entry struct {
	Member
	hash      uint64        // see recordHash
	since     time.Duration // when State became what it is
	suspicion *suspicion    // with StateSuspect
}

// table is the list of the other members. Its hash covers those that are not gone, whatever is suspected of them: two
// nodes with the same hash agree on who is there.
type table struct {
	entries map[string]*entry
	sorted  []*entry // by name
	living  int      // entries that are not gone
	hash    uint64   // combined hash of those, with the node itself
	members []Member // what Members returns; nil: to be made anew
}

func newTable() *table { return &table{entries: map[string]*entry{}} }

func (t *table) add(member Member, now time.Duration) *entry {
	added := &entry{Member: member, hash: recordHash(member), since: now}
	t.entries[member.Name] = added
	position, _ := slices.BinarySearchFunc(t.sorted, member.Name, compareEntry)
	t.sorted = slices.Insert(t.sorted, position, added)
	t.count(added, 1)
	return added
}

func (t *table) remove(name string) {
	removed := t.entries[name]
	t.count(removed, -1)
	delete(t.entries, name)
	position, _ := slices.BinarySearchFunc(t.sorted, name, compareEntry)
	t.sorted = slices.Delete(t.sorted, position, position+1)
}

// replace gives an entry a new description and state.
func (t *table) replace(changed *entry, member Member, now time.Duration) {
	t.count(changed, -1)
	changed.Member = member
	changed.hash = recordHash(member)
	changed.since = now
	changed.suspicion = nil
	t.count(changed, 1)
}

func (t *table) count(counted *entry, sign int) {
	t.members = nil
	if counted.DeadOrLeft() {
		return
	}
	t.living += sign
	t.hash ^= counted.hash
}

func compareEntry(e *entry, name string) int { return cmp.Compare(e.Name, name) }

const hashBytes = 8

// digest lists the hashes of all records, also of those that are gone, and of the node itself.
func (t *table) digest(self Member) []byte {
	digest := make([]byte, 0, hashBytes*(len(t.sorted)+1))
	digest = binary.LittleEndian.AppendUint64(digest, recordHash(self))
	for _, e := range t.sorted {
		digest = binary.LittleEndian.AppendUint64(digest, e.hash)
	}
	return digest
}

// recordHash tells records apart by what must agree between nodes. Suspicion is left out, as it passes.
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
	return spread(hash)
}

// The constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hashString(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return (hash ^ 0xff) * fnvPrime
}

func hashUint64(hash, number uint64) uint64 {
	for range hashBytes {
		hash = (hash ^ number&0xff) * fnvPrime
		number >>= 8
	}
	return hash
}

// spread mixes the bits, so that hashes may be combined by exclusive or.
func spread(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
