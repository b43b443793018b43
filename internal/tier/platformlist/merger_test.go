package platformlist

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/model"
)

func TestMerger(t *testing.T) {
	one, two := endpoint("1", model.Ready), endpoint("2", model.Ready)
	oneDraining := endpoint("1", model.Draining)
	successor := endpoint("9", model.Ready)
	successor.Address = one.Address
	cases := []struct {
		name  string
		reads []map[string]model.Endpoint
		want  []model.Endpoint
	}{
		{name: "nothing read", want: []model.Endpoint{}},
		{name: "sorted by ID", reads: []map[string]model.Endpoint{read(two, one)}, want: []model.Endpoint{one, two}},
		{name: "missed once is kept", reads: []map[string]model.Endpoint{read(one, two), read(two)}, want: []model.Endpoint{one, two}},
		{name: "missed twice in a row is removed", reads: []map[string]model.Endpoint{read(one, two), read(two), read(two)},
			want: []model.Endpoint{two}},
		{name: "misses that are not consecutive do not add up",
			reads: []map[string]model.Endpoint{read(one), read(), read(one), read()}, want: []model.Endpoint{one}},
		{name: "draining applies immediately", reads: []map[string]model.Endpoint{read(one), read(oneDraining)},
			want: []model.Endpoint{oneDraining}},
		{name: "missed while draining is kept as draining", reads: []map[string]model.Endpoint{read(oneDraining), read()},
			want: []model.Endpoint{oneDraining}},
		{name: "an older page does not make it ready again", reads: []map[string]model.Endpoint{read(oneDraining), read(one)},
			want: []model.Endpoint{oneDraining}},
		{name: "another endpoint at its address removes it immediately", reads: []map[string]model.Endpoint{read(one), read(successor)},
			want: []model.Endpoint{successor}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var merger Merger
			for _, found := range c.reads {
				merger.merge(found)
			}
			if diff := cmp.Diff(c.want, merger.Endpoints()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMerger_ReadsAnyLists_KeepsWhatLastTwoFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"1", "2", "3", "4"}), rapid.ID)
		var merger Merger
		var last, before map[string]model.Endpoint
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			before, last = last, map[string]model.Endpoint{}
			for _, id := range ids.Draw(t, "found") {
				last[id] = endpoint(id, model.Ready)
			}
			merger.merge(last)
		}
		want := maps.Clone(last)
		maps.Copy(want, before)
		var got []string
		for _, e := range merger.Endpoints() {
			got = append(got, e.ID)
		}
		if !slices.Equal(got, slices.Sorted(maps.Keys(want))) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
