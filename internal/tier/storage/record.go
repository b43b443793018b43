package storage

import (
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/replica"
)

// recordKind is the type of a record. Its values are stored on disk.
type recordKind string

// The kinds of record.
const (
	hardStateRecord recordKind = "promise"
	snapshotRecord  recordKind = "snapshot" // metadata of the snapshot in the slot
	truncateRecord  recordKind = "truncate" // removes the entries from its index on
	entryRecord     recordKind = "entry"
)

// record is a line of JSON. The line of an entry is followed by Size bytes of the entry's unmodified data, and a line break, which
// may be missing at the end of the payload.
type record struct {
	Kind      recordKind        `json:"record"`
	Index     uint64            `json:"index,omitempty"`
	Term      uint64            `json:"epoch,omitempty"`
	Vote      string            `json:"vote,omitempty"`
	EntryKind replica.EntryKind `json:"kind,omitempty"`
	Members   []replica.Member  `json:"members,omitempty"`
	Size      int               `json:"size,omitempty"`
	Chunks    int               `json:"parts,omitempty"`
}

// appendRecord appends a record's line.
func appendRecord(buffer []byte, rec *record) ([]byte, error) {
	text, err := json.Marshal(rec)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, text...)
	return append(buffer, '\n'), nil
}

// appendHardState appends the record of a HardState.
func appendHardState(buffer []byte, state replica.HardState) ([]byte, error) {
	return appendRecord(buffer, &record{Kind: hardStateRecord, Term: state.Term, Vote: state.Vote})
}

// appendSnapshot appends the record of a snapshot's metadata.
func appendSnapshot(buffer []byte, snapshot *replica.Snapshot) ([]byte, error) {
	rec := record{Kind: snapshotRecord, Index: snapshot.Index, Term: snapshot.Term,
		Members: snapshot.Members, Chunks: snapshot.Chunks}
	return appendRecord(buffer, &rec)
}

// appendTruncate appends the record that removes all entries from an index on.
func appendTruncate(buffer []byte, index uint64) []byte {
	buffer = append(buffer, `{"record":"truncate","index":`...)
	buffer = strconv.AppendUint(buffer, index, 10)
	return append(buffer, "}\n"...)
}

// appendReady appends the records of a Ready, except for its snapshot. Recovery replays them in this order, so it must not change.
func appendReady(buffer []byte, ready *replica.Ready) ([]byte, error) {
	var err error
	if ready.HardState != nil {
		if buffer, err = appendHardState(buffer, *ready.HardState); err != nil {
			return buffer, err
		}
	}
	if ready.TruncateFrom > 0 {
		buffer = appendTruncate(buffer, ready.TruncateFrom)
	}
	return appendEntries(buffer, ready.Entries), nil
}
