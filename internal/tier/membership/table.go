package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// entry is the record of one other member.
type entry struct {
	Member
	hash        uint64        // see recordHash
	stateChange time.Duration // when State last changed
	suspicion   *suspicion    // set only in StateSuspect
}

// table holds the records of the other members. Its hash covers this node and the members that are alive or suspect: two nodes with
// the same hash agree on the running members.
type table struct {
	entries   map[string]*entry
	sorted    []*entry // by name
	liveCount int      // entries that are alive or suspect
	hash      uint64   // XOR of the record hashes of these entries and of this node
	members   []Member // cached result of Node.Members; nil: invalid
}

// newTable returns a table without members.
func newTable() *table { return &table{entries: map[string]*entry{}} }

// add adds a member that is not in the table.
func (t *table) add(member Member, now time.Duration) *entry {
	added := &entry{Member: member, hash: recordHash(member), stateChange: now}
	t.entries[member.Name] = added
	position, _ := slices.BinarySearchFunc(t.sorted, member.Name, compareEntry)
	t.sorted = slices.Insert(t.sorted, position, added)
	t.addToTotals(added, 1)
	return added
}

// remove deletes a member that is in the table.
func (t *table) remove(name string) {
	removed := t.entries[name]
	t.addToTotals(removed, -1)
	delete(t.entries, name)
	position, _ := slices.BinarySearchFunc(t.sorted, name, compareEntry)
	t.sorted = slices.Delete(t.sorted, position, position+1)
}

// replace sets a new record and ends any suspicion of the entry.
func (t *table) replace(changed *entry, member Member, now time.Duration) {
	t.addToTotals(changed, -1)
	changed.Member = member
	changed.hash = recordHash(member)
	changed.stateChange = now
	changed.suspicion = nil
	t.addToTotals(changed, 1)
}

// addToTotals adds an entry to liveCount and hash or, with sign -1, removes it. Every change of an entry must be enclosed by two calls.
func (t *table) addToTotals(counted *entry, sign int) {
	t.members = nil
	if counted.DeadOrLeft() {
		return
	}
	t.liveCount += sign
	t.hash ^= counted.hash
}

// compareEntry compares an entry with a name, for binary searches in sorted.
func compareEntry(e *entry, name string) int { return cmp.Compare(e.Name, name) }

// hashBytes is the size of a record's hash in a digest.
const hashBytes = 8

// digest encodes the hashes of all records, including tombstones and this node's own, as eight little-endian bytes each.
func (t *table) digest(self Member) []byte {
	digest := make([]byte, 0, hashBytes*(len(t.sorted)+1))
	digest = binary.LittleEndian.AppendUint64(digest, recordHash(self))
	for _, e := range t.sorted {
		digest = binary.LittleEndian.AppendUint64(digest, e.hash)
	}
	return digest
}
