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
		line, err := parseRecord(payload[:end])
		if err != nil {
			return fmt.Errorf("%w: %w", errBadRecord, err)
		}
		data, rest, err := splitData(&line, payload[end+1:])
		if err != nil {
			return err
		}
		if err := r.apply(&line, data); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

// splitData returns the data that belongs to a record, and what follows it in the payload.
func splitData(line *record, payload []byte) (data json.RawMessage, rest []byte, err error) {
	if line.Kind != entryRecord {
		return nil, payload, nil
	}
	if line.Size < 0 || line.Size > len(payload) {
		return nil, nil, fmt.Errorf("%w: %d bytes of data, %d are left", errBadRecord, line.Size, len(payload))
	}
	if line.Size > 0 {
		data = payload[:line.Size:line.Size]
	}
	rest = payload[line.Size:]
	if len(rest) == 0 {
		return data, nil, nil
	}
	if rest[0] != '\n' {
		return nil, nil, fmt.Errorf("%w: no line break behind %d bytes of data", errBadRecord, line.Size)
	}
	return data, rest[1:], nil
}

// apply applies one record.
func (r *replayed) apply(line *record, data json.RawMessage) error {
	switch line.Kind {
	case hardStateRecord:
		r.HardState = replica.HardState{Term: line.Term, Vote: line.Vote}
	case snapshotRecord:
		r.Snapshot = &replica.Snapshot{Index: line.Index, Term: line.Term, Members: line.Members, Chunks: line.Chunks}
		r.Entries = nil
	case truncateRecord:
		return r.truncate(line.Index)
	case entryRecord:
		if line.Index != r.lastIndex()+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", errBadRecord, line.Index, r.lastIndex())
		}
		entry := replica.Entry{Index: line.Index, Term: line.Term, Kind: line.EntryKind, Data: data}
		r.Entries = append(r.Entries, entry)
	default:
		return fmt.Errorf("%w: unknown kind %q", errBadRecord, line.Kind)
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
