package balancer

import (
	"testing"

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
