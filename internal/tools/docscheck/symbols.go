package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// symbols holds what the Go packages of a tree declare: by package name, the names of its package-level objects, and of
// methods and fields as Type.Name. Packages that share a name share one set.
type symbols map[string]map[string]bool

// readSymbols parses all Go files under root, tests too. Folders named testdata and those with a leading dot are left out.
func readSymbols(root string) (symbols, error) {
	known := symbols{}
	files := token.NewFileSet()
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
		known.add(file)
		return nil
	})
	return known, err
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

// receiverName is the type's name of a method's receiver, without pointer and type parameters.
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
