package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// serveNumbered has the request with a number, of a series that come 10 ms apart, answered at once. It returns the endpoint that served
// it. A pinned request has an affinity of its own.
func serveNumbered(balancer *Balancer, number int, pinned bool) *model.Endpoint {
	r := retryableRequest()
	if pinned {
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
		for _, pinned := range []bool{false, true} {
			balancer := newBalancer(list)
			balancer.SetVersions([]view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", TrafficShare: share}})
			target := 0
			for i := range 1000 {
				if serveNumbered(balancer, i, pinned).Version == "v2" {
					target++
				}
			}
			if got := float64(target) / 1000; got > share || got < 0.8*share {
				t.Errorf("share %v, pinned %v: the target got %v", share, pinned, got)
			}
		}
	}
}

func TestSelect_SmallShare_LoadsFewTargetEndpoints(t *testing.T) {
	// Given proxies that give a twentieth to a target that has as many endpoints as the version in service.
	for _, test := range []struct{ endpoints, want int }{{9, 1}, {48, 2}, {100, 5}} {
		list := endpointsOf("models", 2*test.endpoints, 64)
		for i := range test.endpoints {
			list[i].Version = "v2"
		}
		chosen := map[string]bool{}
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
					chosen[d.Endpoint.ID] = true
				}
			}
			// And when the target has won, all of its endpoints take requests.
			balancer.SetVersions([]view.ServiceVersions{{Service: "models", Current: "v2"}})
			after := map[string]bool{}
			for key := range uint64(4000) {
				after[balancer.Select(time.Minute, turnRequest(mix(key+1))).Endpoint.ID] = true
			}
			if zone := test.endpoints / 4; len(after) < zone {
				t.Errorf("%d endpoints, after the trial: %d are chosen, want the %d of the zone at least", test.endpoints, len(after), zone)
			}
		}
		// Then only so many get requests, the same at all proxies, as that share loads like the whole service.
		if len(chosen) != test.want {
			t.Errorf("%d endpoints: the trial went to %v, want %d", test.endpoints, chosen, test.want)
		}
	}
}
