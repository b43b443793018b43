package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

// traceVariable is the environment variable with the folder for the traces. Where it is set, this program is the compiler of a
// build.
const traceVariable = "PACKAGES_TRACE_FOLDER"

// compiler is the real one.
const compiler = "gcc"

// traceFlags make the compiler name the programs that it runs, the headers that it reads, and what the linker opens.
var traceFlags = []string{"-v", "-H", "-Wl,--trace"}

// compile acts as the compiler of a build: it runs the real one twice, first for a trace file in folder, then without the trace
// flags. It returns the exit status of the second run.
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
	_ = traced.Run() // the second run decides
	plain := exec.Command(compiler, arguments...)
	plain.Stdin, plain.Stdout, plain.Stderr = bytes.NewReader(input), os.Stdout, os.Stderr
	if err := plain.Run(); err != nil {
		return max(plain.ProcessState.ExitCode(), 1)
	}
	return 0
}

// readInput reads the source from standard input if the arguments have "-", so that it can be given to both runs.
func readInput(arguments []string) ([]byte, error) {
	if !slices.Contains(arguments, "-") {
		return nil, nil
	}
	return io.ReadAll(os.Stdin)
}
