package storage_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// Given a snapshot that comes in parts, when they are saved, then each takes one write and none a sync, and entries that are
// saved meanwhile go to the log as ever. Only the last step syncs the slot and begins a new log.
func TestPartsAreWrittenWithoutASync(t *testing.T) {
	m := newMember(asItIs)
	group := mustPlay(t, m, []step{{Raise: 1, Entries: 3, Bytes: 9}, {Compact: true, Keep: 1}, {Entries: 1}})
	snapshot := snapshotAt(9, 1, 3)
	parts := partsOf(snapshot)
	for _, part := range parts[:3] {
		before := m.disk.Counts()
		if err := group.Save(&replica.Ready{ReceivedChunks: []replica.Chunk{part}}); err != nil {
			t.Fatal(err)
		}
		after := m.disk.Counts()
		if after.Writes-before.Writes != 1 || after.Syncs != before.Syncs || after.DirSyncs != before.DirSyncs {
			t.Fatalf("part %d: before %+v, after %+v", part.Number, before, after)
		}
		if err := m.take(group, step{Entries: 1, Bytes: 5}); err != nil {
			t.Fatal(err)
		}
	}
	last := &replica.Ready{ReceivedChunks: parts[3:], Snapshot: snapshot, Entries: []replica.Entry{entryAt(10, 1, 4)}}
	if err := group.Save(last); err != nil {
		t.Fatal(err)
	}
	m.possible = []state{m.saved.with(last)}
	m.disk.LosePower(3)
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a member with a slot, when a snapshot is being received and its process ends at any change, in any way, then it is
// either as before or has the whole snapshot.
func TestReceivingIsStoppedAnywhere(t *testing.T) {
	prelude := []step{{Raise: 1, Entries: 3, Bytes: 9}, {Compact: true, Keep: 1}, {Entries: 1}}
	receive := func(group *storage.Group) error {
		snapshot := snapshotAt(9, 1, 3)
		for _, part := range partsOf(snapshot) {
			effects := &replica.Ready{ReceivedChunks: []replica.Chunk{part}}
			if part.Number == snapshot.Chunks-1 {
				effects.Snapshot = snapshot
			}
			if err := group.Save(effects); err != nil {
				return err
			}
		}
		return nil
	}
	whole := newMember(asItIs)
	group := mustPlay(t, whole, prelude)
	before := whole.disk.Counts().Changes
	if err := receive(group); err != nil {
		t.Fatal(err)
	}
	for change := range whole.disk.Counts().Changes - before {
		for _, effect := range []memorydisk.Effect{memorydisk.NotApplied, memorydisk.Torn, memorydisk.Applied} {
			for seed := range uint64(lossSeeds) {
				m := newMember(asItIs)
				group := mustPlay(t, m, prelude)
				m.disk.CrashAt(change, effect)
				if err := receive(group); err == nil {
					t.Fatal("it was not stopped")
				}
				m.possible = []state{m.saved, m.saved.with(&replica.Ready{Snapshot: snapshotAt(9, 1, 3)})}
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

// Given a member that receives a snapshot, when it compacts or another snapshot begins, then the first one is given up, and
// parts of it are refused.
func TestASnapshotThatIsGivenUpIsNotInstalled(t *testing.T) {
	for name, begin := range map[string]func(m *member, group *storage.Group) error{
		"compaction": func(m *member, group *storage.Group) error { return m.take(group, step{Compact: true, Keep: 1}) },
		"another snapshot": func(_ *member, group *storage.Group) error {
			return group.Save(&replica.Ready{ReceivedChunks: partsOf(snapshotAt(7, 1, 2))[:1]})
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMember(asItIs)
			group := mustPlay(t, m, []step{{Raise: 1, Entries: 3, Bytes: 9}, {Compact: true, Keep: 2}})
			snapshot := snapshotAt(9, 1, 3)
			parts := partsOf(snapshot)
			if err := group.Save(&replica.Ready{ReceivedChunks: parts[:3]}); err != nil {
				t.Fatal(err)
			}
			if err := begin(m, group); err != nil {
				t.Fatal(err)
			}
			wantBroken(t, group.Save(&replica.Ready{ReceivedChunks: parts[3:], Snapshot: snapshot}))
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Given a member that has received a part of a snapshot, when another one than the next comes, or it is to be installed before it is
// whole, then that is refused and what was saved stays.
func TestAPartThatDoesNotFollowIsRefused(t *testing.T) {
	snapshot := snapshotAt(9, 1, 3)
	parts := partsOf(snapshot)
	for name, effects := range map[string]replica.Ready{
		"a gap":             {ReceivedChunks: parts[2:3]},
		"the same again":    {ReceivedChunks: []replica.Chunk{{Number: 1, Data: parts[1].Data}, {Number: 1, Data: parts[1].Data}}},
		"installed early":   {ReceivedChunks: parts[1:2], Snapshot: snapshot},
		"installed shorter": {ReceivedChunks: parts[1:4], Snapshot: snapshotAt(9, 1, 2)},
		"installed and cut": {ReceivedChunks: parts[1:4], Snapshot: snapshot, TruncateFrom: 10},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMember(asItIs)
			group := mustPlay(t, m, []step{{Raise: 1, Entries: 3, Bytes: 9}, {Compact: true, Keep: 2}})
			if err := group.Save(&replica.Ready{ReceivedChunks: parts[:1]}); err != nil {
				t.Fatal(err)
			}
			wantBroken(t, group.Save(&effects))
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Given a slot of several frames, when it is cut at any length, or frames of it are missing, repeated or of another
// generation, then the disk is refused.
func TestASlotThatIsNotWholeIsRefused(t *testing.T) {
	made := func() *member {
		m := newMember(asItIs)
		mustPlay(t, m, []step{{Raise: 1, Entries: 2, Bytes: 20}, {Compact: true, Keep: 1, Bytes: 3}, {Entries: 1, Bytes: 20}})
		return m
	}
	whole := content(t, made().disk, firstSlot)
	for size := range int64(len(whole)) {
		m := made()
		if err := cut(m.disk, firstSlot, size); err != nil {
			t.Fatal(err)
		}
		wantDamage(t, m, "slot cut", size)
	}
	frames := framesOf(whole)
	if len(frames) != 5 {
		t.Fatalf("%d frames, want 4 parts and the end", len(frames))
	}
	join := func(numbers ...int) []byte {
		var joined []byte
		for _, number := range numbers {
			joined = append(joined, frames[number]...)
		}
		return joined
	}
	for name, spoilt := range map[string][]byte{
		"a part missing":     join(0, 1, 3, 4),
		"first part missing": join(1, 2, 3, 4),
		"end missing":        join(0, 1, 2, 3),
		"a part twice":       join(0, 1, 1, 2, 3, 4),
		"order":              join(0, 2, 1, 3, 4),
		"end in the middle":  join(0, 1, 4, 2, 3),
		"more behind it":     append(join(0, 1, 2, 3, 4), 0),
	} {
		m := made()
		if err := write(m.disk, firstSlot, spoilt); err != nil {
			t.Fatal(err)
		}
		wantDamage(t, m, name, 0)
	}
}

// framesOf cuts a file's content into its frames.
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

// Given a slot that is damaged while its member runs, when its parts are read, then that is found.
func TestDamageIsFoundWhenPartsAreRead(t *testing.T) {
	m := newMember(asItIs)
	group := mustPlay(t, m, []step{{Raise: 1, Entries: 2, Bytes: 20}, {Compact: true, Keep: 1, Bytes: 3}})
	partsEnd := group.SnapshotBytes() - endBytes(t, m.disk)
	for offset := range group.SnapshotBytes() {
		if err := m.disk.Corrupt(firstSlot, offset); err != nil {
			t.Fatal(err)
		}
		var damage *storage.CorruptError
		read := 0
		err := group.ReadChunks(func(json.RawMessage) error { read++; return nil })
		if isPart := offset < partsEnd; isPart != errors.As(err, &damage) {
			t.Fatalf("byte %d, %d parts read: got %v", offset, read, err)
		}
		if err := m.disk.Corrupt(firstSlot, offset); err != nil {
			t.Fatal(err)
		}
	}
}

// endBytes is the length of a slot's last frame.
func endBytes(t *testing.T, disk storage.Disk) int64 {
	frames := framesOf(content(t, disk, firstSlot))
	return int64(len(frames[len(frames)-1]))
}

// Given a snapshot, when its source gives no part or fails, then the member is broken and its disk as it was.
func TestASnapshotWithoutPartsIsRefused(t *testing.T) {
	for name, parts := range map[string]storage.ChunkSource{
		"none": func(func(json.RawMessage) error) error { return nil },
		"failing": func(write func(json.RawMessage) error) error {
			if err := write(json.RawMessage(`1`)); err != nil {
				return err
			}
			return fmt.Errorf("no more")
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMember(asItIs)
			group := mustPlay(t, m, []step{{Raise: 1, Entries: 2, Bytes: 20}})
			wantBroken(t, group.Compact(*snapshotAt(2, 1, 1), parts, nil, replica.HardState{Term: 1}))
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
