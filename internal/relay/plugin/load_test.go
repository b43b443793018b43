package plugin

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/plugin/wasmtest"
)

// TestNew_UnusableModule_SaysWhy: a module that can't run is refused with an error that names the cause.
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
		"no module":                            {nil, []string{"wasm: invalid magic number"}},
		"empty module":                         {[]byte("\x00asm\x01\x00\x00\x00"), []string{"export memory: missing", "export alloc: missing"}},
		"unknown version of the binary format": {[]byte("\x00asm\x0d\x00\x01\x00"), []string{"wasm: binary format version 65549, want 1"}},
		"ABI of a later relay":                 {wasmtest.Later(), []string{"ABI 3; this relay speaks 1 and 2"}},
		"unknown imports": {imports.Bytes(), []string{"env.abort: this relay has no module", "mastusher_v2.send: unknown function",
			"mastusher_v2.log: want the signature (i32, i32), the module has ()"}},
		"too much memory":            {wasmtest.Plugin(1, 64, 64).On("arrival", 0, wasmtest.Const(0)).Bytes(), []string{"the initial size is 4.0 MB, memory_mb allows 2"}},
		"no phase":                   {passingWithMask(0), []string{"the module handles none of the configured phases"}},
		"phase without its export":   {passingWithMask(3), []string{"mastusher_abi_2: the mask has a phase whose export on_answer is missing"}},
		"unknown phase":              {passingWithMask(9), []string{"mastusher_abi_2: the mask 0x9 has unknown phases"}},
		"loop in the start function": {wasmtest.LoopsAtStart(), []string{"start: plugin: the call timed out"}},
		"loop in the mask of phases": {wasmtest.LoopsInPhaseMask(), []string{"mastusher_abi_2: plugin: the call timed out"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newSetup(t).with("p", c.module, "").open(func(cfg *config.Config) {
				cfg.Limits.PluginStart = 100 * time.Millisecond
			})
			var key *policy.KeyError
			if !errors.As(err, &key) || key.Source != "config" || key.Key != "plugins.0" {
				t.Fatalf("error %v, want one that names the key plugins.0", err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %v, want one with %q", err, want)
				}
			}
		})
	}
}

// TestNew_ImportCalledAtStart_IsRefused: a module that calls the relay from its start function is refused, because there is no message yet.
func TestNew_ImportCalledAtStart_IsRefused(t *testing.T) {
	p := wasmtest.Plugin(1, 1, 1, "random").On("arrival", 0, wasmtest.Const(0))
	p.Start(p.Func(wasmtest.None, 0, p.Do("random"), wasmtest.Drop))
	_, err := newSetup(t).with("p", p.Bytes(), "").open(func(*config.Config) {})
	if err == nil || !strings.Contains(err.Error(), ErrNoMessage.Error()) {
		t.Errorf("error %v, want one with %q", err, ErrNoMessage)
	}
}

func TestReadStatus_DamagedFile_IsNamed(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Passing(), "")
	cfg := s.config()
	if err := os.WriteFile(StatusFile(cfg), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadStatus(cfg)
	var damaged *StatusFileError
	if !errors.As(err, &damaged) || damaged.File != StatusFile(cfg) || err.Error() != "plugin: "+StatusFile(cfg)+" is not valid JSON" {
		t.Errorf("error %v, want one that names the file", err)
	}
}
