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
	hash        uint64        // see recordHash
	stateChange time.Duration // when State became what it is
	suspicion   *suspicion    // with StateSuspect
}

// table is the list of the other members. Its hash covers those that are not gone, whatever is suspected of them: two
// nodes with the same hash agree on who is there.
type table struct {
	entries   map[string]*entry
	sorted    []*entry // from name
	liveCount int      // entries that are not gone
	hash      uint64   // combined hash of those, with the node itself
	members   []Member // what Members returns; nil: to be made anew
}

func newTable() *table { return &table{entries: map[string]*entry{}} }

func (t *table) add(member Member, now time.Duration) *entry {
	added := &entry{Member: member, hash: recordHash(member), stateChange: now}
	t.entries[member.Name] = added
	position, _ := slices.BinarySearchFunc(t.sorted, member.Name, compareEntry)
	t.sorted = slices.Insert(t.sorted, position, added)
	t.account(added, 1)
	return added
}

func (t *table) remove(name string) {
	removed := t.entries[name]
	t.account(removed, -1)
	delete(t.entries, name)
	position, _ := slices.BinarySearchFunc(t.sorted, name, compareEntry)
	t.sorted = slices.Delete(t.sorted, position, position+1)
}

// replace gives an entry a new description and state.
func (t *table) replace(changed *entry, member Member, now time.Duration) {
	t.account(changed, -1)
	changed.Member = member
	changed.hash = recordHash(member)
	changed.stateChange = now
	changed.suspicion = nil
	t.account(changed, 1)
}

func (t *table) account(counted *entry, sign int) {
	t.members = nil
	if counted.DeadOrLeft() {
		return
	}
	t.liveCount += sign
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
