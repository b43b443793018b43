package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// traceVariable names the folder for the traces, in the environment of a build. This program then is the build's compiler.
const traceVariable = "PACKAGES_TRACE_FOLDER"

const compiler = "gcc"

// traceFlags make the compiler name the programs that it runs, the headers that it reads, and what the linker opens.
var traceFlags = []string{"-v", "-H", "-Wl,--trace"}

// compile is the build's compiler: it runs the true one twice, first for the trace. It returns the status of the second run.
func compile(folder string, arguments []string) int {
	input, err := readInput(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, "packages:", err)
		return 1
	}
	trace, err := os.CreateTemp(folder, "trace-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "packages:", err)
		return 1
	}
	defer trace.Close()
	traced := exec.Command(compiler, slices.Concat(traceFlags, arguments)...)
	traced.Stdin, traced.Stdout, traced.Stderr = bytes.NewReader(input), trace, trace
	_ = traced.Run() // the second run tells
	plain := exec.Command(compiler, arguments...)
	plain.Stdin, plain.Stdout, plain.Stderr = bytes.NewReader(input), os.Stdout, os.Stderr
	if err := plain.Run(); err != nil {
		return max(plain.ProcessState.ExitCode(), 1)
	}
	return 0
}

// readInput reads the source that comes by standard input, if any does.
func readInput(arguments []string) ([]byte, error) {
	if !slices.Contains(arguments, "-") {
		return nil, nil
	}
	return io.ReadAll(os.Stdin)
}

// traceBuild runs a build line and returns the files of the machine that it opened. The compiler is another one for the build
// cache at each run, and the programs go to an empty folder, so that everything with C in it is compiled and linked anew.
func traceBuild(line string) ([]string, error) {
	folder, err := os.MkdirTemp("", "packages-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	copied := filepath.Join(folder, "compiler")
	if err = copyProgram(own, copied); err != nil {
		return nil, err
	}
	redirected, err := withOutput(line, filepath.Join(folder, "made")+"/")
	if err != nil {
		return nil, err
	}
	build := exec.Command("sh", "-c", redirected)
	build.Env = append(os.Environ(), "CC="+copied, traceVariable+"="+folder)
	if output, buildErr := build.CombinedOutput(); buildErr != nil {
		return nil, fmt.Errorf("the build line fails: %w\n%s", buildErr, output)
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

var outputFlag = regexp.MustCompile(` -o \S+`)

// withOutput makes a build line put its programs elsewhere.
func withOutput(line, folder string) (string, error) {
	if len(outputFlag.FindAllString(line, -1)) != 1 {
		return "", fmt.Errorf("the build line has no -o, or several: %s", line)
	}
	return outputFlag.ReplaceAllLiteralString(line, " -o "+folder), nil
}

func copyProgram(from, to string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, raw, 0o700)
}

// readTraces returns the files of the machine that the traces name.
func readTraces(folder string) ([]string, error) {
	traces, err := filepath.Glob(filepath.Join(folder, "trace-*"))
	if err != nil {
		return nil, err
	}
	if len(traces) == 0 {
		return nil, fmt.Errorf("the build ran no compiler")
	}
	outside, err := excludedFolders()
	if err != nil {
		return nil, err
	}
	named := map[string]bool{}
	for _, trace := range traces {
		raw, err := os.ReadFile(trace)
		if err != nil {
			return nil, err
		}
		for _, path := range pathsIn(string(raw)) {
			named[path] = true
		}
	}
	var opened []string
	for path := range named {
		info, err := os.Stat(path)
		if err == nil && info.Mode().IsRegular() && !isUnder(path, outside) {
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

// excludedFolders are those of Go, of the build and of the checkout, whose files no package has to own.
func excludedFolders() ([]string, error) {
	raw, err := exec.Command("go", "env", "GOROOT", "GOCACHE", "GOMODCACHE", "GOTMPDIR").Output()
	if err != nil {
		return nil, fmt.Errorf("asking go for its folders: %w", err)
	}
	checkout, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	return append(strings.Fields(string(raw)), checkout, os.TempDir()), nil
}

func isUnder(path string, folders []string) bool {
	return slices.ContainsFunc(folders, func(folder string) bool { return strings.HasPrefix(path, filepath.Clean(folder)+"/") })
}

// programsOf returns the programs that a trace doesn't name by their paths: those of the build line, less go itself, and those
// that the compiler looks up.
func programsOf(line string) ([]string, error) {
	names := append(commandsOf(line), "sh", compiler)
	for _, tool := range []string{"as", "ld"} {
		raw, err := exec.Command(compiler, "-print-prog-name="+tool).Output()
		if err != nil {
			return nil, fmt.Errorf("asking the compiler for its %s: %w", tool, err)
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

// commandsOf returns the names of the programs that a build line runs, less go itself.
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
