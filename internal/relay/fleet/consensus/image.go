package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Image is a log as it lies on disk.
type Image struct {
	HardState []byte   `cbor:"1,keyasint,omitempty"` // as raft's protocol buffers, like the others
	Snapshot  []byte   `cbor:"2,keyasint,omitempty"`
	Entries   [][]byte `cbor:"3,keyasint,omitempty"`
	Complete  bool     `cbor:"4,keyasint,omitempty"` // what was there before is void

	// Remembered is what other members have shown that they hold, term and index; for them, should they forget.
	Remembered map[uint64]LogPosition `cbor:"5,keyasint,omitempty"`
}

// LogPosition is how far a member's log goes, at least.
type LogPosition struct {
	Term      uint64 `cbor:"1,keyasint"`
	LastIndex uint64 `cbor:"2,keyasint"`
}

// After tells whether p holds more than q.
func (p LogPosition) After(q LogPosition) bool {
	return p.Term > q.Term || p.Term == q.Term && p.LastIndex > q.LastIndex
}

// Empty tells whether the image has nothing to save. Remembered alone is not saved.
func (i *Image) Empty() bool {
	return len(i.HardState) == 0 && len(i.Snapshot) == 0 && len(i.Entries) == 0
}

func (e *Engine) restore(image *Image) error {
	if len(image.Snapshot) > 0 {
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(image.Snapshot, snap); err != nil {
			return fmt.Errorf("consensus: snapshot: %w", err)
		}
		if err := e.store.ApplySnapshot(snap); err != nil {
			return fmt.Errorf("consensus: snapshot: %w", err)
		}
		e.confState = snap.GetMetadata().GetConfState()
		e.applied = snap.GetMetadata().GetIndex()
		e.snapshotIndex = e.applied
	}
	var entries []*pb.Entry
	for _, b := range image.Entries {
		en := &pb.Entry{}
		if err := proto.Unmarshal(b, en); err != nil {
			return fmt.Errorf("consensus: entry: %w", err)
		}
		if en.GetIndex() <= e.snapshotIndex {
			continue
		}
		// A later entry of the same index replaces it and all behind it.
		if n := len(entries); n > 0 && en.GetIndex() <= entries[n-1].GetIndex() {
			entries = slices.DeleteFunc(entries, func(o *pb.Entry) bool { return o.GetIndex() >= en.GetIndex() })
		}
		if n := len(entries); n > 0 && en.GetIndex() != entries[n-1].GetIndex()+1 || n == 0 && en.GetIndex() != e.snapshotIndex+1 {
			return fmt.Errorf("consensus: entry %d stands where another should", en.GetIndex())
		}
		entries = append(entries, en)
	}
	if err := e.store.Append(entries); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if len(image.HardState) > 0 {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(image.HardState, hard); err != nil {
			return fmt.Errorf("consensus: term and vote: %w", err)
		}
		if last, _ := e.store.LastIndex(); hard.GetCommit() > last {
			return fmt.Errorf("consensus: entries up to %d were agreed on, and the log ends at %d", hard.GetCommit(), last)
		}
		if err := e.store.SetHardState(hard); err != nil {
			return fmt.Errorf("consensus: %w", err)
		}
	}
	return nil
}

// Image returns the complete log as it should lie on disk.
func (e *Engine) Image() (*Image, error) {
	hard, _, err := e.store.InitialState()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	image := &Image{Complete: true}
	if image.HardState, err = proto.Marshal(hard); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	snap, err := e.store.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	if !raft.IsEmptySnap(snap) {
		if image.Snapshot, err = proto.Marshal(snap); err != nil {
			return nil, fmt.Errorf("consensus: %w", err)
		}
	}
	last, _ := e.store.LastIndex()
	from := snap.GetMetadata().GetIndex() + 1
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
	for _, en := range entries {
		b, err := proto.Marshal(en)
		if err != nil {
			return nil, fmt.Errorf("consensus: %w", err)
		}
		image.Entries = append(image.Entries, b)
	}
	return image, nil
}

// discardLogger drops raft's log lines; after a fatal one it panics, see recoverPanic.
type discardLogger struct{}

func (discardLogger) Debug(...any) {}

func (discardLogger) Debugf(string, ...any) {}

func (discardLogger) Info(...any) {}

func (discardLogger) Infof(string, ...any) {}

func (discardLogger) Warning(...any) {}

func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Error(...any) {}

func (discardLogger) Errorf(string, ...any) {}

func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
