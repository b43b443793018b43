package main

import (
	"fmt"
	"io"
	"os"
)

// Exit statuses.
const (
	statusPassed = 0
	statusFailed = 1
	statusUsage  = 2 // also if the list or the events can't be read
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: go test -json PACKAGE... | knownred LIST PACKAGE...")
		os.Exit(statusUsage)
	}
	os.Exit(run(os.Args[1], os.Args[2:], os.Stdin, os.Stdout))
}

// run judges the events of the packages by the list in the file at listPath, and returns the exit status.
func run(listPath string, packages []string, events io.Reader, output io.Writer) int {
	file, err := os.Open(listPath)
	if err != nil {
		fmt.Fprintln(output, "knownred:", err)
		return statusUsage
	}
	defer file.Close()
	list, err := readList(file)
	if err != nil {
		fmt.Fprintf(output, "knownred: %s: %v\n", listPath, err)
		return statusUsage
	}
	got := newResults(output)
	if err := got.read(events); err != nil {
		fmt.Fprintln(output, "knownred:", err)
		return statusUsage
	}
	outcome := judge(list, got, packages)
	for _, notice := range outcome.Notices {
		fmt.Fprintln(output, "NOTE:", notice)
	}
	for _, failure := range outcome.Failures {
		fmt.Fprintln(output, "FAILED:", failure)
	}
	if len(outcome.Failures) > 0 {
		return statusFailed
	}
	return statusPassed
}
