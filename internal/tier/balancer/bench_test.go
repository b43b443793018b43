package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// BenchmarkSelect makes 200 calls a second, each of which takes 100 ms.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{9, 28, 4500} {
		for _, withAffinity := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/affinity=%v", n, withAffinity), func(b *testing.B) {
				balancer := newBalancer(endpointsOf("feeds", n, 6))
				attempts := make([]Attempt, 20)
				r := retryableRequest()
				r.Route.UsesAffinity = withAffinity
				b.ReportAllocs()
				now, i := time.Duration(0), 0
				for b.Loop() {
					now += 5 * time.Millisecond
					a := &attempts[i%len(attempts)]
					if a.sent {
						balancer.Done(now, a, Outcome{Elapsed: now - a.sentAt, Load: Load{Running: 2, Capacity: 6}})
					}
					if withAffinity {
						r.AffinityKey = mix(uint64(i%500 + 1))
					}
					if d := balancer.Select(now, r); d.Endpoint != nil {
						*a = d.Attempt
						balancer.Sent(now, a)
					}
					i++
				}
			})
		}
	}
}

func BenchmarkSetEndpoints(b *testing.B) {
	for _, n := range []int{28, 4500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			balancer, list := New(Options{Seed: 1}), endpointsOf("feeds", n, 6)
			b.ReportAllocs()
			for b.Loop() {
				balancer.SetEndpoints(0, append([]model.Endpoint(nil), list...))
			}
		})
	}
}
