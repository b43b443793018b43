package storage

import (
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/replica"
)

// recordKind tells what a record holds.
type recordKind string

// The kinds of record.
const (
	promiseRecord  recordKind = "promise"
	snapshotRecord recordKind = "snapshot" // what the parts of a slot stand for
	truncateRecord recordKind = "truncate" // voids the entries from its index on
	entryRecord    recordKind = "entry"
)

// record is a line of JSON. Behind the line of an entry come Size bytes of its data as they are, and a line break unless the
// payload ends there.
type record struct {
	Kind      recordKind        `json:"record"`
	Index     uint64            `json:"index,omitempty"`
	Epoch     uint64            `json:"epoch,omitempty"`
	Vote      string            `json:"vote,omitempty"`
	EntryKind replica.EntryKind `json:"kind,omitempty"`
	Members   []replica.Member  `json:"members,omitempty"`
	Size      int               `json:"size,omitempty"`
	Parts     int               `json:"parts,omitempty"`
}

// appendRecord appends a record's line.
func appendRecord(buffer []byte, line *record) ([]byte, error) {
	text, err := json.Marshal(line)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, text...)
	return append(buffer, '\n'), nil
}

// appendPromise appends a promise.
func appendPromise(buffer []byte, promise replica.HardState) ([]byte, error) {
	return appendRecord(buffer, &record{Kind: promiseRecord, Epoch: promise.Term, Vote: promise.Vote})
}

// appendSnapshot appends a snapshot without its state.
func appendSnapshot(buffer []byte, snapshot *replica.Snapshot) ([]byte, error) {
	line := record{Kind: snapshotRecord, Index: snapshot.Index, Epoch: snapshot.Term,
		Members: snapshot.Members, Parts: snapshot.Chunks}
	return appendRecord(buffer, &line)
}

// appendTruncate appends the cut of all entries from an index on.
func appendTruncate(buffer []byte, index uint64) []byte {
	buffer = append(buffer, `{"record":"truncate","index":`...)
	buffer = strconv.AppendUint(buffer, index, 10)
	return append(buffer, "}\n"...)
}

// appendEffects appends all that one step has to save, apart from snapshots.
func appendEffects(buffer []byte, effects *replica.Ready) ([]byte, error) {
	var err error
	if effects.HardState != nil {
		if buffer, err = appendPromise(buffer, *effects.HardState); err != nil {
			return buffer, err
		}
	}
	if effects.TruncateFrom > 0 {
		buffer = appendTruncate(buffer, effects.TruncateFrom)
	}
	return appendEntries(buffer, effects.Entries), nil
}
