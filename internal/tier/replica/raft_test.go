package replica

import (
	"encoding/json"
	"testing"
)

func TestNew_InconsistentDisk_IsRejected(t *testing.T) {
	snapshot := &Snapshot{Index: 4, Term: 2, Members: []Member{{ID: "a"}}}
	cases := []struct {
		name      string
		recovered Recovered
		rejected  bool
	}{
		{name: "empty"},
		{name: "complete", recovered: diskOf(2, 1, 2)},
		{name: "a gap", recovered: Recovered{Entries: []Entry{{Index: 2}}}, rejected: true},
		{name: "a term lower than the one before", recovered: diskOf(2, 2, 1), rejected: true},
		{name: "hard state lost", recovered: diskOf(1, 1, 2), rejected: true},
		{name: "hard state lost beside a snapshot", recovered: Recovered{Snapshot: snapshot}, rejected: true},
		{
			name: "entries before the snapshot",
			recovered: Recovered{
				HardState: HardState{Term: 3},
				Snapshot:  snapshot,
				Entries:   []Entry{{Index: 3, Term: 2}, {Index: 4, Term: 2}, {Index: 5, Term: 3}},
			},
		},
		{
			name: "members that cannot be read",
			recovered: Recovered{
				HardState: HardState{Term: 1},
				Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfChange, Data: json.RawMessage(`{`)}},
			},
			rejected: true,
		},
	}
	options := Options{ID: "a", HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(options, tc.recovered, 0)
			if rejected := err != nil; rejected != tc.rejected {
				t.Errorf("wrong result: error %v", err)
			}
		})
	}
}

func TestNew_InvalidOptions_AreRejected(t *testing.T) {
	cases := []Options{
		{HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection},
		{ID: "a", ElectionTimeout: testElection},
		{ID: "a", HeartbeatInterval: testHeartbeat, ElectionTimeout: 2 * testHeartbeat},
	}
	for _, options := range cases {
		if _, err := New(options, Recovered{}, 0); err == nil {
			t.Errorf("invalid options %+v are accepted", options)
		}
	}
}
