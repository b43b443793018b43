package balancer

import (
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

func TestSelect_TargetBonus_IsSpentSoonAndOnce(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		// Given a version that may get 4 requests above its share at first,
		list := endpointsOf("feeds", 8, 6)
		for i := range 4 {
			list[i].Version = "v2"
		}
		balancer := newBalancer(list)
		versions := []view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", TrafficShare: 0.05, InitialAllowance: 4}}
		balancer.SetVersions(versions)
		// when requests come, and the same versions are set again meanwhile,
		target := [1001]int{}
		for i := range 1000 {
			target[i+1] = target[i]
			if serveNumbered(balancer, i, pinned).Version == "v2" {
				target[i+1]++
			}
			balancer.SetVersions(versions)
		}
		// then it gets most of them within the first requests, and in all no more than its share and them.
		if target[24] < 4 {
			t.Errorf("pinned %v: the target got %d of the first 24 requests", pinned, target[24])
		}
		for i, got := range target {
			if maximum := 0.05*float64(i) + 4; float64(got) > maximum {
				t.Fatalf("pinned %v: the target got %d of %d requests", pinned, got, i)
			}
		}
	}
}

func TestSelect_TargetOfRareAndFrequentRoutes_GetsAboutAsManyOfEach(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		// Given a version that is rolled out for a service of which one route has a fourth of the requests, and another one a twentieth,
		list := endpointsOf("feeds", 8, 6)
		for i := range 4 {
			list[i].Version = "v2"
		}
		balancer := newBalancer(list)
		balancer.SetVersions([]view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", TrafficShare: 0.1}})
		// when requests come,
		sent := map[string]int{}
		const requests = 2000
		for number := range requests {
			route := "frequent"
			switch {
			case number%20 == 7:
				route = "rare"
			case number%4 == 1:
				route = "usual"
			}
			r := retryableRequest()
			r.Route.Name = route
			if pinned {
				r.AffinityKey, r.Route.UsesAffinity = uint64(number+1)*0x9e3779b97f4a7c15, true
			}
			now := time.Duration(number) * 10 * time.Millisecond
			d := balancer.Select(now, r)
			balancer.Sent(now, &d.Attempt)
			balancer.Done(now, &d.Attempt, Outcome{Elapsed: 5 * time.Millisecond})
			if d.Endpoint.Version == "v2" {
				sent[route]++
			}
		}
		// then the version gets most of the rare route's requests that its share allows, no fewer of the usual one's, and its whole share.
		total := sent["rare"] + sent["usual"] + sent["frequent"]
		if total < 0.095*requests || total > 0.1*requests {
			t.Errorf("pinned %v: the target got %d of %d requests: %v", pinned, total, requests, sent)
		}
		if sent["rare"] < 30 || sent["usual"] < 50 {
			t.Errorf("pinned %v: the target got %v", pinned, sent)
		}
	}
}
