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

// wordsToCore notes in which order a core was told what, and says at once that it goes by that.
type wordsToCore struct {
	told []any
}

func (w *wordsToCore) Observe(func([]engine.Observation, map[string]uint64)) {}

func (w *wordsToCore) GrantQuota(s control.SharedLimits, _ time.Time, done func()) {
	w.told = append(w.told, s)
	done()
}

func (w *wordsToCore) stand(s node.Mandate, _ Times, done func()) {
	w.told = append(w.told, s)
	done()
}

// TestHaltedSpends: given a relay that was lent parts, when it is halted, then its core spends next to nothing from right after that until
// right before it goes on; a lease that comes meanwhile counts from then on only.
func TestHaltedSpends(t *testing.T) {
	// Given
	core := &wordsToCore{}
	f := &Fleet{core: core, startedAt: time.Now(), events: make(chan node.Event, 9)}
	f.applyMandate = core.stand
	key := quota.KeyOf(quota.Destination, "platform #0")
	f.observedKeys.Store(&map[quota.Key]observedKey{key: {"platform #0", -1, 7}})
	loan := func(no uint64, extra float64) *quota.Lease {
		return &quota.Lease{Term: 1, Number: no, Minimum: 0.1, Shares: []quota.KeyShare{{Key: key, Extra: extra}}, Expires: time.Hour}
	}
	spends := func(floor, extra float64, stays bool) control.SharedLimits {
		return control.SharedLimits{GuaranteedShare: floor, KeepsGuaranteed: stays, Grants: []control.Grant{{Endpoint: 7, ExtraShare: extra}}}
	}
	resting := engine.WithoutLease(spends(0, 0, false))

	// When
	f.setMandate(node.Mandate{Version: 1})
	f.setLease(loan(1, 0.5))
	f.setMandate(node.Mandate{Version: 1, Halted: 2})
	f.setLease(loan(2, 0.6))
	f.setMandate(node.Mandate{Version: 1, Halted: 2, Until: time.Minute})
	f.setMandate(node.Mandate{Version: 2})

	// Then
	want := []any{node.Mandate{Version: 1}, spends(0.1, 0.5, false), node.Mandate{Version: 1, Halted: 2}, resting, resting,
		node.Mandate{Version: 1, Halted: 2, Until: time.Minute}, spends(0.1, 0.6, false), node.Mandate{Version: 2}}
	ages := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == ".LimitAge" || p.Last().String() == ".HealthAge" }, cmp.Ignore())
	if d := cmp.Diff(want, core.told, ages); d != "" {
		t.Error(d)
	}
}

// TestSharedAges: what a relay was lent a while ago has aged by that when its core is told it once more.
func TestSharedAges(t *testing.T) {
	key := quota.KeyOf(quota.Destination, "platform #0")
	lent := &quota.Lease{Minimum: 0.1, Shares: []quota.KeyShare{{Key: key, Extra: 0.5, Limit: 30, LimitAge: time.Second, State: quota.Down,
		StateAge: 2 * time.Second, Wait: 300 * time.Millisecond, MayProbe: true}}}
	sights := map[quota.Key]observedKey{key: {"platform #0", -1, 7}}
	for _, c := range []struct {
		name             string
		ago              time.Duration
		told, seen, wait time.Duration
	}{
		{"given a loan that has just come, then it is as it came", 0, time.Second, 2 * time.Second, 300 * time.Millisecond},
		{"given one of a moment ago, then it is older and the wait shorter", 200 * time.Millisecond, 1200 * time.Millisecond,
			2200 * time.Millisecond, 100 * time.Millisecond},
		{"given one older than its wait, then that is over", time.Second, 2 * time.Second, 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := control.SharedLimits{GuaranteedShare: 0.1, Grants: []control.Grant{{Endpoint: 7, ExtraShare: 0.5, Limit: 30, LimitAge: c.told, Unhealthy: true, HealthAge: c.seen,
				RetryAfter: c.wait, MayProbe: true}}}
			if d := cmp.Diff(want, sharedLimits(lent, sights, c.ago)); d != "" {
				t.Error(d)
			}
		})
	}
}
