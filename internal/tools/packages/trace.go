package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// traceBuild runs a build line and returns the sorted paths of the files that it opened, without those in excludedFolders. The
// compiler has a new path in each run, so that Go's build cache takes it for another compiler, and the output folder is empty: so all
// packages that use C are compiled and linked anew.
func traceBuild(line string) ([]string, error) {
	folder, err := os.MkdirTemp("", "packages-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	if err = runBuild(line, folder); err != nil {
		return nil, err
	}
	opened, err := readTraces(folder)
	if err != nil {
		return nil, err
	}
	programs, err := programsOf(line)
	if err != nil {
		return nil, err
	}
	opened = append(opened, programs...)
	slices.Sort(opened)
	return slices.Compact(opened), nil
}

// runBuild runs a build line with a copy of this program as its compiler. Traces and built programs are written to folder.
func runBuild(line, folder string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	wrapper := filepath.Join(folder, "compiler")
	if err = copyProgram(self, wrapper); err != nil {
		return err
	}
	redirected, err := withOutput(line, filepath.Join(folder, "made")+"/")
	if err != nil {
		return err
	}
	build := exec.Command("sh", "-c", redirected)
	build.Env = append(os.Environ(), "CC="+wrapper, traceVariable+"="+folder)
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("running the build line: %w\n%s", err, output)
	}
	return nil
}

var outputFlag = regexp.MustCompile(` -o \S+`)

// withOutput returns the build line with folder as the target of its -o. It fails with an outputFlagError unless there is
// exactly one.
func withOutput(line, folder string) (string, error) {
	if len(outputFlag.FindAllString(line, -1)) != 1 {
		return "", &outputFlagError{Line: line}
	}
	return outputFlag.ReplaceAllLiteralString(line, " -o "+folder), nil
}

// copyProgram copies an executable file.
func copyProgram(from, to string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, raw, 0o700)
}

// readTraces returns the regular files that the traces name, without those in excludedFolders, in no particular order. It fails with
// errNoCompiler if there is no trace.
func readTraces(folder string) ([]string, error) {
	traces, err := filepath.Glob(filepath.Join(folder, "trace-*"))
	if err != nil {
		return nil, err
	}
	if len(traces) == 0 {
		return nil, errNoCompiler
	}
	excluded, err := excludedFolders()
	if err != nil {
		return nil, err
	}
	named := map[string]bool{}
	for _, trace := range traces {
		raw, readErr := os.ReadFile(trace)
		if readErr != nil {
			return nil, readErr
		}
		for _, path := range pathsIn(string(raw)) {
			named[path] = true
		}
	}
	var opened []string
	for path := range named {
		info, err := os.Stat(path)
		if err == nil && info.Mode().IsRegular() && !isUnder(path, excluded) {
			opened = append(opened, path)
		}
	}
	return opened, nil
}

// pathsIn returns the absolute paths in a trace.
func pathsIn(trace string) []string {
	var paths []string
	for _, word := range strings.Fields(trace) {
		if filepath.IsAbs(word) {
			paths = append(paths, filepath.Clean(word))
		}
	}
	return paths
}

// excludedFolders returns the folders of the Go toolchain and its caches, of temporary files and of the checkout, whose files no
// package has to own.
func excludedFolders() ([]string, error) {
	raw, err := exec.Command("go", "env", "GOROOT", "GOCACHE", "GOMODCACHE", "GOTMPDIR").Output()
	if err != nil {
		return nil, fmt.Errorf("querying go for its folders: %w", err)
	}
	checkout, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	return append(strings.Fields(string(raw)), checkout, os.TempDir()), nil
}

// isUnder reports whether the path lies in one of the folders.
func isUnder(path string, folders []string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool { return strings.HasPrefix(path, filepath.Clean(folder)+"/") })
}

// programsOf returns the paths of the programs that a trace doesn't name by their paths: those that the build line runs, except go,
// the shell, the compiler, and the assembler and linker that the compiler looks up.
func programsOf(line string) ([]string, error) {
	names := append(commandsOf(line), "sh", compiler)
	for _, tool := range []string{"as", "ld"} {
		raw, err := exec.Command(compiler, "-print-prog-name="+tool).Output()
		if err != nil {
			return nil, fmt.Errorf("querying the compiler for its %s: %w", tool, err)
		}
		names = append(names, strings.TrimSpace(string(raw)))
	}
	var programs []string
	for _, name := range names {
		path, err := exec.LookPath(name)
		if err != nil {
			return nil, err
		}
		programs = append(programs, path)
	}
	return programs, nil
}

// commandsOf returns the names of the programs that a build line runs, except go.
func commandsOf(line string) []string {
	var names []string
	for _, command := range strings.Split(line, "&&") {
		words := strings.Fields(command)
		words = slices.DeleteFunc(words, func(word string) bool { return strings.Contains(word, "=") })
		if len(words) > 0 && words[0] != "go" {
			names = append(names, words[0])
		}
	}
	return names
}
