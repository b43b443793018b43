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

// Given any steps of several processes that crash or lose power at any change to the disk, when the next one starts,
// then it finds all that was acknowledged, and of the step in progress everything or nothing.
func TestOpen_AfterAnyCrashes_RecoversAllThatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(anyHistory.Draw(t, "history"), unwrapped); err != nil {
			t.Fatal(err)
		}
	})
}

// powerLossSeeds is how many losses of power are tried at each change of a case.
const powerLossSeeds = 16

// crashAtEachChange crashes a process at each change that the last step makes, in each way, and recovers after it. Prelude is what
// was done before.
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

// countChanges counts the changes that the last step makes.
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

// crashAt crashes the process at a change of the last step. Seed 0 is a crash of the process alone, the others are losses of power.
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
		return fmt.Errorf("the process has not crashed")
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
		"the first one":          {save, save},
		"the second one":         {save, save, compact, save},
		"a later one":            {save, compact, save, compact, save, compact, save},
		"two in direct sequence": {save, compact, save, compact},
		"nothing saved":          {},
		"an installed snapshot":  {save, {Install: true, Bytes: 500}, {Truncate: 1, Entries: 2, Bytes: 9}},
	} {
		t.Run(name, func(t *testing.T) { crashAtEachChange(t, prelude, compact) })
	}
}

// Given a group that saves while a compaction writes its slot, when any of it crashes at any change, then nothing is lost.
func TestCompaction_SavesBesideIt_CrashAtAnyChange_LosesNothing(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	for name, prelude := range map[string][]step{
		"the first one":         {save, save},
		"a later one":           {save, {Compact: true, Remaining: 2, Bytes: 400}, save},
		"after one of its kind": {save, {Compact: true, Beside: 3, Bytes: 40}, save},
		"an installed snapshot": {save, {Install: true, Bytes: 500}, save},
	} {
		for _, beside := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(name, ", saves beside it: ", beside), func(t *testing.T) {
				crashAtEachChange(t, prelude, step{Compact: true, Remaining: 2, Bytes: 400, Beside: beside})
			})
		}
	}
}

// Given a member that its group has replaced, when it forgets its state and that crashes at any change, then it has all of it or just
// its hard state, and can go on from either.
func TestForget_CrashAtAnyChange_KeepsHardState(t *testing.T) {
	save := step{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 200}
	for name, prelude := range map[string][]step{
		"entries only":    {save, save},
		"a snapshot":      {save, {Compact: true, Remaining: 2, Bytes: 400}, save},
		"two snapshots":   {save, {Compact: true, Bytes: 400}, save, {Compact: true, Bytes: 90}},
		"forgotten twice": {save, {Forget: true}, {Install: true, Bytes: 500}, save},
	} {
		t.Run(name, func(t *testing.T) { crashAtEachChange(t, prelude, step{Forget: true}) })
	}
}

// Given a member that has forgotten its state, then its disk holds next to nothing, and it can be sent another one.
func TestForget_LargeState_FreesTheDisk(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 20}, {Compact: true, Bytes: 90_000}, {Entries: 1, Bytes: 50_000},
		{Compact: true, Bytes: 90_000}, {Forget: true}})
	if total := group.LogBytes() + group.SnapshotBytes(); total > 1000 {
		t.Errorf("%d bytes are left", total)
	}
	names, err := m.disk.List()
	if err != nil || len(names) != 2 {
		t.Errorf("files %v, %v, want a log and a slot", names, err)
	}
	if err := m.apply(group, step{Install: true, Bytes: 300, Entries: 2}); err != nil {
		t.Fatal(err)
	}
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a compaction that is abandoned, then the log goes on, and a snapshot can be received again.
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
	for _, next := range []step{{Entries: 2, Bytes: 9}, {Install: true, Bytes: 80}, {Compact: true, Beside: 1, Bytes: 7}} {
		if err := m.apply(group, next); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.recoverTwice(); err != nil {
		t.Fatal(err)
	}
}

// Given a compaction that writes its slot, when a chunk of another member's snapshot would go there, then that is an error.
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

// Given a group, when a save crashes at any change, then it is there completely or not at all.
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

// Given a disk in any state that a crashed process leaves, when recovery itself crashes at any change, then the next
// recovery loses nothing either.
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

// Given an empty disk, when its first start crashes at any change, then the next start finds an empty group.
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
