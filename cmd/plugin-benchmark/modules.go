package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"mastusher/internal/relay/plugin/wasmtest"
)

// Modes beside the names of the hostile plug-ins.
const (
	modeHostile = "hostile"
	modePassing = "passing"
	modeCapture = "capture"
	modeNone    = "none"
)

// capturesPlaceholder stands for a run's folder of captures in the keys of its configuration.
const capturesPlaceholder = "CAPTURES"

// floods is the name of the hostile plug-in that rejects.
const floods = "floods"

// hostileModules are the hostile plug-ins by their names.
func hostileModules() map[string][]byte {
	return map[string][]byte{
		"loops":    wasmtest.Loops(3),
		"traps":    wasmtest.Traps(2),
		"hoards":   wasmtest.Hoards(),
		"recurses": wasmtest.Recurses(),
		"fans":     wasmtest.Fans(),
		floods:     wasmtest.Floods(),
	}
}

// modeKeys are the keys that the configuration of a run has for the mode. The modules that they name are written to dir.
func (o *options) modeKeys(dir string) (string, error) {
	switch o.mode {
	case modeCapture:
		return `"capture": {"dir": "` + capturesPlaceholder + `", "on": true}, `, nil
	case modeNone:
		return `"plugin_host": {}, `, nil
	case modePassing:
		return pluginKeys(dir, map[string][]byte{"passing": wasmtest.Passing()}, "")
	case modeHostile:
		return pluginKeys(dir, hostileModules(), o.victimScope())
	}
	module := hostileModules()[o.mode]
	if module == nil {
		return "", &modeError{o.mode}
	}
	return pluginKeys(dir, map[string][]byte{o.mode: module}, o.victimScope())
}

// victimScope is the key that gives a plug-in the victims only.
func (o *options) victimScope() string {
	var victims []string
	for i := range o.victims {
		victims = append(victims, strconv.Itoa(o.partners+i))
	}
	return `"partners": [` + strings.Join(victims, ",") + `], `
}

// pluginKeys writes modules to a folder and returns the key that has them as plug-ins.
func pluginKeys(dir string, modules map[string][]byte, scope string) (string, error) {
	var entries []string
	for name, module := range modules {
		file := filepath.Join(dir, name+".wasm")
		if err := os.WriteFile(file, module, 0o600); err != nil {
			return "", err
		}
		entries = append(entries, fmt.Sprintf(`{"name": %q, "file": %q, %s"memory_mb": 4}`, name, file, scope))
	}
	// Those that reject come last, or the others would never be asked.
	slices.SortFunc(entries, func(a, b string) int {
		return cmp.Or(cmp.Compare(strings.Count(a, floods), strings.Count(b, floods)), strings.Compare(a, b))
	})
	return `"plugins": [` + strings.Join(entries, ", ") + `], `, nil
}
