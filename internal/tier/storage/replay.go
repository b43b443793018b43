package storage

import (
	"bytes"
	"encoding/json"
	"fmt"

	"mastusher/internal/tier/replica"
)

// replayState is the recovered state after the records that have been replayed so far.
type replayState struct {
	replica.Recovered
}

// snapshotIndex returns the index of the last entry that the snapshot covers, or 0 without a snapshot.
func (r *replayState) snapshotIndex() uint64 {
	if r.Snapshot == nil {
		return 0
	}
	return r.Snapshot.Index
}

// lastIndex returns the index of the last entry.
func (r *replayState) lastIndex() uint64 { return r.snapshotIndex() + uint64(len(r.Entries)) }

// replay applies the records in a frame's payload in order. The data of the entries are slices of the payload, not copies. An error
// matches errBadRecord.
func (r *replayState) replay(payload []byte) error {
	for len(payload) > 0 {
		end := bytes.IndexByte(payload, '\n')
		if end < 0 {
			return fmt.Errorf("%w: line does not end with a line break", errBadRecord)
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

// splitData returns a record's data and the rest of the payload after it. Only entries have data.
func splitData(rec *record, payload []byte) (data json.RawMessage, rest []byte, err error) {
	if rec.Kind != entryRecord {
		return nil, payload, nil
	}
	if rec.Size < 0 || rec.Size > len(payload) {
		return nil, nil, fmt.Errorf("%w: entry data of %d bytes, but the payload has %d bytes left", errBadRecord, rec.Size, len(payload))
	}
	if rec.Size > 0 {
		data = payload[:rec.Size:rec.Size]
	}
	rest = payload[rec.Size:]
	if len(rest) == 0 {
		return data, nil, nil
	}
	if rest[0] != '\n' {
		return nil, nil, fmt.Errorf("%w: no line break after %d bytes of data", errBadRecord, rec.Size)
	}
	return data, rest[1:], nil
}

// apply applies one record.
func (r *replayState) apply(rec *record, data json.RawMessage) error {
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
			return fmt.Errorf("%w: entry %d does not directly follow entry %d", errBadRecord, rec.Index, r.lastIndex())
		}
		entry := replica.Entry{Index: rec.Index, Term: rec.Term, Kind: rec.EntryKind, Data: data}
		r.Entries = append(r.Entries, entry)
	default:
		return fmt.Errorf("%w: unknown kind %q", errBadRecord, rec.Kind)
	}
	return nil
}

// truncate removes the entries from an index on.
func (r *replayState) truncate(index uint64) error {
	if index <= r.snapshotIndex() {
		return fmt.Errorf("%w: truncation from entry %d, but the snapshot contains the entries up to %d", errBadRecord, index, r.snapshotIndex())
	}
	if index <= r.lastIndex() {
		r.Entries = r.Entries[:index-r.snapshotIndex()-1]
	}
	return nil
}
