package plugin

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/wasmtest"
)

// TestBreaker_FailsForOnePartner_OthersGoOn: a plug-in that fails for one partner is soon not asked for that one, and goes on for the others.
func TestBreaker_FailsForOnePartner_OthersGoOn(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.FailsFor(7), "").host()
	v := versionAt(h, 0)
	for i := range 50 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7+i%5))
	}
	state := v.gate.Snapshot(time.Now())
	if n := v.counts.Failures.Load(); n != 3 || state.Open || !cmp.Equal(state.Partners, []int{7}) {
		t.Errorf("%d failures; %+v", n, state)
	}
	if n := v.counts.Calls.Load(); n != 43 {
		t.Errorf("%d calls, want 40 for the others and 3 for the one", n)
	}
}

// TestBreaker_OpensDuringBurst_ReleasesAll: a breaker that opens while a burst waits for an instance lets them all go at once; nobody is lost.
func TestBreaker_OpensDuringBurst_ReleasesAll(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.LoopsFor(7), `"timeout": "50ms"`).host()
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() { h.OnArrival("platform", message(fmt.Sprint(i), 7+i%2)) })
	}
	all.Wait()
	v := versionAt(h, 0)
	if n := v.counts.Calls.Load() + v.counts.Skipped.Load(); n != 40 || v.counts.Failures.Load() > 3 {
		t.Errorf("%d of 40 accounted for, %d failures", n, v.counts.Failures.Load())
	}
	if state := v.gate.Snapshot(time.Now()); state.Busy != 0 || state.Open {
		t.Errorf("%+v", state)
	}
}

// TestHost_CPUShareUsed_IsNotAsked: a plug-in that burns its share of processor time is not asked until there is some again.
func TestHost_CPUShareUsed_IsNotAsked(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Loops(1), `"cpu_share": 0.001, "timeout": "50ms"`)
	h := s.adjustedHost(func(cfg *config.Config) {
		cfg.Limits.PluginBurst = 10 * time.Millisecond
		cfg.Limits.PluginBreakerThreshold = 1000
	})
	for i := range 20 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7))
	}
	if c := &versionAt(h, 0).counts; c.Calls.Load() > 5 || c.Skipped.Load() < 15 {
		t.Errorf("%d calls, %d skipped", c.Calls.Load(), c.Skipped.Load())
	}
}
