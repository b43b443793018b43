package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

// traceVariable is the environment variable that holds the folder for the traces. If it is set, this program acts as the compiler of
// a build.
const traceVariable = "PACKAGES_TRACE_FOLDER"

// compiler is the C compiler that the build would otherwise use.
const compiler = "gcc"

// traceFlags make the compiler print the programs that it runs, the headers that it reads, and the files that the linker opens.
var traceFlags = []string{"-v", "-H", "-Wl,--trace"}

// compile acts as the compiler of a build: it runs the real compiler twice, first with the trace flags and its output in a file
// in folder, then as the build called it. It returns the exit status of the second run.
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
	_ = traced.Run() // only the status of the second run counts
	plain := exec.Command(compiler, arguments...)
	plain.Stdin, plain.Stdout, plain.Stderr = bytes.NewReader(input), os.Stdout, os.Stderr
	if err := plain.Run(); err != nil {
		return max(plain.ProcessState.ExitCode(), 1)
	}
	return 0
}

// readInput reads the source from standard input if the arguments contain "-", so that both runs can get it.
func readInput(arguments []string) ([]byte, error) {
	if !slices.Contains(arguments, "-") {
		return nil, nil
	}
	return io.ReadAll(os.Stdin)
}
