package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Image is the log on disk, or an addition to it.
type Image struct {
	HardState []byte   `cbor:"1,keyasint,omitempty"` // raftpb.HardState, encoded; it replaces an earlier one
	Snapshot  []byte   `cbor:"2,keyasint,omitempty"` // raftpb.Snapshot, encoded
	Entries   [][]byte `cbor:"3,keyasint,omitempty"` // raftpb.Entry, encoded, in order; one replaces all earlier ones from its index on
	Complete  bool     `cbor:"4,keyasint,omitempty"` // it replaces the log on disk

	// Remembered has, by member id, the newest log position that each other member has shown in its messages. A member that asks
	// the others what they remember of it can detect that its disk lost entries.
	Remembered map[uint64]LogPosition `cbor:"5,keyasint,omitempty"`
}

// LogPosition identifies the last entry of a member's log, or the newest that the log is known to have.
type LogPosition struct {
	Term      uint64 `cbor:"1,keyasint"`
	LastIndex uint64 `cbor:"2,keyasint"`
}

// After reports whether a log at p is more up-to-date than one at other, by the rule for elections (Raft, section 5.4.1).
func (p LogPosition) After(other LogPosition) bool {
	return p.Term > other.Term || p.Term == other.Term && p.LastIndex > other.LastIndex
}

// Empty reports whether the image has nothing to save; Remembered alone need not be saved.
func (i *Image) Empty() bool {
	return len(i.HardState) == 0 && len(i.Snapshot) == 0 && len(i.Entries) == 0
}

// restore loads an image into the empty log of a new engine. It returns an EntryGapError or a TruncatedLogError if the image is
// inconsistent, and other errors for parts that can't be decoded.
func (e *Engine) restore(image *Image) error {
	if err := e.restoreSnapshot(image.Snapshot); err != nil {
		return err
	}
	entries, err := decodeEntries(image.Entries, e.snapshotIndex)
	if err != nil {
		return err
	}
	if err = e.store.Append(entries); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return e.restoreHardState(image.HardState)
}

// restoreSnapshot starts the log with an encoded snapshot; empty: without one.
func (e *Engine) restoreSnapshot(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	if err := e.store.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	e.confState = snapshot.GetMetadata().GetConfState()
	e.applied = snapshot.GetMetadata().GetIndex()
	e.snapshotIndex = e.applied
	return nil
}

// decodeEntries decodes the entries after a snapshot. It returns an EntryGapError if their indices are not consecutive.
func decodeEntries(encoded [][]byte, snapshotIndex uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	for _, b := range encoded {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(b, entry); err != nil {
			return nil, fmt.Errorf("consensus: entry: %w", err)
		}
		if entry.GetIndex() <= snapshotIndex {
			continue
		}
		// An entry replaces all earlier ones from its index on.
		if n := len(entries); n > 0 && entry.GetIndex() <= entries[n-1].GetIndex() {
			entries = slices.DeleteFunc(entries, func(former *raftpb.Entry) bool { return former.GetIndex() >= entry.GetIndex() })
		}
		previous := snapshotIndex
		if n := len(entries); n > 0 {
			previous = entries[n-1].GetIndex()
		}
		if entry.GetIndex() != previous+1 {
			return nil, EntryGapError{Index: entry.GetIndex()}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// restoreHardState restores an encoded term, vote and commit index; empty: none.
func (e *Engine) restoreHardState(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	hard := &raftpb.HardState{}
	if err := proto.Unmarshal(encoded, hard); err != nil {
		return fmt.Errorf("consensus: term and vote: %w", err)
	}
	if last, _ := e.store.LastIndex(); hard.GetCommit() > last {
		return TruncatedLogError{Committed: hard.GetCommit(), LastIndex: last}
	}
	if err := e.store.SetHardState(hard); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// Image returns a complete image of the log, without Remembered.
func (e *Engine) Image() (*Image, error) {
	hard, _, err := e.store.InitialState()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	image := &Image{Complete: true}
	if image.HardState, err = proto.Marshal(hard); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	snapshot, err := e.store.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	if !raft.IsEmptySnap(snapshot) {
		if image.Snapshot, err = proto.Marshal(snapshot); err != nil {
			return nil, fmt.Errorf("consensus: %w", err)
		}
	}
	last, _ := e.store.LastIndex()
	from := snapshot.GetMetadata().GetIndex() + 1
	if first, _ := e.store.FirstIndex(); first > from {
		from = first
	}
	if last < from {
		return image, nil
	}
	entries, err := e.store.Entries(from, last+1, 1<<30)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return nil, fmt.Errorf("consensus: %w", err)
		}
		image.Entries = append(image.Entries, encoded)
	}
	return image, nil
}
