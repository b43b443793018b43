package replica

import (
	"slices"
	"testing"
)

// snapshotDisk returns a disk with a snapshot up to index, whose last entry is of term 1, and no further entries.
func snapshotDisk(index uint64) Recovered {
	return Recovered{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Index: index, Term: 1, Members: explorationGroup(), Chunks: snapshotChunks,
		State: exploredState(index)}}
}

// newSnapshotState returns a state in which a leads the group and the first chunk of its snapshot is in flight to c, whose
// disk lacks those entries.
func newSnapshotState(t *testing.T, c Recovered, budget eventBudget) *systemState {
	t.Helper()
	s := newSystemState(t, [3]Recovered{snapshotDisk(3), snapshotDisk(3), c}, budget)
	for _, entry := range logOf(1, 1, 1) {
		s.committed = append(s.committed, committedEntry{Entry: entry, committedIn: 1})
	}
	s.applyReady(0, s.members[0].campaign(), noCrash)
	for _, next := range []struct {
		kind     MessageKind
		from, to string
	}{
		{RequestVote, "a", "b"}, {RequestVoteResponse, "b", "a"}, {AppendEntries, "a", "b"}, {AppendEntriesResponse, "b", "a"}, {AppendEntries, "a", "c"}, {AppendEntriesResponse, "c", "a"},
	} {
		at := slices.IndexFunc(s.inflight, func(m inflightMessage) bool {
			return m.Kind == next.kind && m.From == next.from && m.To == next.to
		})
		if at < 0 {
			t.Fatalf("no %s is in flight from %s to %s", next.kind, next.from, next.to)
		}
		s = s.appendDeliveries(nil, at)[0]
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	}
	if !slices.ContainsFunc(s.inflight, func(m inflightMessage) bool { return m.Kind == InstallSnapshot }) {
		t.Fatal("no chunk of a snapshot is in flight")
	}
	return s
}

// snapshotExplorations start from a state in which sending a snapshot has just begun.
var snapshotExplorations = []struct {
	name   string
	c      Recovered
	budget eventBudget
	depth  int
}{
	{name: "chunks are duplicated", budget: eventBudget{duplicates: 2, heartbeats: 1}, depth: 9},
	{name: "a member crashes between chunks", budget: eventBudget{crashes: 2, heartbeats: 1}, depth: 9},
	{name: "the leader changes between chunks", c: diskOf(1, 1), budget: eventBudget{campaigns: 1, heartbeats: 1}, depth: 9},
	{name: "the leader changes and a member crashes", c: diskOf(1, 1), budget: eventBudget{campaigns: 1, crashes: 1}, depth: 8},
}

func TestExploration_OrdersOfSnapshotChunks_AreSafe(t *testing.T) {
	for _, tc := range snapshotExplorations {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			requireSafeOrders(t, newSnapshotState(t, tc.c, tc.budget), tc.depth)
		})
	}
}

// TestExploration_Depth_ReachesCompleteSnapshot checks that the depth of the explorations above is enough to install a
// snapshot.
func TestExploration_Depth_ReachesCompleteSnapshot(t *testing.T) {
	s := newSnapshotState(t, Recovered{}, eventBudget{})
	for steps := 1; steps <= 9; steps++ {
		at := slices.IndexFunc(s.inflight, func(m inflightMessage) bool { return m.Kind == InstallSnapshot || m.Kind == InstallSnapshotResponse })
		if at < 0 {
			t.Fatalf("no chunk and no response is in flight after %d events", steps)
		}
		s = s.appendDeliveries(nil, at)[0]
		if snapshot := s.members[2].disk.Snapshot; snapshot != nil && snapshot.Index == 3 {
			return
		}
	}
	t.Fatal("the snapshot is not installed after 9 events")
}
