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
	suspicion   *suspicion    // set in StateSuspect only
}

// table holds the other members. Its hash covers the live ones, suspected or not, and this node: two nodes with the same
// hash agree on who is running.
type table struct {
	entries   map[string]*entry
	sorted    []*entry // by name
	liveCount int      // entries that are alive or suspect
	hash      uint64   // exclusive or of the hashes of those and of this node
	members   []Member // cache of Node.Members; nil: invalid
}

// newTable returns a table without members.
func newTable() *table { return &table{entries: map[string]*entry{}} }

// add adds a member that is not in the table.
func (t *table) add(member Member, now time.Duration) *entry {
	added := &entry{Member: member, hash: recordHash(member), stateChange: now}
	t.entries[member.Name] = added
	position, _ := slices.BinarySearchFunc(t.sorted, member.Name, compareEntry)
	t.sorted = slices.Insert(t.sorted, position, added)
	t.account(added, 1)
	return added
}

// remove drops a member that is in the table.
func (t *table) remove(name string) {
	removed := t.entries[name]
	t.account(removed, -1)
	delete(t.entries, name)
	position, _ := slices.BinarySearchFunc(t.sorted, name, compareEntry)
	t.sorted = slices.Delete(t.sorted, position, position+1)
}

// replace gives an entry a new description and state, and ends its suspicion.
func (t *table) replace(changed *entry, member Member, now time.Duration) {
	t.account(changed, -1)
	changed.Member = member
	changed.hash = recordHash(member)
	changed.stateChange = now
	changed.suspicion = nil
	t.account(changed, 1)
}

// account adds an entry to the totals or, with sign -1, removes it. It must enclose every change of an entry.
func (t *table) account(counted *entry, sign int) {
	t.members = nil
	if counted.DeadOrLeft() {
		return
	}
	t.liveCount += sign
	t.hash ^= counted.hash
}

// compareEntry orders entries by name, for binary searches in sorted.
func compareEntry(e *entry, name string) int { return cmp.Compare(e.Name, name) }

// hashBytes is the size of a record's hash in a digest.
const hashBytes = 8

// digest lists the hashes of all records, tombstones and this node's own included, eight bytes each, little-endian.
func (t *table) digest(self Member) []byte {
	digest := make([]byte, 0, hashBytes*(len(t.sorted)+1))
	digest = binary.LittleEndian.AppendUint64(digest, recordHash(self))
	for _, e := range t.sorted {
		digest = binary.LittleEndian.AppendUint64(digest, e.hash)
	}
	return digest
}
