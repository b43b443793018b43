package storage_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// Given any steps of several processes that crash or lose power at any change to the disk, when the next process starts, then it
// recovers all that was acknowledged, and the step in progress either completely or not at all.
func TestOpen_AfterAnyCrashes_RecoversAllThatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(anyHistory.Draw(t, "history"), unwrapped); err != nil {
			t.Fatal(err)
		}
	})
}

// powerLossSeeds is the number of seeds per crash point. Each seed but 0 is a different power loss.
const powerLossSeeds = 16

// crashAtEachChange applies the prelude, crashes the process at each change to the disk that the last step makes, with each effect,
// and checks the recovery after each crash.
func crashAtEachChange(t *testing.T, prelude []step, last step) {
	t.Helper()
	changes := countChanges(t, prelude, last)
	for change := range changes {
		for _, effect := range []memorydisk.Effect{memorydisk.NotApplied, memorydisk.Torn, memorydisk.Applied} {
			for seed := range powerLossSeeds {
				if err := crashAt(prelude, last, change, effect, seed); err != nil {
					t.Fatalf("change %d of %d, effect %d, seed %d: %v", change, changes, effect, seed, err)
				}
			}
		}
	}
}

// countChanges counts the changes to the disk that the last step makes after the prelude.
func countChanges(t *testing.T, prelude []step, last step) int {
	t.Helper()
	m := newTestMember(unwrapped)
	group := mustApply(t, m, prelude)
	before := m.disk.Counts().Changes
	if err := m.apply(group, last); err != nil {
		t.Fatal(err)
	}
	return m.disk.Counts().Changes - before
}

// mustApply opens the member's group and applies steps to it.
func mustApply(t *testing.T, m *testMember, prelude []step) *storage.Group {
	t.Helper()
	group, err := m.open()
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range prelude {
		if err := m.apply(group, one); err != nil {
			t.Fatal(err)
		}
	}
	return group
}

// crashAt crashes the process at a change of the last step and checks the recovery. Seed 0 is a crash of the process alone, other
// seeds are power losses.
func crashAt(prelude []step, last step, change int, effect memorydisk.Effect, seed int) error {
	m := newTestMember(unwrapped)
	group, err := m.open()
	if err != nil {
		return err
	}
	for _, one := range prelude {
		if err := m.apply(group, one); err != nil {
			return err
		}
	}
	m.disk.CrashAt(change, effect)
	if err := m.apply(group, last); err == nil {
		return fmt.Errorf("the last step succeeded, want a crash")
	}
	if seed == 0 {
		m.disk.Kill()
	} else {
		m.disk.LosePower(uint64(seed))
	}
	return m.recoverTwice()
}

// Given each state that a group's files can be in, when a compaction crashes at any change, then nothing is lost.
func TestCompact_CrashAtAnyChange_LosesNothing(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	compact := step{Compact: true, Remaining: 2, Bytes: 400}
	for name, prelude := range map[string][]step{
		"first compaction":           {save, save},
		"second compaction":          {save, save, compact, save},
		"later compaction":           {save, compact, save, compact, save, compact, save},
		"compaction directly before": {save, compact, save, compact},
		"nothing saved":              {},
		"installed snapshot before":  {save, {Install: true, Bytes: 500}, {Truncate: 1, Entries: 2, Bytes: 9}},
	} {
		t.Run(name, func(t *testing.T) { crashAtEachChange(t, prelude, compact) })
	}
}

// Given a group that saves while a compaction writes its slot, when the process crashes at any change, then nothing is lost.
func TestCompaction_SavesBesideIt_CrashAtAnyChange_LosesNothing(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	for name, prelude := range map[string][]step{
		"first compaction":          {save, save},
		"later compaction":          {save, {Compact: true, Remaining: 2, Bytes: 400}, save},
		"concurrent saves before":   {save, {Compact: true, ConcurrentSaves: 3, Bytes: 40}, save},
		"installed snapshot before": {save, {Install: true, Bytes: 500}, save},
	} {
		for _, saves := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(name, ", concurrent saves: ", saves), func(t *testing.T) {
				crashAtEachChange(t, prelude, step{Compact: true, Remaining: 2, Bytes: 400, ConcurrentSaves: saves})
			})
		}
	}
}

// Given a member that its group has replaced, when it crashes at any change of Forget, then it recovers either its complete state or
// only its hard state, and can continue.
func TestForget_CrashAtAnyChange_KeepsHardState(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	for name, prelude := range map[string][]step{
		"entries only":    {save, save},
		"one snapshot":    {save, {Compact: true, Remaining: 2, Bytes: 400}, save},
		"two snapshots":   {save, {Compact: true, Bytes: 400}, save, {Compact: true, Bytes: 90}},
		"forgotten twice": {save, {Forget: true}, {Install: true, Bytes: 500}, save},
	} {
		t.Run(name, func(t *testing.T) { crashAtEachChange(t, prelude, step{Forget: true}) })
	}
}

// Given a member that has forgotten a large state, then its files are small, and it can install another snapshot.
func TestForget_LargeState_FreesTheDisk(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 20}, {Compact: true, Bytes: 90_000}, {Entries: 1, Bytes: 50_000},
		{Compact: true, Bytes: 90_000}, {Forget: true}})
	if total := group.LogBytes() + group.SnapshotBytes(); total > 1000 {
		t.Errorf("slot and log have %d bytes, want 1000 at most", total)
	}
	names, err := m.disk.List()
	if err != nil || len(names) != 2 {
		t.Errorf("got files %v and error %v, want a log and a slot", names, err)
	}
	if err := m.apply(group, step{Install: true, Bytes: 300, Entries: 2}); err != nil {
		t.Fatal(err)
	}
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a compaction that is abandoned, then saves, a received snapshot and another compaction succeed.
func TestCompaction_Abandoned_LogGoesOn(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 20}})
	compaction, err := group.BeginCompaction(*snapshotAt(2, 1, 90))
	if err != nil {
		t.Fatal(err)
	}
	if err := compaction.Write(chunkSource(snapshotAt(2, 1, 90))); err != nil {
		t.Fatal(err)
	}
	group.AbandonCompaction(compaction)
	for _, next := range []step{{Entries: 2, Bytes: 9}, {Install: true, Bytes: 80}, {Compact: true, ConcurrentSaves: 1, Bytes: 7}} {
		if err := m.apply(group, next); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a running compaction, when a snapshot chunk is received, then Save fails, since the chunk needs the same slot.
func TestSave_ChunkDuringCompaction_Fails(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 20}})
	if _, err := group.BeginCompaction(*snapshotAt(2, 1, 90)); err != nil {
		t.Fatal(err)
	}
	if err := m.apply(group, step{Received: 1}); !errors.Is(err, storage.ErrSlotInUse) {
		t.Fatalf("error %v, want ErrSlotInUse", err)
	}
}

// Given a group, when the process crashes at any change of a save, then the save is recovered completely or not at all.
func TestSave_CrashAtAnyChange_IsAtomic(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	for name, last := range map[string]step{
		"entries":              {Entries: 4, Bytes: 150},
		"hard state":           {TermIncrement: 1, Vote: "south"},
		"truncation":           {Truncate: 2},
		"snapshot":             {Install: true, Bytes: 2000},
		"all of them together": {TermIncrement: 1, Install: true, Entries: 2, Truncate: 1, Bytes: 300},
	} {
		t.Run(name, func(t *testing.T) { crashAtEachChange(t, []step{save, save}, last) })
	}
}

// Given a compaction that crashed at any change, when the recovery after it crashes at any change too, then the next recovery loses
// nothing.
func TestOpen_CrashAtAnyChange_LosesNothing(t *testing.T) {
	prelude := []step{{TermIncrement: 1, Entries: 3, Bytes: 90}, {Compact: true, Remaining: 1}, {Entries: 2, Bytes: 90}}
	last := step{Compact: true, Remaining: 1, Bytes: 90}
	for change := range countChanges(t, prelude, last) {
		for recovery := range 6 {
			for seed := range powerLossSeeds {
				if err := crashDuringRecovery(t, prelude, last, change, recovery, uint64(seed)); err != nil {
					t.Fatalf("change %d, change %d of the recovery, seed %d: %v", change, recovery, seed, err)
				}
			}
		}
	}
}

// crashDuringRecovery crashes the process at a change of the last step, then crashes the recovery at one of its own changes, and
// checks the next recovery.
func crashDuringRecovery(t *testing.T, prelude []step, last step, change, recovery int, seed uint64) error {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, prelude)
	m.disk.CrashAt(change, memorydisk.Applied)
	_ = m.apply(group, last)
	if seed%2 == 0 {
		m.disk.Kill()
	} else {
		m.disk.LosePower(seed)
	}
	m.disk.CrashAt(recovery, memorydisk.Effect(seed%3))
	_, err := m.open()
	if err != nil && !m.disk.Crashed() {
		return err
	}
	m.disk.LosePower(seed + 1)
	return m.recoverTwice()
}

// Given an empty disk, when the first start crashes at any change, then the next start recovers an empty group.
func TestOpen_FirstStartCrashesAtAnyChange_RecoversEmptyGroup(t *testing.T) {
	for change := range 5 {
		for seed := range uint64(powerLossSeeds) {
			m := newTestMember(unwrapped)
			m.disk.CrashAt(change, memorydisk.Effect(seed%3))
			if _, err := m.open(); err != nil && !m.disk.Crashed() {
				t.Fatal(err)
			}
			m.disk.LosePower(seed)
			if err := m.recoverTwice(); err != nil {
				t.Fatalf("change %d, seed %d: %v", change, seed, err)
			}
			if !equal(m.saved.Recovered, replica.Recovered{}) {
				t.Fatalf("change %d, seed %d: recovered %+v", change, seed, m.saved)
			}
		}
	}
}
