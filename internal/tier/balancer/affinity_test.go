package balancer

import (
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// turnRequest returns a streaming request for one turn of a program with the given affinity key.
func turnRequest(affinityKey uint64) Request {
	return Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 2000, UncachedTokens: 300, OutputTokens: 24, AffinityKey: affinityKey}
}

func TestSelect_Affinity_AgreesAcrossProxies(t *testing.T) {
	// Given two independent proxies in the same zone, which is either one with three endpoints or one without any.
	list := endpointsOf("models", 9, 64) // three of them in z0
	for _, test := range []struct {
		zone     string
		eligible []model.Endpoint
	}{{"z0", []model.Endpoint{list[0], list[4], list[8]}}, {"z9", list}} {
		first, second := New(Options{Zone: test.zone, Seed: 7}), New(Options{Zone: test.zone, Seed: 99})
		first.SetEndpoints(0, list)
		second.SetEndpoints(0, list)
		selected, counts := map[uint64]string{}, map[string]int{}
		for key := uint64(1); key <= 300; key++ {
			byFirst, bySecond := first.Select(0, turnRequest(mix(key))).Endpoint, second.Select(0, turnRequest(mix(key))).Endpoint
			// Then they select the same endpoint for a key.
			if byFirst.ID != bySecond.ID {
				t.Fatalf("zone %s, key %d: one proxy selects %s, the other %s", test.zone, key, byFirst.ID, bySecond.ID)
			}
			selected[key] = byFirst.ID
			counts[byFirst.ID]++
		}
		// And the requests are spread over all eligible endpoints, and no others.
		if len(counts) != len(test.eligible) {
			t.Errorf("zone %s: the selected endpoints %v aren't the eligible ones", test.zone, counts)
		}
		even := 300 / len(test.eligible)
		for _, e := range test.eligible {
			if got := counts[e.ID]; got < even/2 || got > 2*even {
				t.Errorf("zone %s: %s got %d of 300, want about %d", test.zone, e.ID, got, even)
			}
		}
		// And when one endpoint leaves the list, only its keys move.
		first.SetEndpoints(0, list[1:])
		for key := uint64(1); key <= 300; key++ {
			moved := first.Select(0, turnRequest(mix(key))).Endpoint.ID != selected[key]
			if moved != (selected[key] == list[0].ID) {
				t.Fatalf("zone %s, key %d of %s: moved %v when the first endpoint left", test.zone, key, selected[key], moved)
			}
		}
	}
}

func TestSelect_PreferredEndpointCongested_GoesElsewhere(t *testing.T) {
	balancer := newBalancer(endpointsOf("models", 9, 8))
	r := Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 500, UncachedTokens: 300, OutputTokens: 24, AffinityKey: 12345}
	preferred, elsewhere := balancer.Select(0, r).Endpoint.ID, false
	for range 12 {
		d := balancer.Select(0, r)
		attempt := d.Attempt
		balancer.Sent(0, &attempt)
		elsewhere = elsewhere || d.Endpoint.ID != preferred
	}
	if !elsewhere {
		t.Error("all 12 calls went to one endpoint with a capacity of 8")
	}
}
