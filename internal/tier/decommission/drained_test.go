package decommission_test

import (
	"testing"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/view"
)

func shard(nodes ...string) view.ShardPlacement {
	var placed view.ShardPlacement
	for _, node := range nodes {
		placed.Replicas = append(placed.Replicas, view.Replica{ID: node + "-1", Node: node})
	}
	return placed
}

func ids(nodes ...string) []string {
	var list []string
	for _, node := range nodes {
		list = append(list, node+"-1")
	}
	return list
}

func TestIsDrained(t *testing.T) {
	operation := decommission.Operation{Node: "a", IDs: []string{"a-1"}, State: decommission.InService}
	placed := decommission.Placement{Index: 9, Shards: []view.ShardPlacement{shard("b", "c", "d"), shard("c", "d", "e")}}
	drained := func() map[int]decommission.GroupStatus {
		return map[int]decommission.GroupStatus{
			0: {Term: 4, PlacementIndex: 9, Members: ids("d", "c", "b"), CaughtUp: ids("b", "c", "d")},
			1: {Term: 2, PlacementIndex: 9, Members: ids("c", "d", "e"), CaughtUp: ids("c", "d", "e")},
		}
	}
	tests := []struct {
		name   string
		change func(groups map[int]decommission.GroupStatus, placement *decommission.Placement)
		want   bool
	}{
		{"all replicas have moved", func(map[int]decommission.GroupStatus, *decommission.Placement) {}, true},
		{"there is no placement", func(_ map[int]decommission.GroupStatus, p *decommission.Placement) { p.Shards = nil }, false},
		{"a shard's leader does not report", func(g map[int]decommission.GroupStatus, _ *decommission.Placement) { delete(g, 1) }, false},
		{"a group follows an older placement", func(g map[int]decommission.GroupStatus, _ *decommission.Placement) {
			g[1] = decommission.GroupStatus{PlacementIndex: 8, Members: ids("c", "d", "e"), CaughtUp: ids("c", "d", "e")}
		}, false},
		{"the machine is still a member", func(g map[int]decommission.GroupStatus, _ *decommission.Placement) {
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: ids("a", "c", "d", "e"), CaughtUp: ids("c", "d", "e")}
		}, false},
		{"a new replica is a learner or lags", func(g map[int]decommission.GroupStatus, _ *decommission.Placement) {
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: ids("c", "d", "e"), CaughtUp: ids("c", "d")}
		}, false},
		{"a new replica is missing", func(g map[int]decommission.GroupStatus, _ *decommission.Placement) {
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: ids("c", "d"), CaughtUp: ids("c", "d")}
		}, false},
		{"the placement has the machine under another identity", func(g map[int]decommission.GroupStatus, p *decommission.Placement) {
			p.Shards[1] = shard("c", "d", "a")
			p.Shards[1].Replicas[2].ID = "a-2"
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: []string{"c-1", "d-1", "a-2"}, CaughtUp: []string{"c-1", "d-1", "a-2"}}
		}, false},
		{"the placement has the identity on another machine", func(g map[int]decommission.GroupStatus, p *decommission.Placement) {
			p.Shards[1] = shard("c", "d", "e")
			p.Shards[1].Replicas[2].ID = "a-1"
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: ids("c", "d", "a"), CaughtUp: ids("c", "d", "a")}
		}, false},
		{"the placement has too few replicas", func(g map[int]decommission.GroupStatus, p *decommission.Placement) {
			p.Shards[1] = shard("c", "d")
			g[1] = decommission.GroupStatus{PlacementIndex: 9, Members: ids("c", "d"), CaughtUp: ids("c", "d")}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			groups := drained()
			placement := decommission.Placement{Index: placed.Index, Shards: append([]view.ShardPlacement(nil), placed.Shards...)}
			test.change(groups, &placement)
			if got := decommission.IsDrained(operation, placement, groups, 3); got != test.want {
				t.Errorf("IsDrained is %v, want %v", got, test.want)
			}
		})
	}
}
