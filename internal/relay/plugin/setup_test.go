package plugin

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/wasmtest"
)

// settings are the keys that a configuration requires besides those of the plug-ins.
const settings = `"state": "-", "listen": "-", "seed": "01", "settings": {"peers_total": 1, "allowed": {"max_attempts": 3},
  "family_info": {"workers": 8}, "round": 5000, "lanes": [
    {"name": "match-event", "effect": "token", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}]}`

// fronts are one front that allows no new body, and one that allows a body whose first byte is unchanged.
var fronts = []rules.Front{{Name: "platform", Owned: []string{"X-Request-Id"}},
	{Name: "activitypub", Body: func(before, after []byte) bool { return after[0] == before[0] }}}

// setup builds a configuration whose plug-ins are module files in a test's temporary folder.
type setup struct {
	t        *testing.T
	dir      string
	hostKeys string   // further keys of plugin_host
	entries  []string // entries of plugins
}

func newSetup(t *testing.T) *setup { return &setup{t: t, dir: t.TempDir()} }

// with adds a plug-in; keys are further keys of its entry.
func (s *setup) with(name string, module []byte, keys string) *setup {
	s.t.Helper()
	file := s.writeModule(name, module)
	if keys != "" {
		keys = ", " + keys
	}
	s.entries = append(s.entries, fmt.Sprintf(`{"name": %q, "file": %q, "memory_mb": 2%s}`, name, file, keys))
	return s
}

// writeModule writes the module file of a plug-in and returns its path.
func (s *setup) writeModule(name string, module []byte) string {
	s.t.Helper()
	file := filepath.Join(s.dir, name+".wasm")
	if err := os.WriteFile(file, module, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// config returns the configuration, with time limits that are not exceeded on a loaded machine either.
func (s *setup) config() *config.Config {
	s.t.Helper()
	text := fmt.Sprintf(`{%s, "plugin_host": {"store": %q%s}, "plugins": [%s]}`, settings, s.dir, s.hostKeys, strings.Join(s.entries, ","))
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		s.t.Fatal(err)
	}
	// On a loaded machine calls may be slow: only time limits that a test sets itself may be exceeded.
	cfg.Limits.PluginStart, cfg.Limits.PluginBudget, cfg.Limits.PluginGrace = time.Minute, time.Minute, time.Minute
	cfg.Limits.PluginYields = false
	for i := range cfg.Plugins {
		if p := &cfg.Plugins[i]; p.Timeout == 10*time.Millisecond {
			p.Timeout = time.Minute
		}
	}
	cfg.Limits.PluginBurst = time.Minute
	cfg.Limits.PluginBreakerOpen, cfg.Limits.PluginBreakerOpenMax = time.Hour, time.Hour // no trial call while a test runs
	return cfg
}

// open returns a host for the configuration after adjust has changed it.
func (s *setup) open(adjust func(*config.Config)) (*Host, error) {
	s.t.Helper()
	cfg := s.config()
	adjust(cfg)
	return New(cfg, fronts, discardLog())
}

// host returns a host for the configuration, which is closed when the test ends.
func (s *setup) host() *Host {
	s.t.Helper()
	return s.adjustedHost(func(*config.Config) {})
}

// adjustedHost returns a host for the configuration after adjust has changed it. The host is closed when the test ends.
func (s *setup) adjustedHost(adjust func(*config.Config)) *Host {
	s.t.Helper()
	h, err := s.open(adjust)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(h.Close)
	return h
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// versionAt returns the version at an index of the current generation.
func versionAt(h *Host, index int) *version { return h.current.Load().chain[index] }

// passingWithMask returns an ABI 2 module with a mask of phases, whose only phase function is an on_arrival that does nothing.
func passingWithMask(mask int32) []byte {
	return wasmtest.Plugin(mask, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes()
}

func message(id string, partner int) *engine.Message {
	return &engine.Message{ID: id, Key: "k", Partner: partner, Deadline: time.Now().Add(time.Minute), Body: []byte("body")}
}
