package plugin

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/config"
)

// moduleWASI is the name that WASI preview 1 is imported from.
const moduleWASI = "wasi_snapshot_preview1"

// pagesPerMB is how many pages of a module's memory make a megabyte.
const pagesPerMB = 16

// ModuleError is what keeps a module from being loaded, a line each: all imports, exports and limits at fault.
type ModuleError []string

// Error has all faults in one line.
func (e ModuleError) Error() string { return strings.Join(e, "; ") }

// check names all imports, exports and limits at fault as a ModuleError, and tells which ABI a module speaks; 0: none
// that this relay knows.
func check(code wazero.CompiledModule, cfg *config.Plugin) (abi int, err error) {
	c := &moduleCheck{code: code, exports: code.ExportedFunctions()}
	later := c.laterABI()
	used := c.imports()
	c.memory(cfg.MemoryMB)
	switch {
	case c.exports[markerABI2] != nil:
		abi = 2
		c.exportsOfABI2()
		if used[moduleABI1] {
			c.fail("import mastusher: a module of ABI 2 imports from mastusher_v2")
		}
	case used[moduleABI2]:
		c.fail("export %s: missing, though the module imports from %s", markerABI2, moduleABI2)
	case !later:
		abi = 1
		c.exportsOfABI1()
	}
	if len(c.faults) > 0 {
		slices.Sort(c.faults) // maps have been walked
		return abi, c.faults
	}
	return abi, nil
}

// moduleCheck gathers what keeps a module from being loaded.
type moduleCheck struct {
	code    wazero.CompiledModule
	exports map[string]api.FunctionDefinition
	faults  ModuleError
}

func (c *moduleCheck) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// laterABI tells whether the module speaks an ABI that this relay does not know, which is a fault.
func (c *moduleCheck) laterABI() (later bool) {
	for name := range c.exports {
		if v, ok := strings.CutPrefix(name, "mastusher_abi_"); ok && v != "2" {
			later = true
			c.fail("export %s: the module speaks ABI %s; this relay speaks 1 and 2", name, v)
		}
	}
	return later
}

// knownImports are the signatures of the functions that may be imported, by module and name; nil: any of that module.
func knownImports() map[string]map[string]string {
	ofABI2 := map[string]string{}
	for _, f := range hostFunctions {
		ofABI2[f.name] = signature(f.params, f.results)
	}
	return map[string]map[string]string{
		moduleWASI: nil,
		moduleABI1: {"reason": "(i32, i32)", "log": "(i32, i32)"},
		moduleABI2: ofABI2,
	}
}

// imports checks what the module imports and returns the modules that it imports from.
func (c *moduleCheck) imports() map[string]bool {
	known := knownImports()
	used := map[string]bool{}
	for _, definition := range c.code.ImportedFunctions() {
		module, name, _ := definition.Import()
		used[module] = true
		functions, hasModule := known[module]
		want, hasFunction := functions[name]
		switch got := signatureOf(definition); {
		case !hasModule:
			c.fail("import %s.%s: this relay has no module of that name", module, name)
		case functions == nil: // the engine checks these
		case !hasFunction:
			c.fail("import %s.%s: there is no such function", module, name)
		case got != want:
			c.fail("import %s.%s: it is %s here, the module wants %s", module, name, want, got)
		}
	}
	for _, definition := range c.code.ImportedMemories() {
		module, name, _ := definition.Import()
		c.fail("import %s.%s: a memory; the module must have its own", module, name)
	}
	return used
}

// memory checks the module's own memory against what the configuration allows.
func (c *moduleCheck) memory(allowedMB int) {
	memory := c.code.ExportedMemories()["memory"]
	if memory == nil {
		c.fail("export memory: missing")
	} else if pages := memory.Min(); int(pages) > allowedMB*pagesPerMB {
		c.fail("memory: it begins with %.1f MB, memory_mb allows %d", float64(pages)/pagesPerMB, allowedMB)
	}
}

func (c *moduleCheck) exportsOfABI1() {
	c.export(allocABI1, "(i32) -> i32", true)
	c.export(exportsABI1[Arrival], "(i32, i32) -> i32", false)
	c.export(exportsABI1[End], "(i32, i32)", false)
}

func (c *moduleCheck) exportsOfABI2() {
	c.export(markerABI2, "() -> i32", true)
	for _, name := range exportsABI2 {
		c.export(name, "() -> i32", false)
	}
}

// export checks a function that the module exports, or must.
func (c *moduleCheck) export(name, want string, required bool) {
	definition := c.exports[name]
	if definition == nil {
		if required {
			c.fail("export %s: missing", name)
		}
		return
	}
	if got := signatureOf(definition); got != want {
		c.fail("export %s: want %s, not %s", name, want, got)
	}
}

func signatureOf(f api.FunctionDefinition) string { return signature(f.ParamTypes(), f.ResultTypes()) }

// signature is a function's type as messages write it.
func signature(params, results []api.ValueType) string {
	text := "(" + typeNames(params) + ")"
	if len(results) > 0 {
		text += " -> " + typeNames(results)
	}
	return text
}

func typeNames(types []api.ValueType) string {
	names := make([]string, len(types))
	for i, t := range types {
		names[i] = api.ValueTypeName(t)
	}
	return strings.Join(names, ", ")
}
