package balancer

import (
	"testing"
	"time"

	"mastusher/internal/tier/view"
)

func TestSelect_TargetBonus_IsSpentSoonAndOnce(t *testing.T) {
	for _, withAffinity := range []bool{false, true} {
		// Given a target version with a bonus of 4 requests above its share,
		list := endpointsOf("feeds", 8, 6)
		for i := range 4 {
			list[i].Version = "v2"
		}
		balancer := newBalancer(list)
		versions := []view.ServiceVersions{{Service: "feeds", Current: "v1", Target: "v2", TrafficShare: 0.05, InitialAllowance: 4}}
		balancer.SetVersions(versions)
		// when requests come, and SetVersions is called with the same versions after each,
		toTarget := [1001]int{}
		for i := range 1000 {
			toTarget[i+1] = toTarget[i]
			if serveNumbered(balancer, i, withAffinity).Version == "v2" {
				toTarget[i+1]++
			}
			balancer.SetVersions(versions)
		}
		// then the target gets the bonus within the first 24 requests, and at no time more than its share and the bonus.
		if toTarget[24] < 4 {
			t.Errorf("affinity %v: the target got %d of the first 24 requests, want 4 or more", withAffinity, toTarget[24])
		}
		for i, got := range toTarget {
			if maximum := 0.05*float64(i) + 4; float64(got) > maximum {
				t.Fatalf("affinity %v: the target got %d of the first %d requests, more than its share and the bonus", withAffinity, got, i)
			}
		}
	}
}

func TestSelect_TargetOfRareAndFrequentRoutes_GetsAboutAsManyOfEach(t *testing.T) {
	for _, withAffinity := range []bool{false, true} {
		// Given a rollout for a service with three routes, one of which has a quarter of the requests and another one a twentieth,
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
			if withAffinity {
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
		// then the target gets its full share, which holds three times the rare route's proportion or more, and at least the usual one's.
		total := sent["rare"] + sent["usual"] + sent["frequent"]
		if total < 0.095*requests || total > 0.1*requests {
			t.Errorf("affinity %v: the target got %d of %d requests, want 9.5%% to 10%%: %v", withAffinity, total, requests, sent)
		}
		if sent["rare"] < 30 || sent["usual"] < 50 {
			t.Errorf("affinity %v: the target got %v, want 30 or more rare and 50 or more usual ones", withAffinity, sent)
		}
	}
}
