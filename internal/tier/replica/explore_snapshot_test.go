package replica

import (
	"slices"
	"testing"
)

// snapshotDisk holds a snapshot up to index, whose last entry is of term 1, and nothing behind it.
func snapshotDisk(index uint64) Recovered {
	return Recovered{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Index: index, Term: 1, Members: explorationGroup(), Chunks: snapshotChunks,
		State: exploredState(index)}}
}

// newSnapshotWorld is one in which a leads the group and the first chunk of its snapshot is in flight to c, which has less than that.
func newSnapshotWorld(t *testing.T, c Recovered, left allowance) *world {
	t.Helper()
	w := newWorld(t, [3]Recovered{snapshotDisk(3), snapshotDisk(3), c}, left)
	for _, entry := range logOf(1, 1, 1) {
		w.committed = append(w.committed, committedEntry{Entry: entry, committedIn: 1})
	}
	w.applyReady(0, w.members[0].campaign(), noCrash)
	for _, next := range []struct {
		kind     MessageKind
		from, to string
	}{
		{RequestVote, "a", "b"}, {RequestVoteResponse, "b", "a"}, {AppendEntries, "a", "b"}, {AppendEntriesResponse, "b", "a"}, {AppendEntries, "a", "c"}, {AppendEntriesResponse, "c", "a"},
	} {
		at := slices.IndexFunc(w.inflight, func(m inflightMessage) bool {
			return m.Kind == next.kind && m.From == next.from && m.To == next.to
		})
		if at < 0 {
			t.Fatalf("no %s is in flight from %s to %s", next.kind, next.from, next.to)
		}
		w = w.delivered(nil, at)[0]
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	}
	if !slices.ContainsFunc(w.inflight, func(m inflightMessage) bool { return m.Kind == InstallSnapshot }) {
		t.Fatal("no chunk of a snapshot is in flight")
	}
	return w
}

// snapshotExplorations go on from a world in which a snapshot has begun to be sent.
var snapshotExplorations = []struct {
	name  string
	c     Recovered
	left  allowance
	depth int
}{
	{name: "chunks come twice", left: allowance{duplicates: 2, heartbeats: 1}, depth: 9},
	{name: "a member crashes between chunks", left: allowance{crashes: 2, heartbeats: 1}, depth: 9},
	{name: "the leader changes between chunks", c: diskOf(1, 1), left: allowance{campaigns: 1, heartbeats: 1}, depth: 9},
	{name: "the leader changes and a member crashes", c: diskOf(1, 1), left: allowance{campaigns: 1, crashes: 1}, depth: 8},
}

func TestExploration_OrdersOfSnapshotChunks_AreSafe(t *testing.T) {
	for _, tc := range snapshotExplorations {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			requireSafeOrders(t, newSnapshotWorld(t, tc.c, tc.left), tc.depth)
		})
	}
}

// TestExploration_Depth_ReachesCompleteSnapshot shows that the depth above is enough to see a snapshot installed.
func TestExploration_Depth_ReachesCompleteSnapshot(t *testing.T) {
	w := newSnapshotWorld(t, Recovered{}, allowance{})
	for steps := 1; steps <= 9; steps++ {
		at := slices.IndexFunc(w.inflight, func(m inflightMessage) bool { return m.Kind == InstallSnapshot || m.Kind == InstallSnapshotResponse })
		if at < 0 {
			t.Fatalf("no chunk and no response is in flight after %d events", steps)
		}
		w = w.delivered(nil, at)[0]
		if snapshot := w.members[2].disk.Snapshot; snapshot != nil && snapshot.Index == 3 {
			return
		}
	}
	t.Fatal("the snapshot is not installed")
}
