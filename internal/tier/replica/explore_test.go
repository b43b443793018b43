package replica

import "testing"

func logOf(terms ...uint64) []Entry {
	entries := make([]Entry, len(terms))
	for i, term := range terms {
		entries[i] = Entry{Index: uint64(i + 1), Term: term, Kind: NoOp}
	}
	return entries
}

func diskOf(term uint64, terms ...uint64) Recovered {
	return Recovered{HardState: HardState{Term: term}, Entries: logOf(terms...)}
}

// explorations are the starting points. The depths keep each exploration to a few seconds.
var explorations = []struct {
	name   string
	disks  [3]Recovered
	budget eventBudget
	depth  int
}{
	{
		name:   "first start",
		budget: eventBudget{campaigns: 2, proposals: 1, crashes: 1},
		depth:  8,
	},
	{
		name:   "first start, with a duplicated message",
		budget: eventBudget{campaigns: 3, duplicates: 1},
		depth:  7,
	},
	{
		name:   "logs that differ",
		disks:  [3]Recovered{diskOf(3, 1, 2), diskOf(3, 1), diskOf(4, 1, 3)},
		budget: eventBudget{campaigns: 2},
		depth:  12,
	},
	{
		name:   "logs that differ, with a crash",
		disks:  [3]Recovered{diskOf(3, 1, 2), diskOf(3, 1), diskOf(3, 1, 3)},
		budget: eventBudget{campaigns: 2, heartbeats: 1, crashes: 1},
		depth:  8,
	},
}

func TestExploration_OrdersOfEvents_AreSafe(t *testing.T) {
	for _, tc := range explorations {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			requireSafeOrders(t, newSystemState(t, tc.disks, tc.budget), tc.depth)
		})
	}
}
