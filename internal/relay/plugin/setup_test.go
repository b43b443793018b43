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

// settings are the keys of a configuration that plug-ins do not need, but it does.
const settings = `"state": "-", "listen": "-", "seed": "01", "settings": {"peers_total": 1, "allowed": {"max_attempts": 3},
  "family_info": {"workers": 8}, "round": 5000, "lanes": [
    {"name": "match-event", "effect": "token", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}]}`

// fronts are a front that lets no body be rewritten, and one that lets it while the first byte stays.
var fronts = []rules.Front{{Name: "platform", Owned: []string{"X-Request-Id"}},
	{Name: "activitypub", Body: func(before, after []byte) bool { return after[0] == before[0] }}}

// setup is a configuration whose plug-ins are modules in files of a test's folder.
type setup struct {
	t     *testing.T
	dir   string
	extra string   // keys of plugin_host
	list  []string // entries of plugins
}

func newSetup(t *testing.T) *setup { return &setup{t: t, dir: t.TempDir()} }

// with adds a plug-in; keys are further ones of its entry.
func (s *setup) with(name string, module []byte, keys string) *setup {
	s.t.Helper()
	file := s.writeModule(name, module)
	if keys != "" {
		keys = ", " + keys
	}
	s.list = append(s.list, fmt.Sprintf(`{"name": %q, "file": %q, "memory_mb": 2%s}`, name, file, keys))
	return s
}

// writeModule writes the module of a plug-in, and returns its file.
func (s *setup) writeModule(name string, module []byte) string {
	s.t.Helper()
	file := filepath.Join(s.dir, name+".wasm")
	if err := os.WriteFile(file, module, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// config is the configuration, with limits that a loaded machine keeps.
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

// open returns a host of the configuration, as adjust leaves it.
func (s *setup) open(adjust func(*config.Config)) (*Host, error) {
	s.t.Helper()
	cfg := s.config()
	adjust(cfg)
	return New(cfg, fronts, discardLog())
}

// host returns a host of the configuration, which is closed when the test ends.
func (s *setup) host() *Host {
	s.t.Helper()
	return s.adjustedHost(func(*config.Config) {})
}

// adjustedHost returns a host of the configuration as adjust leaves it, which is closed when the test ends.
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

// versionAt is the plug-in at a place in the chain that runs.
func versionAt(h *Host, place int) *version { return h.current.Load().chain[place] }

// emptyPhase is a module of ABI 2 with a mask of phases, whose arrival does nothing.
func emptyPhase(mask int32) []byte {
	return wasmtest.Plugin(mask, 1, 1).On("arrival", 0, wasmtest.Const(0)).Bytes()
}

func message(id string, partner int) *engine.Message {
	return &engine.Message{ID: id, Key: "k", Partner: partner, Deadline: time.Now().Add(time.Minute), Body: []byte("body")}
}
