package plugin

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/wasmtest"
)

const settings = `"state": "-", "listen": "-", "seed": "01", "settings": {"peers_total": 1, "allowed": {"max_attempts": 3},
  "family_info": {"workers": 8}, "round": 5000, "lanes": [
    {"name": "match-event", "effect": "token", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}]}`

var fronts = []rules.Front{{Name: "platform", Owned: []string{"X-Request-Id"}},
	{Name: "activitypub", Body: func(before, after []byte) bool { return after[0] == before[0] }}}

// setup is a configuration whose plug-ins are modules in files of a test's folder.
type setup struct {
	t     *testing.T
	dir   string
	log   io.Writer
	extra string // keys of plugin_host
	list  []string
}

func newSetup(t *testing.T) *setup { return &setup{t: t, dir: t.TempDir(), log: io.Discard} }

// with adds a plug-in; keys are further ones of its entry.
func (s *setup) with(name string, module []byte, keys string) *setup {
	s.t.Helper()
	file := filepath.Join(s.dir, name+".wasm")
	if err := os.WriteFile(file, module, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if keys != "" {
		keys = ", " + keys
	}
	s.list = append(s.list, fmt.Sprintf(`{"name": %q, "file": %q, "memory_mb": 2%s}`, name, file, keys))
	return s
}

func (s *setup) config() *config.Config {
	s.t.Helper()
	text := fmt.Sprintf(`{%s, "plugin_host": {"store": %q%s}, "plugins": [%s]}`, settings, s.dir, s.extra, strings.Join(s.list, ","))
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		s.t.Fatal(err)
	}
	// A loaded machine proves nothing: only where a test sets a time may one run out.
	cfg.Limits.PluginStart, cfg.Limits.PluginBudget, cfg.Limits.PluginGrace = time.Minute, time.Minute, time.Minute
	cfg.Limits.PluginYields = false
	for i := range cfg.Plugins {
		if p := &cfg.Plugins[i]; p.Timeout == 10*time.Millisecond {
			p.Timeout = time.Minute
		}
	}
	cfg.Limits.PluginBurst = time.Minute
	cfg.Limits.PluginBreakerOpen, cfg.Limits.PluginBreakerOpenMax = time.Hour, time.Hour // no trial comes while a test runs
	return cfg
}

func (s *setup) open() (*Host, error) {
	return New(s.config(), fronts, slog.New(slog.NewTextHandler(s.log, nil)))
}

func (s *setup) host() *Host {
	s.t.Helper()
	h, err := s.open()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(h.Close)
	return h
}

func message(id string, partner int) *engine.Message {
	return &engine.Message{ID: id, Key: "k", Partner: partner, Deadline: time.Now().Add(time.Minute), Body: []byte("body")}
}

// TestHost_HostileModule_MessagePasses: whatever a module does on arrival, the message passes as it came, the failure is counted, and the
// well-behaved plug-in behind it has its say.
func TestHost_HostileModule_MessagePasses(t *testing.T) {
	for name, c := range map[string]struct {
		module []byte
		fails  bool
		keys   string
	}{
		"endless loop":            {wasmtest.Loops(1), true, `"timeout": "50ms"`},
		"trap":                    {wasmtest.Traps(1), true, ""},
		"exit, as a panic in Go":  {wasmtest.Exits(), true, ""},
		"recursion without end":   {wasmtest.Recurses(), true, ""},
		"recursion without loop":  {wasmtest.Fans(), true, `"timeout": "50ms"`},
		"all the memory there is": {wasmtest.Hoards(), false, ""}, // it gets none beyond its limit, and may keep that
		"floods":                  {wasmtest.Floods(), false, ""},
		"own status":              {wasmtest.Plugin(1, 1, 1).On("arrival", 0, wasmtest.Const(9)).Bytes(), true, ""},
		"pointer outside":         {wasmtest.CallsWith("arrival", 1, "log", 65536, 1), true, ""},
		"length outside":          {wasmtest.CallsWith("arrival", 1, "log", 1, 65536), true, ""},
		"length 2^32-1":           {wasmtest.CallsWith("arrival", 1, "log", 8, -1), true, ""},
		"pointer 2^32-1":          {wasmtest.CallsWith("arrival", 1, "get", 0, -1, 8), true, ""},
		"room over the end":       {wasmtest.CallsWith("arrival", 1, "get", 4, 65535, 2), true, ""},
		"overlapping name, value": {wasmtest.CallsWith("arrival", 1, "set_header", 0, 4, 2, 4), false, ""},
		"key without a value":     {wasmtest.CallsWith("arrival", 1, "store_set", 0, 4, 65530, 100), true, ""},
		"no such field":           {wasmtest.CallsWith("arrival", 1, "get", 99, 0, 8), false, ""},
		"alloc outside":           {wasmtest.One(65530, 1), true, ""},
		"alloc at -1":             {wasmtest.One(-1, 1), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("bad", c.module, c.keys).with("good", wasmtest.Header("X-Desk", "sports"), "").host()
			m := message("m", 7)
			r := h.OnArrival("platform", m)
			if name == "floods" {
				if r.Verdict != engine.Rejected || len(r.Reason) > h.limits.PluginReason {
					t.Errorf("got %+v", r)
				}
				return
			}
			if d := cmp.Diff(engine.Ruling{}, r); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff([]string{"X-Desk", "sports"}, m.ExtraHeaders); d != "" {
				t.Errorf("the plug-in behind it (-want +got)\n%s", d)
			}
			if string(m.Body) != "body" {
				t.Errorf("the body is %q", m.Body)
			}
			want := uint64(0)
			if c.fails {
				want = 1
			}
			if got := h.current.Load().chain[0].counts.Failures.Load(); got != want {
				t.Errorf("%d failures, want %d", got, want)
			}
			if r := h.OnArrival("platform", message("n", 8)); r.Verdict != engine.Accepted { // on a new instance
				t.Errorf("the next message: %+v", r)
			}
		})
	}
}

// TestHost_LoopAfterTheFact_HoldsNobodyUp: a plug-in that loops upon answers and ends holds nobody up, and the answer stands.
func TestHost_LoopAfterTheFact_HoldsNobodyUp(t *testing.T) {
	h := newSetup(t).with("bad", wasmtest.Loops(1), `"timeout": "50ms"`).host()
	step := engine.NewAttempt(engine.Destination{Name: "s-1", Partner: 7}, h.SampleBytes("platform", 7, 0), engine.Item{ID: "m"})
	step.ObserveAnswer(503, nil, nil)
	outs := []engine.Outcome{{Result: control.Throttled, RetryAfter: time.Second}}
	h.OnAnswer("platform", step, outs)
	if d := cmp.Diff([]engine.Outcome{{Result: control.Throttled, RetryAfter: time.Second}}, outs); d != "" {
		t.Error(d)
	}
	for i := range 3 * h.limits.PluginEndQueue {
		h.OnEnd("platform", engine.End{ID: fmt.Sprint(i), Partner: 7, Result: "delivered"})
	}
	if v := h.current.Load().chain[0]; v.counts.Dropped.Load() == 0 {
		t.Error("ends pile up without bound")
	}
}

// TestNew_UnusableModule_SaysWhy: what can't run is refused with a message that says why.
func TestNew_UnusableModule_SaysWhy(t *testing.T) {
	imports := wasmtest.New(1, 1)
	imports.Import("mastusher_v2", "send", wasmtest.None)
	imports.Import("mastusher_v2", "log", wasmtest.None)
	imports.Import("env", "abort", wasmtest.None)
	imports.Export("mastusher_abi_2", imports.Func(wasmtest.ToI32, 0, wasmtest.Const(1)))
	for name, c := range map[string]struct {
		module []byte
		want   []string
	}{
		"no module":      {nil, []string{"invalid magic"}},
		"nothing in it":  {[]byte("\x00asm\x01\x00\x00\x00"), []string{"export memory: missing", "export alloc: missing"}},
		"another format": {[]byte("\x00asm\x0d\x00\x01\x00"), []string{"version 65549 of the format"}},
		"another ABI":    {wasmtest.Later(), []string{"ABI 3; this relay speaks 1 and 2"}},
		"imports": {imports.Bytes(), []string{"env.abort: this relay has no module", "mastusher_v2.send: there is no such",
			"mastusher_v2.log: it is (i32, i32) here, the module wants ()"}},
		"too much memory": {wasmtest.Plugin(1, 64, 64).On("arrival", 0, wasmtest.Const(0)).Bytes(), []string{"begins with 4.0 MB, memory_mb allows 2"}},
		"no phase":        {wasmtest.Plugin(0, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes(), []string{"none of the phases"}},
		"phase without its export": {wasmtest.Plugin(3, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes(),
			[]string{"without its export on_answer"}},
		"unknown phase":    {wasmtest.Plugin(9, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes(), []string{"mask 0x9"}},
		"loops at start":   {wasmtest.LoopsAtStart(), []string{"ran over its time"}},
		"loops when asked": {wasmtest.LoopsInMark(), []string{"mastusher_abi_2: plugin: it ran over its time"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t).with("p", c.module, "")
			cfg := s.config()
			cfg.Limits.PluginStart = 100 * time.Millisecond
			_, err := New(cfg, fronts, slog.New(slog.NewTextHandler(io.Discard, nil)))
			var key *policy.KeyError
			if !errors.As(err, &key) || key.Source != "config" || key.Key != "plugins.0" {
				t.Fatalf("error %v, want one that names the key", err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %v, want one with %q", err, want)
				}
			}
		})
	}
}

// TestHost_ForbiddenHeaders_AreRefusedAndCounted: what the host refuses is counted and does not go out.
func TestHost_ForbiddenHeaders_AreRefusedAndCounted(t *testing.T) {
	set := func(k, v string) []byte { return wasmtest.Header(k, v) }
	for name, c := range map[string]struct {
		front  string
		module []byte
		out    []string
	}{
		"a header":                {"platform", set("x-desk", "sports"), []string{"X-Desk", "sports"}},
		"the protocol's own":      {"platform", set("X-Request-ID", "other"), nil},
		"framing":                 {"platform", set("transfer-encoding", "chunked"), nil},
		"a second request":        {"platform", set("X-A", "b\r\n\r\nPOST /inbox HTTP/1.1"), nil},
		"a second header by name": {"platform", set("X-A: b\r\nX-B", "c"), nil},
		"over-long":               {"platform", set("X-A", strings.Repeat("a", 1025)), nil},
		"body on the platform":    {"platform", rewrites("other"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSetup(t).with("p", c.module, "").host()
			m := message("m", 7)
			if r := h.OnArrival(c.front, m); r.Verdict != engine.Accepted || string(m.Body) != "body" {
				t.Errorf("%+v, body %q", r, m.Body)
			}
			if d := cmp.Diff(c.out, m.ExtraHeaders); d != "" {
				t.Error(d)
			}
			if got := h.current.Load().chain[0].counts.Refused.Load(); (got == 1) != (c.out == nil) {
				t.Errorf("%d refusals", got)
			}
		})
	}
}

func rewrites(text string) []byte {
	p := wasmtest.Plugin(1, 1, 1, "set_body")
	d := p.Data(64, text)
	return p.On("arrival", 0, p.Do("set_body", d), wasmtest.Drop, wasmtest.Const(0)).Bytes()
}

// TestHost_RewrittenBody_SeenByNextPlugin: a body that the front lets be rewritten is seen by the next plug-in and taken on; one that it doesn't is not.
func TestHost_RewrittenBody_SeenByNextPlugin(t *testing.T) {
	for text, want := range map[string]string{"brave": "brave", "other": "body"} {
		h := newSetup(t).with("p", rewrites(text), "").host()
		m := message("m", 7)
		h.OnArrival("activitypub", m)
		if string(m.Body) != want {
			t.Errorf("%q leaves %q, want %q", text, m.Body, want)
		}
	}
}

// TestHost_PluginsUndoEachOther_LastWins: two plug-ins that undo each other run once each, in their order; the last one's word stands.
func TestHost_PluginsUndoEachOther_LastWins(t *testing.T) {
	removes := func() []byte {
		p := wasmtest.Plugin(1, 1, 1, "remove_header")
		k := p.Data(64, "X-Desk")
		return p.On("arrival", 0, p.Do("remove_header", k), wasmtest.Drop, wasmtest.Const(0)).Bytes()
	}
	sets := wasmtest.Header("X-Desk", "sports")
	a, b := message("a", 7), message("b", 7)
	newSetup(t).with("set", sets, "").with("remove", removes(), "").host().OnArrival("platform", a)
	newSetup(t).with("remove", removes(), "").with("set", sets, "").host().OnArrival("platform", b)
	if d := cmp.Diff([][]string{nil, {"X-Desk", "sports"}}, [][]string{a.ExtraHeaders, b.ExtraHeaders}, cmp.Transformer("empty", func(s []string) string { return strings.Join(s, ":") })); d != "" {
		t.Error(d)
	}
}

// TestHost_Scope_AsksOnlyWhereConfigured: a plug-in is asked only where the configuration says so.
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
			t.Errorf("%+v: headers %v", c, m.ExtraHeaders)
		}
	}
}

// TestBreaker_FailsForOnePartner_OthersGoOn: a plug-in that fails for one partner is soon not asked for that one, and goes on for the others.
func TestBreaker_FailsForOnePartner_OthersGoOn(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.FailsFor(7), "").host()
	v := h.current.Load().chain[0]
	for i := range 50 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7+i%5))
	}
	look := v.gate.Snapshot(time.Now())
	if n := v.counts.Failures.Load(); n != 3 || look.Open || !cmp.Equal(look.Partners, []int{7}) {
		t.Errorf("%d failures; %+v", n, look)
	}
	if n := v.counts.Calls.Load(); n != 43 {
		t.Errorf("%d calls, want 40 for the others and 3 for the one", n)
	}
}

// TestHost_ModuleTraps_IsStartedAnew: a module that works until its thousandth call is started anew, and works again.
func TestHost_ModuleTraps_IsStartedAnew(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.WorksUntil(999), `"instances": 1`).host()
	for i := range 1500 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7))
	}
	if c := &h.current.Load().chain[0].counts; c.Failures.Load() != 1 || c.Calls.Load() != 1500 {
		t.Errorf("%d calls, %d failures", c.Calls.Load(), c.Failures.Load())
	}
}

// TestHost_RejectOnFailure_IsNeverFinal: where the plug-in's say is needed, its failure is a refusal and never a final one.
func TestHost_RejectOnFailure_IsNeverFinal(t *testing.T) {
	h := newSetup(t).with("p", wasmtest.Traps(1), `"on_failure": "reject"`).host()
	for range 9 { // also once the breaker is open
		if r := h.OnArrival("platform", message("m", 7)); r.Verdict != engine.Busy {
			t.Errorf("got %+v", r)
		}
	}
	if n := h.current.Load().chain[0].counts.Failures.Load(); n != 3 {
		t.Errorf("%d calls to a plug-in that always fails", n)
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
	v := h.current.Load().chain[0]
	if n := v.counts.Calls.Load() + v.counts.Skipped.Load(); n != 40 || v.counts.Failures.Load() > 3 {
		t.Errorf("%d of 40 accounted for, %d failures", n, v.counts.Failures.Load())
	}
	if look := v.gate.Snapshot(time.Now()); look.Busy != 0 || look.Open {
		t.Errorf("%+v", look)
	}
}

// TestHost_CPUShareUsed_IsNotAsked: a plug-in that burns its share of processor time is not asked until there is some again.
func TestHost_CPUShareUsed_IsNotAsked(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Loops(1), `"cpu_share": 0.001, "timeout": "50ms"`)
	cfg := s.config()
	cfg.Limits.PluginBurst = 10 * time.Millisecond
	cfg.Limits.PluginBreakerThreshold = 1000
	h, err := New(cfg, fronts, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	for i := range 20 {
		h.OnArrival("platform", message(fmt.Sprint(i), 7))
	}
	if c := &h.current.Load().chain[0].counts; c.Calls.Load() > 5 || c.Skipped.Load() < 15 {
		t.Errorf("%d calls, %d skipped", c.Calls.Load(), c.Skipped.Load())
	}
}

// TestHost_Memory_IsBoundedAndGivenBack: what all instances hold together is bounded, and given back when they end.
func TestHost_Memory_IsBoundedAndGivenBack(t *testing.T) {
	s := newSetup(t).with("a", wasmtest.Hoards(), "").with("b", wasmtest.Hoards(), "")
	s.extra = `, "memory_mb": 3`
	h := s.host()
	for i := range 8 {
		h.OnArrival("platform", message(fmt.Sprint(i), i))
	}
	if n := h.memories.used.Load(); n > 3<<20 || n < 2<<20 {
		t.Errorf("the instances hold %d bytes of 3 MB", n)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes are not given back", n)
	}

}

// TestHost_AnswerPhase_OnlyMoreCareful: an answer's phase makes the relay more careful and nothing else.
func TestHost_AnswerPhase_OnlyMoreCareful(t *testing.T) {
	for name, c := range map[string]struct {
		module    []byte
		out, want engine.Outcome
	}{
		"a longer wait":         {wasmtest.Asks(3000, false), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: 3 * time.Second}},
		"a shorter wait":        {wasmtest.Asks(10, false), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}},
		"refused for good":      {wasmtest.Asks(0, true), engine.Outcome{Result: control.Throttled}, engine.Outcome{Result: control.Rejected}},
		"but not past a wait":   {wasmtest.Asks(0, true), engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}, engine.Outcome{Result: control.Throttled, RetryAfter: time.Second}},
		"nor what may have run": {wasmtest.Asks(0, true), engine.Outcome{Result: control.Errored}, engine.Outcome{Result: control.Errored}},
		"nor a delivery":        {wasmtest.Asks(9, true), engine.Outcome{Result: control.Delivered}, engine.Outcome{Result: control.Delivered}},
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

// TestReload_NewVersion_TakesOverBetweenMessages: a new version takes over between messages; a faulty one changes nothing, and the same again is kept.
func TestReload_NewVersion_TakesOverBetweenMessages(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Header("X-Desk", "one"), "").with("q", wasmtest.Counts("n"), "")
	h := s.host()
	desk := func() string {
		m := message("m", 7)
		h.OnArrival("platform", m)
		return strings.Join(m.ExtraHeaders, ":")
	}
	kept := h.current.Load().chain[1]
	for _, c := range []struct {
		module []byte
		key    string // in the error
		want   string
	}{
		{wasmtest.Header("X-Desk", "two"), "", "X-Desk:two"},
		{[]byte("broken"), "plugins.0", "X-Desk:two"},
		{wasmtest.Later(), "plugins.0", "X-Desk:two"},
		{wasmtest.One(0, 0), "", ""}, // of ABI 1
		{wasmtest.Header("X-Desk", "three"), "", "X-Desk:three"},
	} {
		if err := os.WriteFile(filepath.Join(s.dir, "p.wasm"), c.module, 0o600); err != nil {
			t.Fatal(err)
		}
		err := h.Reload(s.config())
		var key *policy.KeyError
		if errors.As(err, &key); (key == nil) != (c.key == "") || key != nil && (key.Source != "config" || key.Key != c.key) {
			t.Errorf("error %v, want one that names %q", err, c.key)
		}
		if got := desk(); got != c.want {
			t.Errorf("after %v: %q, want %q", err, got, c.want)
		}
		if st, err := ReadStatus(s.config()); err != nil || (st.Error == "") != (c.key == "") || len(st.Plugins) != 2 {
			t.Errorf("status %+v, %v", st, err)
		}
	}
	if h.current.Load().chain[1] != kept {
		t.Error("a plug-in that has not changed was loaded anew")
	}
}

// TestReload_UnderLoad_LosesNothing: ten reloads in a row while messages and answers are under way; none is lost, each is shaped
// by one whole generation, and what is replaced is closed.
func TestReload_UnderLoad_LosesNothing(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Header("X-A", "0"), "").with("q", wasmtest.Header("X-B", "0"), "")
	h := s.host()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for w := range 4 {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				m := message(fmt.Sprint(w, i), w)
				if r := h.OnArrival("platform", m); r.Verdict != engine.Accepted {
					t.Errorf("got %+v", r)
				}
				if len(m.ExtraHeaders) == 4 && m.ExtraHeaders[1] != m.ExtraHeaders[3] {
					t.Errorf("shaped by two generations: %v", m.ExtraHeaders)
				}
				h.OnEnd("platform", engine.End{ID: m.ID, Partner: w, Result: "delivered"})
			}
		})
	}
	for i := range 10 {
		for name, header := range map[string]string{"p": "X-A", "q": "X-B"} {
			_ = os.WriteFile(filepath.Join(s.dir, name+".wasm"), wasmtest.Header(header, fmt.Sprint(i+1)), 0o600)
		}
		if err := h.Reload(s.config()); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	all.Wait()
	m := message("last", 7)
	if h.OnArrival("platform", m); cmp.Diff([]string{"X-A", "10", "X-B", "10"}, m.ExtraHeaders) != "" {
		t.Errorf("the last version is not there: %v", m.ExtraHeaders)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes of versions that were replaced are still held", n)
	}
}

// TestStore_OutlivesVersionsAndProcess: the store outlives versions, and with a folder the process.
func TestStore_OutlivesVersionsAndProcess(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Counts("n"), "")
	h := s.host()
	h.OnArrival("platform", message("a", 7))
	_ = os.WriteFile(filepath.Join(s.dir, "p.wasm"), wasmtest.Plugin(1, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes(), 0o600)
	if err := h.Reload(s.config()); err != nil {
		t.Fatal(err)
	}
	_ = os.WriteFile(filepath.Join(s.dir, "p.wasm"), wasmtest.Counts("n"), 0o600)
	if err := h.Reload(s.config()); err != nil {
		t.Fatal(err)
	}
	h.OnArrival("platform", message("b", 7))
	h.Close()
	again, err := s.open()
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	again.OnArrival("platform", message("c", 7))
	if v, _ := again.stores["p"].Begin(time.Now()).Get("n"); string(v) != "\x03" {
		t.Errorf("the store holds %q, want 3", v)
	}
}

// TestHost_SameSeed_SameRandomNumbers: the same seed, plug-in and message give the same random numbers, on whichever instance.
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
			t.Errorf("message %s: %x, then %x", id, before, v)
		}
		seen[id] = string(v)
	}
	if seen["1"] == seen["2"] {
		t.Error("two messages, one random number")
	}
}

// TestABI1_StillRejects: a module of ABI 1, which writes over the same room each time, still rejects with 422 and its name.
func TestABI1_StillRejects(t *testing.T) {
	h := newSetup(t).with("old", wasmtest.One(1024, 1), "").host()
	for range 3 {
		if d := cmp.Diff(engine.Ruling{Verdict: engine.Rejected, Status: 422, Reason: "rejected by old"}, h.OnArrival("platform", message("m", 7))); d != "" {
			t.Error(d)
		}
	}
}

// TestHost_NoTimeLeft_CountsAsFailed: a plug-in for which none of the client's time is left counts as failed, and is not called.
func TestHost_NoTimeLeft_CountsAsFailed(t *testing.T) {
	for keys, want := range map[string]engine.Verdict{`"on_failure": "pass"`: engine.Accepted, `"on_failure": "reject"`: engine.Busy} {
		s := newSetup(t).with("p", wasmtest.Header("X-Desk", "sports"), keys)
		cfg := s.config()
		cfg.Limits.PluginBudget = time.Nanosecond
		h, err := New(cfg, fronts, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		m := message("m", 7)
		if r := h.OnArrival("platform", m); r.Verdict != want || len(m.ExtraHeaders) > 0 {
			t.Errorf("%s: %+v, headers %v", keys, r, m.ExtraHeaders)
		}
		if c := &h.current.Load().chain[0].counts; c.Skipped.Load() != 1 || c.Calls.Load() != 0 {
			t.Errorf("%s: %d skipped, %d calls", keys, c.Skipped.Load(), c.Calls.Load())
		}
		h.Close()
	}
}
