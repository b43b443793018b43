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

// FuzzHostFunctions calls each import with whatever arguments, in each phase: the host neither panics nor lets
// anything out that the rules forbid, and the instance behind the call still works or is started anew.
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
	f.Fuzz(func(t *testing.T, which, phase uint8, a, b, c, d, e int64) {
		fn := hostFunctions[int(which)%len(hostFunctions)]
		p := []Phase{Arrival, Answer, End}[phase%3]
		mine := *cfg
		mine.Plugins = []config.Plugin{cfg.Plugins[0]}
		mine.Plugins[0].File = filepath.Join(dir, "p.wasm")
		if err := os.WriteFile(mine.Plugins[0].File, wasmtest.CallsWith(p.String(), int32(p), fn.name, a, b, c, d, e), 0o600); err != nil {
			t.Fatal(err)
		}
		h, err := New(&mine, fronts, discardLog())
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		for range 2 {
			out, err := h.CallOnce("plugin", Call{Phase: p, Front: "platform", ID: "m", Body: []byte("body"), Result: "delivered", Now: time.Now()})
			if err != nil && (len(out.Shape) > 0 || out.Body != nil || out.Reject) {
				t.Fatalf("failed, and yet %+v", out)
			}
			if out.Reject && (p != Arrival || out.Status < 400 || out.Status > 499 || len(out.Reason) > 4*h.limits.PluginReason) {
				t.Fatalf("%+v", out)
			}
			if out.Body != nil || p != Arrival && len(out.Shape) > 0 {
				t.Fatalf("%+v", out)
			}
			for i := 0; i < len(out.Shape); i += 2 {
				for _, ch := range out.Shape[i] + out.Shape[i+1] {
					if ch < ' ' || ch > '~' {
						t.Fatalf("%q goes out", out.Shape)
					}
				}
			}
		}
	})
}

// BenchmarkArrive is what a passing plug-in adds to a message.
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
