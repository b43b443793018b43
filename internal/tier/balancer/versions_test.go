package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// serveNumbered sends a numbered request of a series that come 10 ms apart, answers it at once, and returns its endpoint. With affinity,
// each request has an affinity key of its own.
func serveNumbered(balancer *Balancer, number int, withAffinity bool) *model.Endpoint {
	r := retryableRequest()
	if withAffinity {
		r.AffinityKey, r.Route.UsesAffinity = uint64(number+1)*0x9e3779b97f4a7c15, true
	}
	now := time.Duration(number) * 10 * time.Millisecond
	d := balancer.Select(now, r)
	balancer.Sent(now, &d.Attempt)
	balancer.Done(now, &d.Attempt, Outcome{Elapsed: 5 * time.Millisecond})
	return d.Endpoint
}

func TestSelect_TargetVersion_GetsItsShare(t *testing.T) {
	list := endpointsOf("feeds", 8, 6)
	for i := range 4 {
		list[i].Version = "v2"
	}
	for _, share := range []float64{0, 0.05, 0.3, 1} {
		for _, withAffinity := range []bool{false, true} {
			balancer := newBalancer(list)
			balancer.SetVersions([]view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", TrafficShare: share}})
			toTarget := 0
			for i := range 1000 {
				if serveNumbered(balancer, i, withAffinity).Version == "v2" {
					toTarget++
				}
			}
			if got := float64(toTarget) / 1000; got > share || got < 0.8*share {
				t.Errorf("share %v, affinity %v: the target got a share of %v", share, withAffinity, got)
			}
		}
	}
}

func TestSelect_SmallShare_LoadsFewTargetEndpoints(t *testing.T) {
	// Given proxies that send a twentieth of the requests to a target with as many endpoints as the version in service.
	for _, test := range []struct{ endpoints, want int }{{9, 1}, {48, 2}, {100, 5}} {
		list := endpointsOf("models", 2*test.endpoints, 64)
		for i := range test.endpoints {
			list[i].Version = "v2"
		}
		selected := map[string]bool{}
		for seed := range uint64(4) {
			balancer := New(Options{Zone: fmt.Sprintf("z%d", seed), Seed: seed})
			balancer.SetEndpoints(0, list)
			balancer.SetVersions([]view.ServiceVersions{{Service: "models", Current: "v1", Target: "v2", TrafficShare: 0.05}})
			for key := range uint64(4000) {
				now := time.Duration(key) * 10 * time.Millisecond
				d := balancer.Select(now, turnRequest(mix(key+1)))
				balancer.Sent(now, &d.Attempt)
				balancer.Done(now, &d.Attempt, Outcome{Elapsed: 5 * time.Millisecond})
				if d.Endpoint.Version == "v2" {
					selected[d.Endpoint.ID] = true
				}
			}
			// And when the target has become the version in service, at least as many of its endpoints take requests as a zone has.
			balancer.SetVersions([]view.ServiceVersions{{Service: "models", Current: "v2"}})
			after := map[string]bool{}
			for key := range uint64(4000) {
				after[balancer.Select(time.Minute, turnRequest(mix(key+1))).Endpoint.ID] = true
			}
			if zone := test.endpoints / 4; len(after) < zone {
				t.Errorf("%d endpoints, after the rollout: %d were selected, want at least the %d of the zone", test.endpoints, len(after), zone)
			}
		}
		// Then only a twentieth of the target's endpoints get requests, at least one, and the same from all proxies.
		if len(selected) != test.want {
			t.Errorf("%d endpoints: during the rollout the target's endpoints %v were selected, want %d", test.endpoints, selected, test.want)
		}
	}
}
