package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// prometheusPackage is the import path of files that register metrics, in quotes as in the source.
const prometheusPackage = `"github.com/prometheus/client_golang/prometheus"`

var metricName = regexp.MustCompile(`^[a-z][a-z_]*$`)

// symbols holds what the Go packages of a tree declare: by package name, the names of its package-level objects, and of
// methods and fields as Type.Name. Packages that share a name share one set.
type symbols map[string]map[string]bool

// source holds the names that the Go files of a tree declare or use.
type source struct {
	symbols  symbols
	packages map[string]bool // import paths without the module path
	metrics  map[string]bool // names of metrics
	events   []event         // log lines
}

// declaresTest reports whether some package declares a test, benchmark or fuzz target of this name.
func (s *source) declaresTest(name string) bool {
	for _, declared := range s.symbols {
		if declared[name] {
			return true
		}
	}
	return false
}

// testPrefixes are the prefixes of the functions that each flag of `go test` selects from.
var testPrefixes = map[string]string{"run": "Test", "bench": "Benchmark", "fuzz": "Fuzz"}

// matchesTest reports whether a flag of `go test` with this pattern selects some function. It ignores the part of the pattern after a
// slash, which selects subtests.
func (s *source) matchesTest(flag, pattern string) bool {
	top, _, _ := strings.Cut(strings.ReplaceAll(pattern, `\|`, "|"), "/") // a bar in a cell of a table is escaped
	chosen, err := regexp.Compile(top)
	if err != nil {
		return false
	}
	for _, declared := range s.symbols {
		for name := range declared {
			if strings.HasPrefix(name, testPrefixes[flag]) && chosen.MatchString(name) {
				return true
			}
		}
	}
	return false
}

// hasPackage reports whether path is a part, in whole folder names, of some package's path.
func (s *source) hasPackage(path string) bool {
	for known := range s.packages {
		if strings.Contains("/"+known+"/", "/"+path+"/") {
			return true
		}
	}
	return false
}

// readSource parses all Go files under root, tests too. It skips folders named testdata and those with a leading dot.
func readSource(root string) (*source, error) {
	known := &source{symbols: symbols{}, packages: map[string]bool{}, metrics: map[string]bool{}}
	files := token.NewFileSet()
	var logging []*ast.File
	var folders []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && (entry.Name() == "testdata" || strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		known.symbols.add(file)
		known.packages[filepath.ToSlash(folder)] = true
		known.addMetrics(file)
		if !strings.HasSuffix(path, "_test.go") {
			logging, folders = append(logging, file), append(folders, filepath.ToSlash(folder))
		}
		return nil
	})
	constants := stringConstants(logging)
	for i, file := range logging {
		known.events = append(known.events, eventsOf(file, folders[i], constants)...)
	}
	return known, err
}

// addMetrics adds, with metricPrefix, each string literal that may be a metric's name, if the file imports prometheusPackage.
func (s *source) addMetrics(file *ast.File) {
	if !slices.ContainsFunc(file.Imports, func(i *ast.ImportSpec) bool { return i.Path.Value == prometheusPackage }) {
		return
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if text, ok := stringLiteral(n); ok && metricName.MatchString(text) {
			s.metrics[metricPrefix+text] = true
		}
		return true
	})
}

func (s symbols) add(file *ast.File) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if s[name] == nil {
		s[name] = map[string]bool{}
	}
	declared := s[name]
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil {
				declared[d.Name.Name] = true
			} else {
				declared[receiverName(d.Recv.List[0].Type)+"."+d.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(declared, spec)
			}
		}
	}
}

func addSpec(declared map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, id := range s.Names {
			declared[id.Name] = true
		}
	case *ast.TypeSpec:
		declared[s.Name.Name] = true
		var members *ast.FieldList
		switch t := s.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, field := range members.List {
			for _, id := range field.Names {
				declared[s.Name.Name+"."+id.Name] = true
			}
		}
	}
}

// receiverName returns the name of a receiver's type, without pointer and type parameters.
func receiverName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.StarExpr:
		return receiverName(t.X)
	case *ast.IndexExpr:
		return receiverName(t.X)
	case *ast.IndexListExpr:
		return receiverName(t.X)
	case *ast.Ident:
		return t.Name
	}
	return ""
}
