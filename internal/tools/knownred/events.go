package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is one line of `go test -json` (go doc test2json). The fields have the names of the JSON keys.
type event struct {
	Action      string
	Package     string
	ImportPath  string // of the built package; build events have no Package
	Test        string
	Output      string
	FailedBuild string
}

// maxEventBytes bounds one line of events.
const maxEventBytes = 8 << 20

// results collects the outcome of the tests of several packages. It must be used by one goroutine.
type results struct {
	passed        map[testID]bool
	failed        map[testID]bool
	packagePassed map[string]bool // by package; only packages whose tests have ended
	crashed       map[string]bool // packages that crashed or were not built: other tests of them may not have run
	progress      io.Writer       // receives a line for each package, and the output of failed tests and packages

	pendingOutput map[testID]*strings.Builder // output not yet written to progress; a package's own output has an empty Name
	buildOutput   map[string]*strings.Builder
}

func newResults(progress io.Writer) *results {
	return &results{passed: map[testID]bool{}, failed: map[testID]bool{}, packagePassed: map[string]bool{}, crashed: map[string]bool{},
		progress: progress, pendingOutput: map[testID]*strings.Builder{}, buildOutput: map[string]*strings.Builder{}}
}

// read applies all events up to the end of the input. It fails with an eventError at a line that isn't an event.
func (r *results) read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var next event
		if err := json.Unmarshal(lines.Bytes(), &next); err != nil {
			return &eventError{Line: lines.Text(), Cause: err}
		}
		r.apply(next)
	}
	return lines.Err()
}

// apply adds one event. The outcome of a subtest is that of its test function, whose own event follows.
func (r *results) apply(e event) {
	function, _, _ := strings.Cut(e.Test, "/")
	id := testID{Package: e.Package, Name: function}
	switch e.Action {
	case "output":
		r.bufferOutput(id, e.Output)
	case "build-output":
		builderOf(r.buildOutput, e.ImportPath).WriteString(e.Output)
	case "pass", "skip", "fail":
		if function == "" {
			r.endPackage(e)
		} else if e.Test == function {
			r.endTest(id, e.Action)
		}
	}
}

// bufferOutput keeps output until the test or package has ended, and only a failure shows it.
func (r *results) bufferOutput(id testID, text string) {
	if isCrash(text) {
		r.crashed[id.Package] = true
	}
	builderOf(r.pendingOutput, id).WriteString(text)
}

// isCrash reports whether a line shows that the package's process ended before all its tests.
func isCrash(line string) bool {
	for _, start := range []string{"panic: ", "fatal error: ", "signal: "} {
		if strings.HasPrefix(line, start) {
			return true
		}
	}
	return false
}

// endTest records the outcome of a test function, and shows the output of one that failed.
func (r *results) endTest(id testID, action string) {
	switch action {
	case "pass":
		r.passed[id] = true
	case "fail":
		r.failed[id] = true
		r.show(id)
	}
	delete(r.pendingOutput, id)
}

// endPackage records the outcome of a package. If a test of the package still has pending output, it has
// not ended: the package crashed.
func (r *results) endPackage(e event) {
	packageID := testID{Package: e.Package}
	passed := e.Action != "fail"
	r.packagePassed[e.Package] = passed
	if e.FailedBuild != "" {
		r.crashed[e.Package] = true
		fmt.Fprint(r.progress, builderOf(r.buildOutput, e.FailedBuild).String())
	}
	for id := range r.pendingOutput {
		if id.Package == e.Package && id.Name != "" {
			r.crashed[e.Package] = true
			r.show(id)
			delete(r.pendingOutput, id)
		}
	}
	if passed {
		r.showLast(packageID)
	} else {
		r.show(packageID)
	}
	delete(r.pendingOutput, packageID)
}

// show writes the output of a test or a package.
func (r *results) show(id testID) { fmt.Fprint(r.progress, builderOf(r.pendingOutput, id).String()) }

// showLast writes the last line of a package's output, which is its summary.
func (r *results) showLast(id testID) {
	text := strings.TrimRight(builderOf(r.pendingOutput, id).String(), "\n")
	fmt.Fprintln(r.progress, text[strings.LastIndex(text, "\n")+1:])
}

// builderOf returns the builder of the key, and creates it at its first use.
func builderOf[K comparable](all map[K]*strings.Builder, key K) *strings.Builder {
	if all[key] == nil {
		all[key] = &strings.Builder{}
	}
	return all[key]
}
