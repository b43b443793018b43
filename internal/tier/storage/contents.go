package storage

import (
	"bytes"
	"encoding/json"
	"fmt"

	"mastusher/internal/tier/replica"
)

// contents folds records into what a member recovers.
type contents struct {
	replica.Recovered
}

// base returns the index that the snapshot stands for.
func (c *contents) base() uint64 {
	if c.Snapshot == nil {
		return 0
	}
	return c.Snapshot.Index
}

// last returns the index of the last entry.
func (c *contents) last() uint64 { return c.base() + uint64(len(c.Entries)) }

// fold applies the records of a payload. Data are parts of the payload, not copies.
func (c *contents) fold(payload []byte) error {
	for len(payload) > 0 {
		end := bytes.IndexByte(payload, '\n')
		if end < 0 {
			return fmt.Errorf("a record has no end")
		}
		line, err := parseRecord(payload[:end])
		if err != nil {
			return fmt.Errorf("a record cannot be read: %w", err)
		}
		payload = payload[end+1:]
		data, rest, err := cutData(&line, payload)
		if err != nil {
			return err
		}
		if err := c.apply(&line, data); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

// cutData returns the bytes that belong to a record, and what follows them.
func cutData(line *record, payload []byte) (data json.RawMessage, rest []byte, err error) {
	if line.Kind != entryRecord {
		return nil, payload, nil
	}
	if line.Size < 0 || line.Size > len(payload) {
		return nil, nil, fmt.Errorf("a record is longer than what follows it")
	}
	if line.Size > 0 {
		data = payload[:line.Size:line.Size]
	}
	rest = payload[line.Size:]
	if len(rest) == 0 {
		return data, nil, nil
	}
	if rest[0] != '\n' {
		return nil, nil, fmt.Errorf("a record is longer than it states")
	}
	return data, rest[1:], nil
}

// apply folds one record in.
func (c *contents) apply(line *record, data json.RawMessage) error {
	switch line.Kind {
	case promiseRecord:
		c.HardState = replica.HardState{Term: line.Epoch, Vote: line.Vote}
	case snapshotRecord:
		c.Snapshot = &replica.Snapshot{Index: line.Index, Term: line.Epoch, Members: line.Members, Chunks: line.Parts}
		c.Entries = nil
	case truncateRecord:
		return c.truncate(line.Index)
	case entryRecord:
		if line.Index != c.last()+1 {
			return fmt.Errorf("entry %d follows entry %d", line.Index, c.last())
		}
		entry := replica.Entry{Index: line.Index, Term: line.Epoch, Kind: line.EntryKind, Data: data}
		c.Entries = append(c.Entries, entry)
	default:
		return fmt.Errorf("unknown record %q", line.Kind)
	}
	return nil
}

// truncate drops the entries from an index on.
func (c *contents) truncate(index uint64) error {
	if index <= c.base() {
		return fmt.Errorf("a cut at %d lies within the snapshot up to %d", index, c.base())
	}
	if index <= c.last() {
		c.Entries = c.Entries[:index-c.base()-1]
	}
	return nil
}
