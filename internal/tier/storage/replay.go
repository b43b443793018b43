package storage

import (
	"bytes"
	"encoding/json"
	"fmt"

	"mastusher/internal/tier/replica"
)

// replayed is what a member recovers, as far as records have been replayed.
type replayed struct {
	replica.Recovered
}

// snapshotIndex returns the index up to which the snapshot stands for the entries.
func (r *replayed) snapshotIndex() uint64 {
	if r.Snapshot == nil {
		return 0
	}
	return r.Snapshot.Index
}

// lastIndex returns the index of the last entry.
func (r *replayed) lastIndex() uint64 { return r.snapshotIndex() + uint64(len(r.Entries)) }

// replay applies the records of a frame's payload in order. The entries' data are slices of the payload, not copies. An error
// matches errBadRecord.
func (r *replayed) replay(payload []byte) error {
	for len(payload) > 0 {
		end := bytes.IndexByte(payload, '\n')
		if end < 0 {
			return fmt.Errorf("%w: no line break behind it", errBadRecord)
		}
		rec, err := parseRecord(payload[:end])
		if err != nil {
			return fmt.Errorf("%w: %w", errBadRecord, err)
		}
		data, rest, err := splitData(&rec, payload[end+1:])
		if err != nil {
			return err
		}
		if err := r.apply(&rec, data); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

// splitData returns the data that belongs to a record, and what follows it in the payload.
func splitData(rec *record, payload []byte) (data json.RawMessage, rest []byte, err error) {
	if rec.Kind != entryRecord {
		return nil, payload, nil
	}
	if rec.Size < 0 || rec.Size > len(payload) {
		return nil, nil, fmt.Errorf("%w: %d bytes of data, %d are left", errBadRecord, rec.Size, len(payload))
	}
	if rec.Size > 0 {
		data = payload[:rec.Size:rec.Size]
	}
	rest = payload[rec.Size:]
	if len(rest) == 0 {
		return data, nil, nil
	}
	if rest[0] != '\n' {
		return nil, nil, fmt.Errorf("%w: no line break behind %d bytes of data", errBadRecord, rec.Size)
	}
	return data, rest[1:], nil
}

// apply applies one record.
func (r *replayed) apply(rec *record, data json.RawMessage) error {
	switch rec.Kind {
	case hardStateRecord:
		r.HardState = replica.HardState{Term: rec.Term, Vote: rec.Vote}
	case snapshotRecord:
		r.Snapshot = &replica.Snapshot{Index: rec.Index, Term: rec.Term, Members: rec.Members, Chunks: rec.Chunks}
		r.Entries = nil
	case truncateRecord:
		return r.truncate(rec.Index)
	case entryRecord:
		if rec.Index != r.lastIndex()+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", errBadRecord, rec.Index, r.lastIndex())
		}
		entry := replica.Entry{Index: rec.Index, Term: rec.Term, Kind: rec.EntryKind, Data: data}
		r.Entries = append(r.Entries, entry)
	default:
		return fmt.Errorf("%w: unknown kind %q", errBadRecord, rec.Kind)
	}
	return nil
}

// truncate drops the entries from an index on.
func (r *replayed) truncate(index uint64) error {
	if index <= r.snapshotIndex() {
		return fmt.Errorf("%w: truncation at %d, within the snapshot up to %d", errBadRecord, index, r.snapshotIndex())
	}
	if index <= r.lastIndex() {
		r.Entries = r.Entries[:index-r.snapshotIndex()-1]
	}
	return nil
}
