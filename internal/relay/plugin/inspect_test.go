package plugin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/wasmtest"
)

// TestHost_ForbiddenHeaders_AreRefusedAndCounted: a change that the host refuses is counted and not applied.
func TestHost_ForbiddenHeaders_AreRefusedAndCounted(t *testing.T) {
	set := func(k, v string) []byte { return wasmtest.Header(k, v) }
	for name, c := range map[string]struct {
		front  string
		module []byte
		out    []string
	}{
		"allowed header":                    {"platform", set("x-desk", "sports"), []string{"X-Desk", "sports"}},
		"header of the protocol":            {"platform", set("X-Request-ID", "other"), nil},
		"header of HTTP framing":            {"platform", set("transfer-encoding", "chunked"), nil},
		"second request in a value":         {"platform", set("X-A", "b\r\n\r\nPOST /inbox HTTP/1.1"), nil},
		"second header in a name":           {"platform", set("X-A: b\r\nX-B", "c"), nil},
		"value that is too long":            {"platform", set("X-A", strings.Repeat("a", 1025)), nil},
		"body at a front that locks bodies": {"platform", rewrites("other"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("p", c.module, "").host()
			m := message("m", 7)
			if r := h.OnArrival(c.front, m); r.Verdict != engine.Accepted || string(m.Body) != "body" {
				t.Errorf("%+v, body %q; want it accepted unchanged", r, m.Body)
			}
			if d := cmp.Diff(c.out, m.ExtraHeaders); d != "" {
				t.Error(d)
			}
			if got := versionAt(h, 0).counts.Refused.Load(); (got == 1) != (c.out == nil) {
				t.Errorf("%d refusals, want 1 exactly if no header may be set", got)
			}
		})
	}
}

// rewrites returns a module that replaces the body by text.
func rewrites(text string) []byte {
	p := wasmtest.Plugin(1, 1, 1, "set_body")
	body := p.Data(64, text)
	return p.On("arrival", 0, p.Do("set_body", body), wasmtest.Drop, wasmtest.Const(0)).Bytes()
}

// TestHost_RewrittenBody_SeenByNextPlugin: a new body replaces the message's body if the front allows it; else the body stays.
func TestHost_RewrittenBody_SeenByNextPlugin(t *testing.T) {
	for text, want := range map[string]string{"brave": "brave", "other": "body"} {
		h := newSetup(t).with("p", rewrites(text), "").host()
		m := message("m", 7)
		h.OnArrival("activitypub", m)
		if string(m.Body) != want {
			t.Errorf("after a rewrite to %q the body is %q, want %q", text, m.Body, want)
		}
	}
}

// TestHost_PluginsUndoEachOther_LastWins: of two plug-ins that undo each other's change, each runs once, in order, and the last one wins.
func TestHost_PluginsUndoEachOther_LastWins(t *testing.T) {
	sets, removes := wasmtest.Header("X-Desk", "sports"), removesHeader("X-Desk")
	removedLast, setLast := message("a", 7), message("b", 7)
	newSetup(t).with("set", sets, "").with("remove", removes, "").host().OnArrival("platform", removedLast)
	newSetup(t).with("remove", removes, "").with("set", sets, "").host().OnArrival("platform", setLast)
	if len(removedLast.ExtraHeaders) > 0 {
		t.Errorf("removed last: headers %v, want none", removedLast.ExtraHeaders)
	}
	if d := cmp.Diff([]string{"X-Desk", "sports"}, setLast.ExtraHeaders); d != "" {
		t.Errorf("set last (-want +got)\n%s", d)
	}
}

// removesHeader returns a module that removes a header.
func removesHeader(name string) []byte {
	p := wasmtest.Plugin(1, 1, 1, "remove_header")
	header := p.Data(64, name)
	return p.On("arrival", 0, p.Do("remove_header", header), wasmtest.Drop, wasmtest.Const(0)).Bytes()
}

// TestHost_Scope_AsksOnlyWhereConfigured: a plug-in is called only for the configured fronts, partners and classes.
func TestHost_Scope_AsksOnlyWhereConfigured(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.Header("X-Desk", "s"),
		`"fronts": ["platform"], "partners": [7, 9], "classes": ["score-state"]`).host()
	for _, c := range []struct {
		front   string
		partner int
		class   int
		want    int
	}{{"platform", 7, 1, 2}, {"platform", 9, 1, 2}, {"platform", 8, 1, 0}, {"platform", 7, 0, 0}, {"activitypub", 7, 1, 0}} {
		m := message("m", c.partner)
		m.Class = c.class
		if h.OnArrival(c.front, m); len(m.ExtraHeaders) != c.want {
			t.Errorf("%+v: headers %v, want as many names and values as the case's last number", c, m.ExtraHeaders)
		}
	}
}

// TestHost_RejectOnFailure_IsNeverFinal: with on_failure "reject", a failure makes the relay answer that it is busy; it never rejects the
// message for good.
func TestHost_RejectOnFailure_IsNeverFinal(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.Traps(1), `"on_failure": "reject"`).host()
	for range 9 { // also once the breaker is open
		if r := h.OnArrival("platform", message("m", 7)); r.Verdict != engine.Busy {
			t.Errorf("got %+v, want Busy", r)
		}
	}
	if n := versionAt(h, 0).counts.Failures.Load(); n != 3 {
		t.Errorf("%d failures before the breaker opened, want 3", n)
	}
}

// TestHost_NoTimeLeft_CountsAsFailed: a plug-in is not called if no time of PluginBudget is left, and on_failure decides about the message.
func TestHost_NoTimeLeft_CountsAsFailed(t *testing.T) {
	for keys, want := range map[string]engine.Verdict{`"on_failure": "pass"`: engine.Accepted, `"on_failure": "reject"`: engine.Busy} {
		h := newSetup(t).with("p", wasmtest.Header("X-Desk", "sports"), keys).adjustedHost(func(cfg *config.Config) {
			cfg.Limits.PluginBudget = time.Nanosecond
		})
		m := message("m", 7)
		if r := h.OnArrival("platform", m); r.Verdict != want || len(m.ExtraHeaders) > 0 {
			t.Errorf("%s: %+v, headers %v; want the verdict of on_failure and no headers", keys, r, m.ExtraHeaders)
		}
		if c := &versionAt(h, 0).counts; c.Skipped.Load() != 1 || c.Calls.Load() != 0 {
			t.Errorf("%s: %d calls skipped, want 1; %d made, want 0", keys, c.Skipped.Load(), c.Calls.Load())
		}
	}
}

// TestHost_AnswerPhase_OnlyMoreCareful: in the answer phase a plug-in may only lengthen a wait, or refuse a message that never ran.
func TestHost_AnswerPhase_OnlyMoreCareful(t *testing.T) {
	for name, c := range map[string]struct {
		module    []byte
		out, want engine.Outcome
	}{
		"longer wait":      {wasmtest.Asks(3000, false), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: 3 * time.Second}},
		"shorter wait":     {wasmtest.Asks(10, false), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}},
		"refusal for good": {wasmtest.Asks(0, true), engine.Outcome{Result: control.Throttled}, engine.Outcome{Result: control.Rejected}},
		"refusal for good after a requested wait": {wasmtest.Asks(0, true), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}},
		"refusal for good of what may have run":   {wasmtest.Asks(0, true), engine.Outcome{Result: control.Errored}, engine.Outcome{Result: control.Errored}},
		"wait and refusal upon a delivery":        {wasmtest.Asks(9, true), engine.Outcome{Result: control.Delivered}, engine.Outcome{Result: control.Delivered}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("p", c.module, "").host()
			step := engine.NewAttempt(engine.Destination{Partner: 7}, h.SampleBytes("platform", 7, 0), engine.Item{ID: "m"})
			step.ObserveAnswer(503, nil, []byte("full"))
			outs := []engine.Outcome{c.out}
			h.OnAnswer("platform", step, outs)
			if d := cmp.Diff([]engine.Outcome{c.want}, outs); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestABI1_StillRejects: an ABI 1 module whose alloc returns the same buffer for each call rejects each message with 422 and the
// plug-in's name.
func TestABI1_StillRejects(t *testing.T) {
	h := newSetup(t).with("old", wasmtest.ABI1(1024, 1), "").host()
	for range 3 {
		if d := cmp.Diff(engine.Ruling{Verdict: engine.Rejected, Status: 422, Reason: "rejected by old"}, h.OnArrival("platform", message("m", 7))); d != "" {
			t.Error(d)
		}
	}
}

// TestHost_SameSeed_SameRandomNumbers: the same seed, plug-in and message give the same random numbers in every instance.
func TestHost_SameSeed_SameRandomNumbers(t *testing.T) {
	p := wasmtest.Plugin(1, 1, 1, "random", "store_set")
	k := p.Data(64, "r")
	module := p.On("arrival", 0, wasmtest.Const(256), p.Do("random"), []byte{0x37, 0, 0},
		p.Do("store_set", k, wasmtest.Const(256), wasmtest.Const(8), wasmtest.Const64(0)), wasmtest.Drop, wasmtest.Const(0)).Bytes()
	h := newSetup(t).with("p", module, `"instances": 4`).host()
	seen := map[string]string{}
	for i := range 40 {
		id := fmt.Sprint(i % 10)
		h.OnArrival("platform", message(id, i))
		v, _ := h.stores["p"].Begin(time.Now()).Get("r")
		if before, ok := seen[id]; ok && before != string(v) {
			t.Errorf("message %s: random number %x, then %x; want the same", id, before, v)
		}
		seen[id] = string(v)
	}
	if seen["1"] == seen["2"] {
		t.Error("two messages have the same random number")
	}
}
