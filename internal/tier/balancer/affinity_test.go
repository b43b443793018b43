package balancer

import (
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// turnRequest returns a turn of a program with that affinity.
func turnRequest(affinity uint64) Request {
	return Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 2000, NewTokens: 300, OutTokens: 24, AffinityKey: affinity}
}

func TestSelect_Affinity_AgreesAcrossProxies(t *testing.T) {
	// Given two proxies of one zone that know nothing of each other, and one of a zone without endpoints beside another such.
	list := endpointsOf("models", 9, 64) // three of them in z0
	for _, test := range []struct {
		zone     string
		endpoint []model.Endpoint // that may be chosen
	}{{"z0", []model.Endpoint{list[0], list[4], list[8]}}, {"z9", list}} {
		first, second := New(Options{Zone: test.zone, Seed: 7}), New(Options{Zone: test.zone, Seed: 99})
		first.SetEndpoints(0, list)
		second.SetEndpoints(0, list)
		places, counts := map[uint64]string{}, map[string]int{}
		for key := uint64(1); key <= 300; key++ {
			byFirst, bySecond := first.Select(0, turnRequest(mix(key))).Endpoint, second.Select(0, turnRequest(mix(key))).Endpoint
			// Then they agree.
			if byFirst.ID != bySecond.ID {
				t.Fatalf("zone %s, key %d: %s and %s", test.zone, key, byFirst.ID, bySecond.ID)
			}
			places[key] = byFirst.ID
			counts[byFirst.ID]++
		}
		// And all endpoints that may be chosen share them, and no others.
		if len(counts) != len(test.endpoint) {
			t.Errorf("zone %s: chosen %v", test.zone, counts)
		}
		even := 300 / len(test.endpoint)
		for _, e := range test.endpoint {
			if got := counts[e.ID]; got < even/2 || got > 2*even {
				t.Errorf("zone %s: %s got %d of 300, want about %d", test.zone, e.ID, got, even)
			}
		}
		// And when one endpoint leaves, only its affinities move.
		first.SetEndpoints(0, list[1:])
		for key := uint64(1); key <= 300; key++ {
			moved := first.Select(0, turnRequest(mix(key))).Endpoint.ID != places[key]
			if moved != (places[key] == list[0].ID) {
				t.Fatalf("zone %s, key %d of %s: moved %v", test.zone, key, places[key], moved)
			}
		}
	}
}

func TestSelect_PreferredEndpointCongested_GoesElsewhere(t *testing.T) {
	balancer := newBalancer(endpointsOf("models", 9, 8))
	r := Request{Service: "models", Route: Route{Name: "turns", Kind: model.Streaming, MaxAttempts: 1, UsesAffinity: true},
		TimeLeft: 4 * time.Second, PrefixTokens: 500, NewTokens: 300, OutTokens: 24, AffinityKey: 12345}
	preferred, elsewhere := balancer.Select(0, r).Endpoint.ID, false
	for range 12 {
		d := balancer.Select(0, r)
		attempt := d.Attempt
		balancer.Sent(0, &attempt)
		elsewhere = elsewhere || d.Endpoint.ID != preferred
	}
	if !elsewhere {
		t.Error("all of 12 calls went to one endpoint of 8 slots")
	}
}
