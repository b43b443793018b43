package plugin

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin/wasmtest"
)

// FuzzHostFunctions calls each host function with arbitrary arguments in each phase. The host must not panic or return an outcome
// that the rules forbid, and a second call must work too, in the same instance or a new one.
func FuzzHostFunctions(f *testing.F) {
	for _, v := range []int64{0, 1, 8, 65535, 65536, -1, math.MaxInt32, math.MinInt32, 422, 429} {
		for n := range len(hostFunctions) {
			f.Add(uint8(n), uint8(n%3), v, int64(8), int64(0), int64(16), int64(9))
			f.Add(uint8(n), uint8(n%3), int64(8), v, int64(8), v, v)
		}
	}
	cfg, err := config.ForPlugin("", nil, "", "", `{"a": 1}`)
	if err != nil {
		f.Fatal(err)
	}
	cfg.Limits.PluginStart, cfg.Limits.PluginGrace = time.Minute, time.Minute
	cfg.Limits.PluginBurst = time.Hour
	cfg.Plugins[0].Instances, cfg.Plugins[0].Timeout = 1, time.Minute
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, which, phaseNo uint8, a, b, c, d, e int64) {
		function := hostFunctions[int(which)%len(hostFunctions)]
		phase := allPhases[int(phaseNo)%len(allPhases)]
		fuzzed := *cfg
		fuzzed.Plugins = []config.Plugin{cfg.Plugins[0]}
		fuzzed.Plugins[0].File = filepath.Join(dir, "p.wasm")
		module := wasmtest.CallsWith(phase.String(), int32(phase), function.name, a, b, c, d, e)
		if err := os.WriteFile(fuzzed.Plugins[0].File, module, 0o600); err != nil {
			t.Fatal(err)
		}
		h, err := New(&fuzzed, fronts, discardLog())
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		for range 2 {
			call := Call{Phase: phase, Front: "platform", ID: "m", Body: []byte("body"), Result: "delivered", Now: time.Now()}
			outcome, err := h.CallOnce("plugin", call)
			checkOutcome(t, h, phase, outcome, err)
		}
	})
}

// checkOutcome checks that an outcome at the front "platform" is within the rules, and that a failed call has changed nothing.
func checkOutcome(t *testing.T, h *Host, phase Phase, outcome Outcome, err error) {
	t.Helper()
	if err != nil && (len(outcome.ExtraHeaders) > 0 || outcome.Body != nil || outcome.Reject) {
		t.Fatalf("the call failed, but has the outcome %+v", outcome)
	}
	badStatus := outcome.Status < 400 || outcome.Status > 499
	if outcome.Reject && (phase != Arrival || badStatus || len(outcome.Reason) > 4*h.limits.PluginReason) {
		t.Fatalf("invalid rejection: %+v", outcome)
	}
	if outcome.Body != nil || phase != Arrival && len(outcome.ExtraHeaders) > 0 {
		t.Fatalf("forbidden change: %+v", outcome)
	}
	for _, text := range outcome.ExtraHeaders {
		for _, char := range text {
			if char < ' ' || char > '~' {
				t.Fatalf("headers %q, want printable ASCII only", outcome.ExtraHeaders)
			}
		}
	}
}

// BenchmarkArrive measures the cost that a plug-in which does nothing adds to a message's arrival.
func BenchmarkArrive(b *testing.B) {
	file := filepath.Join(b.TempDir(), "p.wasm")
	if err := os.WriteFile(file, wasmtest.Passing(), 0o600); err != nil {
		b.Fatal(err)
	}
	cfg, err := config.ForPlugin(file, nil, "", "", "")
	if err != nil {
		b.Fatal(err)
	}
	cfg.Limits.PluginBurst = time.Hour
	h, err := New(cfg, fronts, discardLog())
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	m := message("m", 7)
	b.ReportAllocs()
	for b.Loop() {
		h.OnArrival("platform", m)
	}
}
