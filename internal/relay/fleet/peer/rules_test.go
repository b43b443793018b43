package peer

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
)

// TestRules_MandateDuringReload_SeesOneConfiguration: mandates are converted while reloads replace the configuration. The race detector,
// with which CI runs this package, reports an access without the lock.
func TestRules_MandateDuringReload_SeesOneConfiguration(t *testing.T) {
	// Given rules that are reloaded again and again with other plug-ins,
	file := filepath.Join(t.TempDir(), "plugin.wasm")
	if err := os.WriteFile(file, []byte("module"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{Peers: &config.Peers{Name: "a"}}
	rules, err := NewRules(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var reloading sync.WaitGroup
	reloading.Go(func() {
		for number := range 200 {
			next := *cfg
			next.Plugins = append(next.Plugins, config.Plugin{Name: fmt.Sprint("p", number), File: file})
			if err := rules.Reload(&next, nil, func(*config.Config) error { return nil }); err != nil {
				t.Error(err)
			}
		}
	})
	// when mandates are converted meanwhile, then each conversion succeeds.
	for range 200 {
		if got, err := rules.Mandate(node.Mandate{Version: 3, Doc: []byte(`{"format":1}`)}); err != nil || got.Version != 3 {
			t.Errorf("mandate %+v, %v", got, err)
		}
	}
	reloading.Wait()
}
