package storage_test

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// Given a Ready with arbitrary data and numbers, when it is saved, then it is recovered unchanged.
func TestSave_AnyReady_IsRecoveredUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", "\n", "\x00\x1fG\x01", `{"record":"truncate","index":1}` + "\n"}))
		term := rapid.OneOf(rapid.Uint64(), rapid.Just[uint64](math.MaxUint64))
		ready := &replica.Ready{
			HardState: &replica.HardState{Term: term.Draw(t, "hard state term"), Vote: strings.ToValidUTF8(text.Draw(t, "vote"), "")},
			Snapshot: &replica.Snapshot{Index: rapid.Uint64Max(math.MaxUint32).Draw(t, "index"), Term: term.Draw(t, "snapshot term"),
				Members: []replica.Member{{ID: strings.ToValidUTF8(text.Draw(t, "member"), "")}}, State: []byte(text.Draw(t, "state")),
				Chunks: rapid.IntRange(1, 4).Draw(t, "chunks")},
		}
		ready.ReceivedChunks = chunksOf(ready.Snapshot)
		for i := range rapid.Uint64Max(5).Draw(t, "entries") {
			ready.Entries = append(ready.Entries, replica.Entry{Index: ready.Snapshot.Index + i + 1, Term: term.Draw(t, "entry term"),
				Kind: replica.EntryKind(rapid.Uint8().Draw(t, "kind")), Data: []byte(text.Draw(t, "data"))})
		}
		disk := memorydisk.New()
		group, _, err := storage.Open(disk, groupName)
		if err != nil {
			t.Fatal(err)
		}
		if err = group.Save(ready); err != nil {
			t.Fatal(err)
		}
		disk.LosePower(1)
		opened, recovered, err := storage.Open(disk, groupName)
		if err != nil {
			t.Fatal(err)
		}
		if recovered, err = withSnapshotState(opened, recovered); err != nil {
			t.Fatal(err)
		}
		want := savedState{}.with(ready).Recovered
		if text := diff(want, recovered); text != "" {
			t.Fatal(text)
		}
	})
}
