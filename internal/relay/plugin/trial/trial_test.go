package trial

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/wasmtest"
)

func TestLines_Outcomes_InFixedOrder(t *testing.T) {
	limits := &rules.Limits{MaxRetryAfter: time.Minute}
	throttled := rules.Answer{Result: control.Throttled}
	for name, c := range map[string]struct {
		call    plugin.Call
		outcome plugin.Outcome
		err     error
		want    []string
	}{
		"nothing done": {plugin.Call{Phase: plugin.End}, plugin.Outcome{}, nil, []string{"pass"}},
		"failed call":  {plugin.Call{Phase: plugin.Arrival}, plugin.Outcome{Logs: []string{"a"}}, plugin.ErrTimeout, []string{"failed plugin: the call timed out"}},
		"rejected message": {plugin.Call{Phase: plugin.Arrival}, plugin.Outcome{Reject: true, Status: 422, Reason: "why", ExtraHeaders: rules.ExtraHeaders{"X-A", "b"}}, nil,
			[]string{"reject 422 why"}},
		"rejected without a reason": {plugin.Call{Phase: plugin.Arrival}, plugin.Outcome{Reject: true, Status: 400}, nil, []string{"reject 400"}},
		"shaped message": {plugin.Call{Phase: plugin.Arrival}, plugin.Outcome{ExtraHeaders: rules.ExtraHeaders{"X-A", "b", "X-C", "d"}, Body: []byte("new"),
			Refused: []plugin.Refused{{What: "header Host", Why: rules.Owned}}, Logs: []string{"said"}}, nil,
			[]string{"pass", "header X-A: b", "header X-C: d", "body new", "refused header Host: the protocol owns it", "log said"}},
		"longer wait":      {plugin.Call{Phase: plugin.Answer, Answer: throttled}, plugin.Outcome{Ask: rules.Ask{RetryAfter: time.Second}}, nil, []string{"pass", "wait 1s"}},
		"refused for good": {plugin.Call{Phase: plugin.Answer, Answer: throttled}, plugin.Outcome{Ask: rules.Ask{Refuse: true}}, nil, []string{"pass", "refuse"}},
	} {
		t.Run(name, func(t *testing.T) {
			if d := cmp.Diff(c.want, Lines(&c.call, c.outcome, c.err, limits)); d != "" {
				t.Errorf("lines (-want +got)\n%s", d)
			}
		})
	}
}

// newTrialHost returns a host for a module, and counts how often it is opened.
func newTrialHost(t *testing.T, module []byte) (host *Host, opened *int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "p.wasm")
	if err := os.WriteFile(file, module, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ForPlugin(file, nil, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	// On a loaded machine calls may be slow: no time limit may be exceeded.
	cfg.Limits.PluginStart, cfg.Limits.PluginGrace, cfg.Limits.PluginBurst = time.Minute, time.Minute, time.Hour
	cfg.Plugins[0].Timeout = time.Minute
	opened = new(int)
	host = &Host{Name: cfg.Plugins[0].Name, Open: func() (*plugin.Host, error) {
		*opened++
		return plugin.New(cfg, []rules.Front{{Name: "platform"}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}}
	t.Cleanup(host.Close)
	return host, opened
}

func TestHost_FreshCase_StartsAnew(t *testing.T) {
	host, opened := newTrialHost(t, wasmtest.Header("X-Desk", "sports"))
	for i, fresh := range []bool{false, false, true} {
		c := New("a")
		c.Fresh = fresh
		got, _, err := host.Play(&c)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff([]string{"pass", "header X-Desk: sports"}, got); d != "" {
			t.Errorf("case %d (-want +got)\n%s", i, d)
		}
	}
	if *opened != 2 {
		t.Errorf("opened %d times, want 2: once at first, and once for the fresh case", *opened)
	}
}

func TestHost_UnusableModule_IsAnError(t *testing.T) {
	host, _ := newTrialHost(t, []byte("no module"))
	c := New("a")
	if _, _, err := host.Play(&c); err == nil {
		t.Error("Play: no error")
	}
	if _, err := host.Status(); err == nil {
		t.Error("Status: no error")
	}
}

// TestHost_UnknownPlugin_FailsTheCase: with the name of an unknown plug-in the result of the case is a failed call.
func TestHost_UnknownPlugin_FailsTheCase(t *testing.T) {
	host, _ := newTrialHost(t, wasmtest.Passing())
	host.Name = "other"
	c := New("a")
	got, _, err := host.Play(&c)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"failed plugin: unknown plug-in other"}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	status, err := host.Status()
	if err != nil || len(status.Plugins) != 1 || status.Plugins[0].Phases != "arrival" {
		t.Errorf("status %+v, %v", status, err)
	}
	var unknown *plugin.UnknownPluginError
	if _, err := host.host.CallOnce("other", c.Call); !errors.As(err, &unknown) || unknown.Name != "other" {
		t.Errorf("error %v, want one that names the plug-in other", err)
	}
}
