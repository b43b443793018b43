package plugin

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/config"
)

// moduleWASI is the import module name of WASI preview 1.
const moduleWASI = "wasi_snapshot_preview1"

// pagesPerMB is the number of pages of WebAssembly memory in a megabyte.
const pagesPerMB = 16

// ModuleError lists why a module can't be loaded: one entry for each faulty import, export or limit.
type ModuleError []string

// Error joins all faults into one line.
func (e ModuleError) Error() string { return strings.Join(e, "; ") }

// check checks a module's imports, exports and memory, and returns the ABI that it uses; 0: an unknown one. Its error is a
// ModuleError with all faults.
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
		slices.Sort(c.faults) // the order of map iteration is random
		return abi, c.faults
	}
	return abi, nil
}

// moduleCheck collects the faults of a module.
type moduleCheck struct {
	code    wazero.CompiledModule
	exports map[string]api.FunctionDefinition
	faults  ModuleError
}

func (c *moduleCheck) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// laterABI reports whether the module uses an ABI that this relay does not know, which is a fault.
func (c *moduleCheck) laterABI() (later bool) {
	for name := range c.exports {
		if v, ok := strings.CutPrefix(name, "mastusher_abi_"); ok && v != "2" {
			later = true
			c.fail("export %s: the module speaks ABI %s; this relay speaks 1 and 2", name, v)
		}
	}
	return later
}

// knownImports returns the signatures of the functions that a plug-in may import, by import module and name. A nil map of names
// allows every function of that import module.
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

// imports checks what the module imports and returns the set of import modules that it uses.
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
			c.fail("import %s.%s: unknown function", module, name)
		case got != want:
			c.fail("import %s.%s: want the signature %s, the module has %s", module, name, want, got)
		}
	}
	for _, definition := range c.code.ImportedMemories() {
		module, name, _ := definition.Import()
		c.fail("import %s.%s: imported memory is not supported; the module must define its own", module, name)
	}
	return used
}

// memory checks that the module exports a memory whose initial size is within the configured limit.
func (c *moduleCheck) memory(allowedMB int) {
	memory := c.code.ExportedMemories()["memory"]
	if memory == nil {
		c.fail("export memory: missing")
	} else if pages := memory.Min(); int(pages) > allowedMB*pagesPerMB {
		c.fail("memory: the initial size is %.1f MB, memory_mb allows %d", float64(pages)/pagesPerMB, allowedMB)
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

// export checks the signature of an exported function, and that the function exists if it is required.
func (c *moduleCheck) export(name, want string, required bool) {
	definition := c.exports[name]
	if definition == nil {
		if required {
			c.fail("export %s: missing", name)
		}
		return
	}
	if got := signatureOf(definition); got != want {
		c.fail("export %s: want the signature %s, the module has %s", name, want, got)
	}
}

func signatureOf(f api.FunctionDefinition) string { return signature(f.ParamTypes(), f.ResultTypes()) }

// signature formats a function's type for error messages, such as "(i32, i32) -> i32".
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
