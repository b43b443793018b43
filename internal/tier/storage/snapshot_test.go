package storage_test

import (
	"encoding/json"
	"errors"
	"testing"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// Given a snapshot that is received in chunks, when the chunks are saved, then each takes one write and no sync, and entries can
// still be saved to the log in between. Only the installation syncs the slot and begins a new log.
func TestSave_ReceivedChunks_TakeOneWriteAndNoSync(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 9}, {Compact: true, Remaining: 1}, {Entries: 1}})
	snapshot := snapshotAt(9, 1, 3)
	chunks := chunksOf(snapshot)
	for _, chunk := range chunks[:3] {
		before := m.disk.Counts()
		if err := group.Save(&replica.Ready{ReceivedChunks: []replica.Chunk{chunk}}); err != nil {
			t.Fatal(err)
		}
		after := m.disk.Counts()
		if after.Writes-before.Writes != 1 || after.Syncs != before.Syncs || after.DirSyncs != before.DirSyncs {
			t.Fatalf("chunk %d: counts before %+v, after %+v, want one more write and no more syncs", chunk.Number, before, after)
		}
		if err := m.apply(group, step{Entries: 1, Bytes: 5}); err != nil {
			t.Fatal(err)
		}
	}
	last := &replica.Ready{ReceivedChunks: chunks[3:], Snapshot: snapshot, Entries: []replica.Entry{entryAt(10, 1, 4)}}
	if err := group.Save(last); err != nil {
		t.Fatal(err)
	}
	m.allowed = []savedState{m.saved.with(last)}
	m.disk.LosePower(3)
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a member with a slot, when its process crashes at any change while it receives and installs a snapshot, then it recovers
// either the former state or the complete snapshot.
func TestInstall_CrashAtAnyChange_IsAtomic(t *testing.T) {
	prelude := []step{{TermIncrement: 1, Entries: 3, Bytes: 9}, {Compact: true, Remaining: 1}, {Entries: 1}}
	receive := func(group *storage.Group) error {
		snapshot := snapshotAt(9, 1, 3)
		for _, chunk := range chunksOf(snapshot) {
			ready := &replica.Ready{ReceivedChunks: []replica.Chunk{chunk}}
			if chunk.Number == snapshot.Chunks-1 {
				ready.Snapshot = snapshot
			}
			if err := group.Save(ready); err != nil {
				return err
			}
		}
		return nil
	}
	complete := newTestMember(unwrapped)
	group := mustApply(t, complete, prelude)
	before := complete.disk.Counts().Changes
	if err := receive(group); err != nil {
		t.Fatal(err)
	}
	for change := range complete.disk.Counts().Changes - before {
		for _, effect := range []memorydisk.Effect{memorydisk.NotApplied, memorydisk.Torn, memorydisk.Applied} {
			for seed := range uint64(powerLossSeeds) {
				m := newTestMember(unwrapped)
				group := mustApply(t, m, prelude)
				m.disk.CrashAt(change, effect)
				if err := receive(group); err == nil {
					t.Fatal("the installation succeeded, want a crash")
				}
				m.allowed = []savedState{m.saved, m.saved.with(&replica.Ready{Snapshot: snapshotAt(9, 1, 3)})}
				if seed == 0 {
					m.disk.Kill()
				} else {
					m.disk.LosePower(seed)
				}
				if err := m.recoverTwice(); err != nil {
					t.Fatalf("change %d, effect %d, seed %d: %v", change, effect, seed, err)
				}
			}
		}
	}
}

// Given a member that is receiving a snapshot, when it compacts or another snapshot begins, then the first snapshot is dropped, and
// its further chunks fail the group.
func TestInstall_SnapshotAbandoned_Fails(t *testing.T) {
	for name, begin := range map[string]func(m *testMember, group *storage.Group) error{
		"compaction": func(m *testMember, group *storage.Group) error {
			return m.apply(group, step{Compact: true, Remaining: 1})
		},
		"another snapshot": func(_ *testMember, group *storage.Group) error {
			return group.Save(&replica.Ready{ReceivedChunks: chunksOf(snapshotAt(7, 1, 2))[:1]})
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 9}, {Compact: true, Remaining: 2}})
			snapshot := snapshotAt(9, 1, 3)
			chunks := chunksOf(snapshot)
			if err := group.Save(&replica.Ready{ReceivedChunks: chunks[:3]}); err != nil {
				t.Fatal(err)
			}
			if err := begin(m, group); err != nil {
				t.Fatal(err)
			}
			wantFailed(t, group.Save(&replica.Ready{ReceivedChunks: chunks[3:], Snapshot: snapshot}))
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Given a member that has received a chunk of a snapshot, when the following chunk isn't the next one, or the incomplete snapshot is
// to be installed, then Save fails and the saved state is kept.
func TestSave_ChunkOutOfOrder_Fails(t *testing.T) {
	snapshot := snapshotAt(9, 1, 3)
	chunks := chunksOf(snapshot)
	for name, ready := range map[string]replica.Ready{
		"gap":                      {ReceivedChunks: chunks[2:3]},
		"repeated chunk":           {ReceivedChunks: []replica.Chunk{{Number: 1, Data: chunks[1].Data}, {Number: 1, Data: chunks[1].Data}}},
		"installed early":          {ReceivedChunks: chunks[1:2], Snapshot: snapshot},
		"fewer chunks in metadata": {ReceivedChunks: chunks[1:4], Snapshot: snapshotAt(9, 1, 2)},
		"installed and truncated":  {ReceivedChunks: chunks[1:4], Snapshot: snapshot, TruncateFrom: 10},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 9}, {Compact: true, Remaining: 2}})
			if err := group.Save(&replica.Ready{ReceivedChunks: chunks[:1]}); err != nil {
				t.Fatal(err)
			}
			err := group.Save(&ready)
			wantFailed(t, err)
			if !errors.Is(err, storage.ErrChunkOrder) {
				t.Errorf("got %v, want ErrChunkOrder as its cause", err)
			}
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Given a slot of several frames, when it is truncated at any length, frames are missing, repeated or out of order, or bytes follow
// the last frame, then Open returns a CorruptError.
func TestOpen_IncompleteSlot_IsCorrupt(t *testing.T) {
	newMember := func() *testMember {
		member := newTestMember(unwrapped)
		mustApply(t, member, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}, {Compact: true, Remaining: 1, Bytes: 3}, {Entries: 1, Bytes: 20}})
		return member
	}
	complete := content(t, newMember().disk, firstSlot)
	for size := range int64(len(complete)) {
		member := newMember()
		if err := truncateFile(member.disk, firstSlot, size); err != nil {
			t.Fatal(err)
		}
		wantCorrupt(t, member, "slot truncated", size)
	}
	frames := framesOf(complete)
	if len(frames) != 5 {
		t.Fatalf("the slot has %d frames, want 4 chunks and the last frame", len(frames))
	}
	join := func(numbers ...int) []byte {
		var joined []byte
		for _, number := range numbers {
			joined = append(joined, frames[number]...)
		}
		return joined
	}
	for name, damaged := range map[string][]byte{
		"chunk missing":            join(0, 1, 3, 4),
		"first chunk missing":      join(1, 2, 3, 4),
		"last frame missing":       join(0, 1, 2, 3),
		"chunk repeated":           join(0, 1, 1, 2, 3, 4),
		"chunks out of order":      join(0, 2, 1, 3, 4),
		"last frame in the middle": join(0, 1, 4, 2, 3),
		"byte after last frame":    append(join(0, 1, 2, 3, 4), 0),
	} {
		member := newMember()
		if err := write(member.disk, firstSlot, damaged); err != nil {
			t.Fatal(err)
		}
		wantCorrupt(t, member, name, 0)
	}
}

// framesOf splits a file's content into its frames.
func framesOf(content []byte) [][]byte {
	const lengthAt, headerBytes = 20, 28
	var frames [][]byte
	for len(content) > 0 {
		length := int(content[lengthAt])<<24 | int(content[lengthAt+1])<<16 | int(content[lengthAt+2])<<8 | int(content[lengthAt+3])
		frames = append(frames, content[:headerBytes+length])
		content = content[headerBytes+length:]
	}
	return frames
}

// content returns the content of a file.
func content(t *testing.T, disk storage.Disk, name string) []byte {
	t.Helper()
	file, err := disk.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	data, err := file.ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Given a slot that is damaged while its member is running, when its chunks are read, then damage in any chunk is a CorruptError.
func TestReadChunks_SlotDamaged_IsCorrupt(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}, {Compact: true, Remaining: 1, Bytes: 3}})
	chunksEnd := group.SnapshotBytes() - endBytes(t, m.disk)
	for offset := range group.SnapshotBytes() {
		if err := m.disk.Corrupt(firstSlot, offset); err != nil {
			t.Fatal(err)
		}
		var corrupt *storage.CorruptError
		read := 0
		err := group.ReadChunks(func(json.RawMessage) error { read++; return nil })
		if isChunk := offset < chunksEnd; isChunk != errors.As(err, &corrupt) {
			t.Fatalf("byte %d, %d chunks read: got error %v, want a CorruptError only for damage in a chunk", offset, read, err)
		}
		if err := m.disk.Corrupt(firstSlot, offset); err != nil {
			t.Fatal(err)
		}
	}
}

// endBytes returns the length of a slot's last frame.
func endBytes(t *testing.T, disk storage.Disk) int64 {
	frames := framesOf(content(t, disk, firstSlot))
	return int64(len(frames[len(frames)-1]))
}

// Given a compaction, when its source has no chunks or fails, then the group has failed and the saved state is kept.
func TestCompact_NoChunks_Fails(t *testing.T) {
	errSource := errors.New("the chunk source failed")
	for name, test := range map[string]struct {
		chunks storage.ChunkSource
		cause  error
	}{
		"no chunks": {func(func(json.RawMessage) error) error { return nil }, storage.ErrNoChunks},
		"source fails": {func(write func(json.RawMessage) error) error {
			if err := write(json.RawMessage(`1`)); err != nil {
				return err
			}
			return errSource
		}, errSource},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}})
			err := group.Compact(*snapshotAt(2, 1, 1), test.chunks, nil, replica.HardState{Term: 1})
			wantFailed(t, err)
			if !errors.Is(err, test.cause) {
				t.Errorf("got %v, want %v as its cause", err, test.cause)
			}
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
