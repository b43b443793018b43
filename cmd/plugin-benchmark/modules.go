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

// Modes other than the names of hostile plug-ins.
const (
	modeHostile = "hostile"
	modePassing = "passing"
	modeCapture = "capture"
	modeNone    = "none"
)

// capturesPlaceholder stands for a run's capture directory in the configuration keys of a mode.
const capturesPlaceholder = "CAPTURES"

// floods is the name of the hostile plug-in that rejects messages.
const floods = "floods"

// hostileModules returns the hostile plug-ins by name.
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

// modeKeys returns the keys that a mode adds to a run's configuration. It writes the modules of the plug-ins to dir.
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

// victimScope returns the key that restricts a plug-in to the victims.
func (o *options) victimScope() string {
	var victims []string
	for i := range o.victims {
		victims = append(victims, strconv.Itoa(o.partners+i))
	}
	return `"partners": [` + strings.Join(victims, ",") + `], `
}

// pluginKeys writes modules to a directory and returns the key that configures them as plug-ins.
func pluginKeys(dir string, modules map[string][]byte, scope string) (string, error) {
	var entries []string
	for name, module := range modules {
		file := filepath.Join(dir, name+".wasm")
		if err := os.WriteFile(file, module, 0o600); err != nil {
			return "", err
		}
		entries = append(entries, fmt.Sprintf(`{"name": %q, "file": %q, %s"memory_mb": 4}`, name, file, scope))
	}
	// A plug-in that rejects messages comes last: the ones after it would never be called.
	slices.SortFunc(entries, func(a, b string) int {
		return cmp.Or(cmp.Compare(strings.Count(a, floods), strings.Count(b, floods)), strings.Compare(a, b))
	})
	return `"plugins": [` + strings.Join(entries, ", ") + `], `, nil
}
