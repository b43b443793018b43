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

// TestBreaker_FailsForOnePartner_OthersGoOn: a plug-in that fails for one partner is soon no longer called for that partner, but still
// for the others.
func TestBreaker_FailsForOnePartner_OthersGoOn(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.FailsFor(7), "").host()
	v := versionAt(h, 0)
	for i := range 50 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7+i%5))
	}
	state := v.gate.Snapshot(time.Now())
	if n := v.counts.Failures.Load(); n != 3 || state.Open || !cmp.Equal(state.Partners, []int{7}) {
		t.Errorf("%d failures, want 3, and only partner 7's breaker open: %+v", n, state)
	}
	if n := v.counts.Calls.Load(); n != 43 {
		t.Errorf("%d calls, want 43: 40 for the other partners and 3 for partner 7", n)
	}
}

// TestBreaker_OpensDuringBurst_ReleasesAll: when a breaker opens while a burst of calls waits for an instance, all of them return at
// once, and each is counted.
func TestBreaker_OpensDuringBurst_ReleasesAll(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.LoopsFor(7), `"timeout": "50ms"`).host()
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() { h.OnArrival("platform", message(fmt.Sprint(i), 7+i%2)) })
	}
	all.Wait()
	v := versionAt(h, 0)
	if n := v.counts.Calls.Load() + v.counts.Skipped.Load(); n != 40 || v.counts.Failures.Load() > 3 {
		t.Errorf("%d calls made or skipped, want 40; %d failures, want at most 3", n, v.counts.Failures.Load())
	}
	if state := v.gate.Snapshot(time.Now()); state.Busy != 0 || state.Open {
		t.Errorf("gate %+v, want no call in progress and the plug-in's breaker closed", state)
	}
}

// TestHost_CPUShareUsed_IsNotAsked: a plug-in that has used up its share of processor time is not called until the share has been refilled.
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
		t.Errorf("%d calls, want at most 5; %d skipped, want at least 15", c.Calls.Load(), c.Skipped.Load())
	}
}
