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

// coreRecorder is a Core that records its mandates and limits in order, and confirms each at once.
type coreRecorder struct {
	calls []any
}

func (r *coreRecorder) Observe(func([]engine.Observation, map[string]uint64)) {}

func (r *coreRecorder) GrantQuota(s control.SharedLimits, _ time.Time, done func()) {
	r.calls = append(r.calls, s)
	done()
}

func (r *coreRecorder) applyMandate(s node.Mandate, _ Times, done func()) {
	r.calls = append(r.calls, s)
	done()
}

// TestMandate_Halted_CoreSpendsNextToNothing: given a relay with shares, when it is halted, then its core spends as without a lease from
// right after that until right before it resumes. A lease that arrives meanwhile is applied when it resumes.
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
	limits := func(minimum, extra float64, keepsMinimum bool) control.SharedLimits {
		return control.SharedLimits{GuaranteedShare: minimum, KeepsGuaranteed: keepsMinimum, Grants: []control.Grant{{Endpoint: 7, ExtraShare: extra}}}
	}
	limitsWhileHalted := engine.WithoutLease(limits(0, 0, false))

	// When
	f.setMandate(node.Mandate{Version: 1})
	f.setLease(lease(1, 0.5))
	f.setMandate(node.Mandate{Version: 1, Halted: 2})
	f.setLease(lease(2, 0.6))
	f.setMandate(node.Mandate{Version: 1, Halted: 2, Until: time.Minute})
	f.setMandate(node.Mandate{Version: 2})

	// Then
	want := []any{node.Mandate{Version: 1}, limits(0.1, 0.5, false), node.Mandate{Version: 1, Halted: 2}, limitsWhileHalted, limitsWhileHalted,
		node.Mandate{Version: 1, Halted: 2, Until: time.Minute}, limits(0.1, 0.6, false), node.Mandate{Version: 2}}
	ages := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == ".LimitAge" || p.Last().String() == ".HealthAge" }, cmp.Ignore())
	if d := cmp.Diff(want, core.calls, ages); d != "" {
		t.Error(d)
	}
}

// TestSharedLimits_OlderLease_AgesAndWaitsAdvance: when the core is granted a lease again later, ages have grown and waits have shrunk by
// the time since the lease was received.
func TestSharedLimits_OlderLease_AgesAndWaitsAdvance(t *testing.T) {
	key := quota.KeyOf(quota.Destination, "platform #0")
	lease := &quota.Lease{Minimum: 0.1, Shares: []quota.KeyShare{{Key: key, Extra: 0.5, Limit: 30, LimitAge: time.Second, State: quota.Down,
		StateAge: 2 * time.Second, Wait: 300 * time.Millisecond, MayProbe: true}}}
	observedKeys := map[quota.Key]observedKey{key: {"platform #0", -1, 7}}
	for _, c := range []struct {
		name                      string
		ago                       time.Duration
		limitAge, healthAge, wait time.Duration
	}{
		{"given a lease just received, then ages and wait are unchanged", 0, time.Second, 2 * time.Second, 300 * time.Millisecond},
		{"given a lease received before, then ages are longer and the wait is shorter", 200 * time.Millisecond, 1200 * time.Millisecond,
			2200 * time.Millisecond, 100 * time.Millisecond},
		{"given a lease older than its wait, then the wait is over", time.Second, 2 * time.Second, 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := control.SharedLimits{GuaranteedShare: 0.1, Grants: []control.Grant{{Endpoint: 7, ExtraShare: 0.5, Limit: 30,
				LimitAge: c.limitAge, Unhealthy: true, HealthAge: c.healthAge, RetryAfter: c.wait, MayProbe: true}}}
			if d := cmp.Diff(want, sharedLimits(lease, observedKeys, c.ago)); d != "" {
				t.Error(d)
			}
		})
	}
}
