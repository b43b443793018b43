package controller

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

func endpoint(id string, warmUpLeftMs int64) model.Endpoint {
	return model.Endpoint{ID: id, Service: "lm", Address: "10.1.0.1:8080", Version: "v1", State: model.Ready, WarmUpLeftMs: warmUpLeftMs}
}

func TestEndpoints_PublishedOnChange(t *testing.T) {
	var publisher EndpointPublisher
	tests := []struct {
		name      string
		endpoints []model.Endpoint
		term      uint64
		want      view.Stamp // zero: nothing is published
	}{
		{"first", []model.Endpoint{endpoint("a", 900)}, 3, view.Stamp{Term: 3, Sequence: 1}},
		{"the same", []model.Endpoint{endpoint("a", 900)}, 3, view.Stamp{}},
		{"less warm-up time left", []model.Endpoint{endpoint("a", 200)}, 3, view.Stamp{}},
		{"one more", []model.Endpoint{endpoint("a", 200), endpoint("b", 0)}, 3, view.Stamp{Term: 3, Sequence: 2}},
		{"the same in a later term", []model.Endpoint{endpoint("a", 200), endpoint("b", 0)}, 5, view.Stamp{Term: 5, Sequence: 1}},
		{"none", nil, 5, view.Stamp{Term: 5, Sequence: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			update, changed, err := publisher.update(test.endpoints, test.term)
			if err != nil || changed != (test.want != view.Stamp{}) {
				t.Fatalf("changed is %v, error %v", changed, err)
			}
			if diff := cmp.Diff(test.want, update.Stamp); diff != "" {
				t.Errorf("stamp (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEndpoints_OnlyLeaderReads(t *testing.T) {
	reader := &staticReader{endpoints: []model.Endpoint{endpoint("a", 0)}}
	follower := newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	if got := follower.ReadEndpoints(t.Context(), &EndpointPublisher{}); got != leaderCheckInterval || len(follower.fleet.published) > 0 {
		t.Errorf("a follower published %v and checks again after %v", follower.fleet.published, got)
	}
	leader := startFixture(t, memorydisk.New())
	leader.options.Reader = reader
	var publisher EndpointPublisher
	for range 2 {
		if got := leader.ReadEndpoints(t.Context(), &publisher); got != listReadInterval {
			t.Errorf("the leader reads again after %v, want %v", got, listReadInterval)
		}
	}
	reader.err = errors.New("too many calls")
	leader.ReadEndpoints(t.Context(), &publisher)
	if got := len(leader.fleet.published); got != 1 {
		t.Errorf("%d lists were published, want 1", got)
	}
}

// TestStateMachine_StalePlacement_Dropped applies commands that were made before a conflicting one was committed.
func TestStateMachine_StalePlacement_Dropped(t *testing.T) {
	shards := func(node string) []view.ShardPlacement {
		return []view.ShardPlacement{{Replicas: []view.Replica{{ID: node + "-1", Node: node}}}}
	}
	var machine *StateMachine
	index := uint64(0)
	apply := func(command string) {
		index++
		machine.Apply(index, json.RawMessage(command))
	}
	place := func(base, retirements uint64, node string) {
		apply(string(mustMarshal(t, Command{Placement: &PlacementProposal{BaseIndex: base, DecommissionsIndex: retirements, Shards: shards(node)}})))
	}
	machine = NewStateMachine(func() {})
	place(0, 0, "a") // entry 1
	place(0, 0, "b")
	apply(`{"retire":{"node":"a","id":"a-1","running":[],"least":0}}`) // entry 3
	place(1, 0, "c")
	apply(`{"retired":{"node":"a","placement":9}}`)
	if got := machine.Placement(); got.Index != 1 || got.Shards[0].Replicas[0].Node != "a" || len(machine.decommissions.Active()) != 1 {
		t.Fatalf("a stale command was applied: %+v", got)
	}
	place(1, 3, "d") // entry 6
	apply(`{"retired":{"node":"a","placement":6}}`)
	if got := machine.Placement(); got.Index != 6 || len(machine.decommissions.Active()) != 0 {
		t.Errorf("placement %+v, active operations %v", got, machine.decommissions.Active())
	}

	// And a snapshot of the restored state equals the first one.
	state, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStateMachine(func() {})
	if err = restored.Restore(state); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(state), string(again)); diff != "" {
		t.Errorf("snapshot (-before +after):\n%s", diff)
	}
}
