package storage_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

const groupName = "turns-1"

// step is one call to a Group. Its values are relative to the saved state. Without Compact or Forget it is a Save.
type step struct {
	Compact         bool
	TermIncrement   uint64 // added to the term
	Vote            string
	Install         bool // installs a received snapshot
	Truncate        int  // number of entries truncated from the end
	Entries         int  // number of entries appended
	Bytes           int  // length of each entry's data, or of the snapshot's state
	Remaining       int  // number of entries that remain after a compaction
	ConcurrentSaves int  // number of saves while a compaction writes its slot
	Forget          bool

	Received int // number of received chunks of a snapshot that stays incomplete
}

// processRun describes what one process does until it crashes at a change to the disk, or after its last step.
type processRun struct {
	Steps     []step
	CrashAt   int // number of the change, from 0
	Effect    memorydisk.Effect
	PowerLoss bool // whether power is lost too; otherwise only the process crashes
	Seed      uint64
}

// anyStep generates a step.
var anyStep = rapid.Custom(func(t *rapid.T) step {
	return step{
		Compact:         rapid.IntRange(0, 3).Draw(t, "compact") == 0,
		TermIncrement:   rapid.Uint64Range(0, 2).Draw(t, "term increment"),
		Vote:            rapid.SampledFrom([]string{"", "north", "south\"\n"}).Draw(t, "vote"),
		Install:         rapid.IntRange(0, 7).Draw(t, "install") == 0,
		Truncate:        rapid.IntRange(0, 2).Draw(t, "truncate"),
		Entries:         rapid.IntRange(0, 4).Draw(t, "entries"),
		Bytes:           rapid.IntRange(0, 300).Draw(t, "bytes"),
		Remaining:       rapid.IntRange(0, 5).Draw(t, "remaining"),
		ConcurrentSaves: rapid.SampledFrom([]int{0, 0, 1, 4}).Draw(t, "concurrent saves"),

		Received: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "received"),
	}
})

// anyProcessRun generates the run of one process.
var anyProcessRun = rapid.Custom(func(t *rapid.T) processRun {
	return processRun{
		Steps:     rapid.SliceOfN(anyStep, 1, 10).Draw(t, "steps"),
		CrashAt:   rapid.IntRange(0, 30).Draw(t, "crash at"),
		Effect:    rapid.SampledFrom([]memorydisk.Effect{memorydisk.NotApplied, memorydisk.Torn, memorydisk.Applied}).Draw(t, "effect"),
		PowerLoss: rapid.Bool().Draw(t, "power loss"),
		Seed:      rapid.Uint64().Draw(t, "seed"),
	}
})

// anyHistory generates the runs of several processes that use the same disk one after the other.
var anyHistory = rapid.SliceOfN(anyProcessRun, 1, 8)

// savedState is what a member has saved, including the state of its snapshot.
type savedState struct{ replica.Recovered }

// base returns the index of the last entry that the snapshot covers.
func (s savedState) base() uint64 {
	if s.Snapshot == nil {
		return 0
	}
	return s.Snapshot.Index
}

func (s savedState) last() uint64 { return s.base() + uint64(len(s.Entries)) }

// clone returns a copy whose entries can be changed independently.
func (s savedState) clone() savedState {
	s.Entries = append([]replica.Entry(nil), s.Entries...)
	return s
}

// with returns the state after a save of ready.
func (s savedState) with(ready *replica.Ready) savedState {
	next := s.clone()
	if ready.HardState != nil {
		next.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		next.Snapshot, next.Entries = ready.Snapshot, nil
	}
	if ready.TruncateFrom > 0 && ready.TruncateFrom <= next.last() {
		next.Entries = next.Entries[:ready.TruncateFrom-next.base()-1]
	}
	next.Entries = append(next.Entries, ready.Entries...)
	return next
}

// readyFor returns the Ready that a step saves.
func (s savedState) readyFor(one step) *replica.Ready {
	ready := &replica.Ready{}
	term := s.HardState.Term + one.TermIncrement
	if one.TermIncrement > 0 {
		ready.HardState = &replica.HardState{Term: term, Vote: one.Vote}
	}
	base, last := s.base(), s.last()
	if one.Install {
		ready.Snapshot = snapshotAt(last+3, term, one.Bytes)
		ready.ReceivedChunks = chunksOf(ready.Snapshot)
		base, last = last+3, last+3
	}
	for number := 0; number < one.Received && !one.Install; number++ {
		ready.ReceivedChunks = append(ready.ReceivedChunks, replica.Chunk{Number: number, Data: entryAt(last, term, one.Bytes+1).Data})
	}
	if one.Truncate > 0 && last > base {
		last -= min(uint64(one.Truncate), last-base)
		ready.TruncateFrom = last + 1
	}
	for i := 1; i <= one.Entries; i++ {
		ready.Entries = append(ready.Entries, entryAt(last+uint64(i), term, one.Bytes))
	}
	return ready
}

// compacted returns the state after a compaction that keeps the step's number of remaining entries.
func (s savedState) compacted(one step) savedState {
	index := s.last() - min(uint64(one.Remaining), uint64(len(s.Entries)))
	next := s.clone()
	next.Entries = next.Entries[index-s.base():]
	next.Snapshot = snapshotAt(index, s.HardState.Term, one.Bytes)
	next.HardState.Term += one.TermIncrement
	return next
}

// entryAt returns an entry whose data depends on its index and term.
func entryAt(index, term uint64, bytes int) replica.Entry {
	entry := replica.Entry{Index: index, Term: term, Kind: replica.EntryKind(index % 3)}
	if bytes > 0 {
		entry.Data = []byte(`"` + strings.Repeat(string(rune('a'+(index+term)%26)), bytes) + `"`)
	}
	return entry
}

// snapshotAt returns a snapshot with a state of about the given length.
func snapshotAt(index, term uint64, bytes int) *replica.Snapshot {
	return &replica.Snapshot{Index: index, Term: term, Members: []replica.Member{{ID: "north", Address: "10.0.0.1:1"}, {ID: "south", Learner: true}},
		Chunks: chunkCount(bytes), State: entryAt(index, term, bytes+1).Data}
}

// chunkCount returns the number of chunks of a state of the given length.
func chunkCount(bytes int) int { return 1 + bytes%4 }

// chunksOf splits the state of a snapshot into its chunks.
func chunksOf(snapshot *replica.Snapshot) []replica.Chunk {
	var chunks []replica.Chunk
	state := snapshot.State
	for number := range snapshot.Chunks {
		chunk := state[len(state)*number/snapshot.Chunks : len(state)*(number+1)/snapshot.Chunks]
		chunks = append(chunks, replica.Chunk{Number: number, Data: chunk})
	}
	return chunks
}

// chunkSource returns a source of the chunks of a snapshot's state.
func chunkSource(snapshot *replica.Snapshot) storage.ChunkSource {
	return func(write func(chunk json.RawMessage) error) error {
		for _, chunk := range chunksOf(snapshot) {
			if err := write(chunk.Data); err != nil {
				return err
			}
		}
		return nil
	}
}

// withSnapshotState reads the state of the recovered snapshot by ReadChunks, compares it with that of ReadChunk, and returns recovered
// with the state.
func withSnapshotState(group *storage.Group, recovered replica.Recovered) (replica.Recovered, error) {
	if recovered.Snapshot == nil {
		return recovered, nil
	}
	complete := *recovered.Snapshot
	number := 0
	err := group.ReadChunks(func(chunk json.RawMessage) error {
		complete.State = append(complete.State, chunk...)
		single, err := group.ReadChunk(number)
		if err == nil && !bytes.Equal(single, chunk) {
			err = fmt.Errorf("chunk %d is %q by ReadChunk and %q by ReadChunks", number, single, chunk)
		}
		number++
		return err
	})
	if err == nil && number != complete.Chunks {
		err = fmt.Errorf("ReadChunks returned %d chunks, want %d", number, complete.Chunks)
	}
	recovered.Snapshot = &complete
	return recovered, err
}

// equal compares two states and treats nil and empty entries as equal. It is faster than cmp, which diff uses.
func equal(a, b replica.Recovered) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

func diff(want, got replica.Recovered) string { return cmp.Diff(want, got, cmpopts.EquateEmpty()) }

// testMember is a member with a disk, and the states that recovery may find on it.
type testMember struct {
	disk    *memorydisk.Disk
	view    storage.Disk // the disk that the member uses: disk itself, or a wrapper
	saved   savedState
	allowed []savedState // states that recovery may find
}

func newTestMember(wrap func(storage.Disk) storage.Disk) *testMember {
	disk := memorydisk.New()
	return &testMember{disk: disk, view: wrap(disk), allowed: []savedState{{}}}
}

// open recovers the member and checks that the recovered state is an allowed one.
func (m *testMember) open() (*storage.Group, error) {
	hasSnapshot, hasErr := storage.HasSnapshot(m.view, groupName)
	group, recovered, err := storage.Open(m.view, groupName)
	if err != nil {
		return nil, err
	}
	if hasErr != nil || hasSnapshot != (recovered.Snapshot != nil) {
		return nil, fmt.Errorf("HasSnapshot returned %v and error %w, which contradicts Open", hasSnapshot, hasErr)
	}
	if recovered, err = withSnapshotState(group, recovered); err != nil {
		return nil, err
	}
	for _, allowed := range m.allowed {
		if equal(allowed.Recovered, recovered) {
			m.saved = allowed
			m.allowed = []savedState{allowed}
			return group, nil
		}
	}
	return nil, fmt.Errorf("the recovered state is not an allowed one (-first allowed +recovered):\n%s", diff(m.allowed[0].Recovered, recovered))
}

// apply executes a step and updates the allowed states.
func (m *testMember) apply(group *storage.Group, one step) error {
	if one.Compact && one.ConcurrentSaves > 0 {
		return m.compactDuringSaves(group, one)
	}
	next, err := savedState{}, error(nil)
	if one.Forget {
		next = savedState{Recovered: replica.Recovered{HardState: m.saved.HardState, Snapshot: &replica.Snapshot{Chunks: 1, State: json.RawMessage(`{}`)}}}
		err = group.Forget(func(write func(chunk json.RawMessage) error) error { return write(json.RawMessage(`{}`)) })
	} else if one.Compact {
		next = m.saved.compacted(one)
		err = group.Compact(*next.Snapshot, chunkSource(next.Snapshot), next.Entries, next.HardState)
	} else {
		ready := m.saved.readyFor(one)
		next = m.saved.with(ready)
		err = group.Save(ready)
	}
	if err != nil {
		m.allowed = []savedState{m.saved, next}
		return err
	}
	m.saved = next
	m.allowed = []savedState{next}
	return nil
}

// compactDuringSaves executes a compaction during which the member continues to save.
func (m *testMember) compactDuringSaves(group *storage.Group, one step) error {
	snapshot := m.saved.compacted(one).Snapshot
	compaction, err := group.BeginCompaction(*snapshot)
	if err != nil {
		return err
	}
	for number := range one.ConcurrentSaves {
		if number == one.ConcurrentSaves/2 {
			if err := compaction.Write(chunkSource(snapshot)); err != nil {
				return err
			}
		}
		if err := m.apply(group, step{TermIncrement: 1, Vote: "east", Entries: 2, Bytes: one.Bytes}); err != nil {
			return err
		}
	}
	next := m.saved.clone()
	next.Entries = next.Entries[snapshot.Index-next.base():]
	next.Snapshot = snapshot
	if err := group.FinishCompaction(compaction, next.Entries, next.HardState); err != nil {
		m.allowed = []savedState{m.saved, next}
		return err
	}
	m.saved = next
	m.allowed = []savedState{next}
	return nil
}

// runProcess opens the group and applies the steps.
func (m *testMember) runProcess(steps []step) error {
	group, err := m.open()
	if err != nil {
		return err
	}
	for _, one := range steps {
		if err := m.apply(group, one); err != nil {
			return err
		}
	}
	return nil
}

// runHistory executes a history and returns an error if a recovery found a state that is not allowed.
func runHistory(history []processRun, wrap func(storage.Disk) storage.Disk) error {
	m := newTestMember(wrap)
	for i, one := range history {
		m.disk.CrashAt(one.CrashAt, one.Effect)
		if err := m.runProcess(one.Steps); err != nil && !errors.Is(err, memorydisk.ErrCrashed) {
			return fmt.Errorf("run %d: %w", i, err)
		}
		if one.PowerLoss {
			m.disk.LosePower(one.Seed)
		} else {
			m.disk.Kill()
		}
	}
	return m.recoverTwice()
}

// recoverTwice recovers the member and checks that the recovered state is durable, by recovering it again after a power loss.
func (m *testMember) recoverTwice() error {
	if _, err := m.open(); err != nil {
		return fmt.Errorf("first recovery: %w", err)
	}
	m.disk.LosePower(1)
	if _, err := m.open(); err != nil {
		return fmt.Errorf("second recovery: %w", err)
	}
	return nil
}

// unwrapped returns the disk itself, for tests that need no wrapper.
func unwrapped(disk storage.Disk) storage.Disk { return disk }
