package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// coreRecorder records a core's mandates and quotas in their order, and confirms each at once.
type coreRecorder struct {
	calls []any
}

func (w *coreRecorder) Observe(func([]engine.Observation, map[string]uint64)) {}

func (w *coreRecorder) GrantQuota(s control.SharedLimits, _ time.Time, done func()) {
	w.calls = append(w.calls, s)
	done()
}

func (w *coreRecorder) applyMandate(s node.Mandate, _ Times, done func()) {
	w.calls = append(w.calls, s)
	done()
}

// TestMandate_Halted_CoreSpendsNextToNothing: given a relay that was granted shares, when it is halted, then its core spends next to
// nothing from right after that until right before it goes on; a lease that comes meanwhile counts from then on only.
func TestMandate_Halted_CoreSpendsNextToNothing(t *testing.T) {
	// Given
	core := &coreRecorder{}
	f := &Fleet{core: core, startedAt: time.Now(), events: make(chan node.Event, 9)}
	f.applyMandate = core.applyMandate
	key := quota.KeyOf(quota.Destination, "platform #0")
	f.observedKeys.Store(&map[quota.Key]observedKey{key: {"platform #0", -1, 7}})
	lease := func(number uint64, extra float64) *quota.Lease {
		return &quota.Lease{Term: 1, Number: number, Minimum: 0.1, Shares: []quota.KeyShare{{Key: key, Extra: extra}}, Expires: time.Hour}
	}
	spends := func(minimum, extra float64, stays bool) control.SharedLimits {
		return control.SharedLimits{GuaranteedShare: minimum, KeepsGuaranteed: stays, Grants: []control.Grant{{Endpoint: 7, ExtraShare: extra}}}
	}
	resting := engine.WithoutLease(spends(0, 0, false))

	// When
	f.setMandate(node.Mandate{Version: 1})
	f.setLease(lease(1, 0.5))
	f.setMandate(node.Mandate{Version: 1, Halted: 2})
	f.setLease(lease(2, 0.6))
	f.setMandate(node.Mandate{Version: 1, Halted: 2, Until: time.Minute})
	f.setMandate(node.Mandate{Version: 2})

	// Then
	want := []any{node.Mandate{Version: 1}, spends(0.1, 0.5, false), node.Mandate{Version: 1, Halted: 2}, resting, resting,
		node.Mandate{Version: 1, Halted: 2, Until: time.Minute}, spends(0.1, 0.6, false), node.Mandate{Version: 2}}
	ages := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == ".LimitAge" || p.Last().String() == ".HealthAge" }, cmp.Ignore())
	if d := cmp.Diff(want, core.calls, ages); d != "" {
		t.Error(d)
	}
}

// TestSharedLimits_OlderLease_AgesAndWaitsAdvance: a lease of a while ago has aged by that when the core is granted it once more.
func TestSharedLimits_OlderLease_AgesAndWaitsAdvance(t *testing.T) {
	key := quota.KeyOf(quota.Destination, "platform #0")
	lease := &quota.Lease{Minimum: 0.1, Shares: []quota.KeyShare{{Key: key, Extra: 0.5, Limit: 30, LimitAge: time.Second, State: quota.Down,
		StateAge: 2 * time.Second, Wait: 300 * time.Millisecond, MayProbe: true}}}
	sights := map[quota.Key]observedKey{key: {"platform #0", -1, 7}}
	for _, c := range []struct {
		name                      string
		ago                       time.Duration
		limitAge, healthAge, wait time.Duration
	}{
		{"given a lease that has just come, then it is as it came", 0, time.Second, 2 * time.Second, 300 * time.Millisecond},
		{"given one of a moment ago, then it is older and the wait shorter", 200 * time.Millisecond, 1200 * time.Millisecond,
			2200 * time.Millisecond, 100 * time.Millisecond},
		{"given one older than its wait, then that is over", time.Second, 2 * time.Second, 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := control.SharedLimits{GuaranteedShare: 0.1, Grants: []control.Grant{{Endpoint: 7, ExtraShare: 0.5, Limit: 30,
				LimitAge: c.limitAge, Unhealthy: true, HealthAge: c.healthAge, RetryAfter: c.wait, MayProbe: true}}}
			if d := cmp.Diff(want, sharedLimits(lease, sights, c.ago)); d != "" {
				t.Error(d)
			}
		})
	}
}
