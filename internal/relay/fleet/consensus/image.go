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
	Hard     []byte   `cbor:"1,keyasint,omitempty"` // as raft's protocol buffers, like the others
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Entries  [][]byte `cbor:"3,keyasint,omitempty"`
	Whole    bool     `cbor:"4,keyasint,omitempty"` // what was there before is void

	// Memory is what other members have shown that they hold, term and index; for them, should they forget.
	Memory map[uint64]Position `cbor:"5,keyasint,omitempty"`
}

// Position is how far a member's log goes, at least.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	Last uint64 `cbor:"2,keyasint"`
}

// Beyond tells whether p holds more than q.
func (p Position) Beyond(q Position) bool {
	return p.Term > q.Term || p.Term == q.Term && p.Last > q.Last
}

// Empty tells whether nothing stands there.
func (i *Image) Empty() bool { return len(i.Hard) == 0 && len(i.Snapshot) == 0 && len(i.Entries) == 0 }

func (e *Engine) load(image *Image) error {
	if len(image.Snapshot) > 0 {
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(image.Snapshot, snap); err != nil {
			return fmt.Errorf("agree: snapshot: %w", err)
		}
		if err := e.store.ApplySnapshot(snap); err != nil {
			return fmt.Errorf("agree: snapshot: %w", err)
		}
		e.conf = snap.GetMetadata().GetConfState()
		e.applied = snap.GetMetadata().GetIndex()
		e.snapped = e.applied
	}
	var entries []*pb.Entry
	for _, b := range image.Entries {
		en := &pb.Entry{}
		if err := proto.Unmarshal(b, en); err != nil {
			return fmt.Errorf("agree: entry: %w", err)
		}
		if en.GetIndex() <= e.snapped {
			continue
		}
		// A later entry of the same place replaces what stood there and behind it.
		if n := len(entries); n > 0 && en.GetIndex() <= entries[n-1].GetIndex() {
			entries = slices.DeleteFunc(entries, func(o *pb.Entry) bool { return o.GetIndex() >= en.GetIndex() })
		}
		if n := len(entries); n > 0 && en.GetIndex() != entries[n-1].GetIndex()+1 || n == 0 && en.GetIndex() != e.snapped+1 {
			return fmt.Errorf("agree: entry %d stands where another should", en.GetIndex())
		}
		entries = append(entries, en)
	}
	if err := e.store.Append(entries); err != nil {
		return fmt.Errorf("agree: %w", err)
	}
	if len(image.Hard) > 0 {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(image.Hard, hard); err != nil {
			return fmt.Errorf("agree: term and vote: %w", err)
		}
		if last, _ := e.store.LastIndex(); hard.GetCommit() > last {
			return fmt.Errorf("agree: entries up to %d were agreed on, and the log ends at %d", hard.GetCommit(), last)
		}
		if err := e.store.SetHardState(hard); err != nil {
			return fmt.Errorf("agree: %w", err)
		}
	}
	return nil
}

// Image is the whole log as it should lie on disk.
func (e *Engine) Image() (*Image, error) {
	hard, _, err := e.store.InitialState()
	if err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	image := &Image{Whole: true}
	if image.Hard, err = proto.Marshal(hard); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	snap, err := e.store.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	if !raft.IsEmptySnap(snap) {
		if image.Snapshot, err = proto.Marshal(snap); err != nil {
			return nil, fmt.Errorf("agree: %w", err)
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
		return nil, fmt.Errorf("agree: %w", err)
	}
	for _, en := range entries {
		b, err := proto.Marshal(en)
		if err != nil {
			return nil, fmt.Errorf("agree: %w", err)
		}
		image.Entries = append(image.Entries, b)
	}
	return image, nil
}

// quiet drops what raft says of itself, but for what it can't go on after; see catch.
type quiet struct{}

func (quiet) Debug(...any) {}

func (quiet) Debugf(string, ...any) {}

func (quiet) Info(...any) {}

func (quiet) Infof(string, ...any) {}

func (quiet) Warning(...any) {}

func (quiet) Warningf(string, ...any) {}

func (quiet) Error(...any) {}

func (quiet) Errorf(string, ...any) {}

func (quiet) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
