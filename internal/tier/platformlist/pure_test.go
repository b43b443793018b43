package platformlist

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/model"
)

func endpoint(id string, state model.EndpointState) model.Endpoint {
	return model.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:" + id, State: state}
}

func read(endpoints ...model.Endpoint) map[string]model.Endpoint {
	found := map[string]model.Endpoint{}
	for _, e := range endpoints {
		found[e.ID] = e
	}
	return found
}

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
		{name: "in the order of ids", reads: []map[string]model.Endpoint{read(two, one)}, want: []model.Endpoint{one, two}},
		{name: "missed once stays", reads: []map[string]model.Endpoint{read(one, two), read(two)}, want: []model.Endpoint{one, two}},
		{name: "missed twice in a row goes", reads: []map[string]model.Endpoint{read(one, two), read(two), read(two)},
			want: []model.Endpoint{two}},
		{name: "misses that are not in a row don't add up",
			reads: []map[string]model.Endpoint{read(one), read(), read(one), read()}, want: []model.Endpoint{one}},
		{name: "draining counts at once", reads: []map[string]model.Endpoint{read(one), read(oneDraining)},
			want: []model.Endpoint{oneDraining}},
		{name: "draining stays when missed", reads: []map[string]model.Endpoint{read(oneDraining), read()},
			want: []model.Endpoint{oneDraining}},
		{name: "an older page doesn't make it ready again", reads: []map[string]model.Endpoint{read(oneDraining), read(one)},
			want: []model.Endpoint{oneDraining}},
		{name: "another at its address removes it at once", reads: []map[string]model.Endpoint{read(one), read(successor)},
			want: []model.Endpoint{successor}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var held Merger
			for _, found := range c.reads {
				held.merge(found)
			}
			if diff := cmp.Diff(c.want, held.Endpoints()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMerger_ReadsAnyLists_KeepsWhatLastTwoFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"1", "2", "3", "4"}), rapid.ID)
		var held Merger
		var last, before map[string]model.Endpoint
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			before, last = last, map[string]model.Endpoint{}
			for _, id := range ids.Draw(t, "found") {
				last[id] = endpoint(id, model.Ready)
			}
			held.merge(last)
		}
		want := maps.Clone(last)
		maps.Copy(want, before)
		var got []string
		for _, e := range held.Endpoints() {
			got = append(got, e.ID)
		}
		if !slices.Equal(got, slices.Sorted(maps.Keys(want))) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestPager(t *testing.T) {
	second, first := "p-2", ""
	cases := []struct {
		name   string
		pages  []page
		want   map[string]model.Endpoint
		done   bool
		failed bool
	}{
		{name: "one page", pages: []page{{Servers: []model.Endpoint{endpoint("1", model.Ready)}}},
			want: read(endpoint("1", model.Ready)), done: true},
		{name: "an empty token ends it", pages: []page{{NextToken: &first}}, want: read(), done: true},
		{name: "seen twice, draining on either page",
			pages: []page{
				{Servers: []model.Endpoint{endpoint("1", model.Draining), endpoint("2", model.Ready)}, NextToken: &second},
				{Servers: []model.Endpoint{endpoint("1", model.Ready), endpoint("2", model.Draining)}},
			},
			want: read(endpoint("1", model.Draining), endpoint("2", model.Draining)), done: true},
		{name: "an entry that names nothing", pages: []page{{Servers: []model.Endpoint{{Service: "s"}}}}, want: read(), done: true},
		{name: "more to come", pages: []page{{NextToken: &second}}, want: read()},
		{name: "a page that leads to itself", pages: []page{{NextToken: &second}, {NextToken: &second}}, want: read(), failed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pager := newPager()
			var err error
			for _, answer := range c.pages {
				err = pager.accept(answer)
			}
			if (err != nil) != c.failed || pager.done != c.done {
				t.Errorf("done %v, error %v", pager.done, err)
			}
			if diff := cmp.Diff(c.want, pager.found); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTokenBucket_AnySecond_KeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		now := time.Unix(1_000_000, 0)
		pace := newTokenBucket(rate, now)
		var calls []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "idle")))
			now = now.Add(pace.take(now))
			calls = append(calls, now)
		}
		start := 0
		for end := range calls {
			for calls[end].Sub(calls[start]) >= time.Second {
				start++
			}
			if count := end - start + 1; float64(count) > max(rate+1, 2) {
				t.Fatalf("%d calls in a second at a rate of %v", count, rate)
			}
		}
	})
}

func TestTokenBucket_Backlog_UsesRate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	pace := newTokenBucket(47, now)
	var waited time.Duration
	for range 5 {
		waited += pace.take(now)
	}
	if waited != 0 {
		t.Errorf("waited %v for a few pages", waited)
	}
}

func TestBackoff(t *testing.T) {
	cases := []struct {
		failures int
		share    float64
		want     time.Duration
	}{
		{failures: 1, share: 0, want: 100 * time.Millisecond},
		{failures: 1, share: 1, want: 50 * time.Millisecond},
		{failures: 4, share: 0, want: 800 * time.Millisecond},
		{failures: 5000, share: 0, want: 2 * time.Second},
	}
	for _, c := range cases {
		if got := backoff(c.failures, c.share); got != c.want {
			t.Errorf("%d failures, share %v: %v, want %v", c.failures, c.share, got, c.want)
		}
	}
}
