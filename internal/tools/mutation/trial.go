package mutation

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Prefixes of the lines that a test binary writes under verboseFlag. It reports each test and subtest as soon as it ends, and a failed
// one by its name after failPrefix. A panic or a fatal error ends the binary.
const (
	verboseFlag   = "-test.v=test2json"
	eventPrefix   = "\x16"
	runPrefix     = "=== RUN"
	failPrefix    = "--- FAIL: "
	panicPrefix   = "panic: "
	fatalPrefix   = "fatal error: "
	timeoutPrefix = "panic: test timed out"
)

// waitDelay is how long the output of a killed binary may stay open, for example in its child processes.
const waitDelay = 5 * time.Second

// maxErrorOutput bounds the tests' output in an error, in bytes; the end of the output is kept.
const maxErrorOutput = 2000

// runTrial builds the package in folder with the mutant and runs its tests until one fails. It returns the name of the
// test that killed the mutant. Errors: OutdatedError, BuildError, SurvivorError, UndecidedError.
func runTrial(ctx context.Context, folder, scratch string, mutant Mutant) (string, error) {
	changed, err := mutate(folder, mutant.changes())
	if err != nil {
		return "", err
	}
	overlay, err := writeOverlay(scratch, changed)
	if err != nil {
		return "", err
	}
	binary := filepath.Join(scratch, "mutant.test")
	if err := build(ctx, folder, overlay, binary); err != nil {
		return "", err
	}
	return runTests(ctx, folder, binary, mutant.Run, testTimeout, mutant.Args...)
}

// build compiles the test binary of the package in folder with the overlay. Errors: BuildError.
func build(ctx context.Context, folder, overlay, binary string) error {
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "go", "test", "-c", "-overlay", overlay, "-o", binary, ".")
	command.Dir = folder
	if output, err := command.CombinedOutput(); err != nil {
		return &BuildError{Output: string(output), Cause: err}
	}
	return nil
}

// runTests runs a test binary with further arguments until the first failure, and returns the name of the test that failed. The
// binary has ended when it returns. Errors: SurvivorError, UndecidedError.
func runTests(ctx context.Context, folder, binary, pattern string, timeout time.Duration, arguments ...string) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arguments = append([]string{"-test.run", pattern, "-test.timeout", timeout.String(), "-test.failfast", verboseFlag}, arguments...)
	command := exec.CommandContext(ctx, binary, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), trialVariable+"=1", "TMPDIR="+filepath.Dir(binary))
	command.WaitDelay = waitDelay
	output, writer := io.Pipe()
	command.Stdout, command.Stderr = writer, writer
	start := time.Now()
	if err := command.Start(); err != nil {
		return "", &UndecidedError{Run: pattern, Cause: err}
	}
	exited := make(chan error, 1)
	go func() {
		exited <- command.Wait()
		writer.Close()
	}()
	seen := readUntilFailure(output)
	if seen.failedTest != "" {
		cancel()
	}
	_, _ = io.Copy(io.Discard, output)
	return verdict(pattern, time.Since(start), seen, <-exited)
}

// transcript is what the output of the tests has shown so far.
type transcript struct {
	failedTest string // the first test that failed
	panicked   bool
	timedOut   bool
	ran        bool // at least one test ran
	outputTail []byte
}

// readUntilFailure reads the output up to its end or the first test that failed.
func readUntilFailure(output io.Reader) transcript {
	var seen transcript
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		seen.outputTail = append(seen.outputTail, line...)
		seen.outputTail = seen.outputTail[max(0, len(seen.outputTail)-maxErrorOutput):]
		switch text := strings.TrimSpace(strings.TrimPrefix(line, eventPrefix)); {
		case strings.HasPrefix(text, failPrefix):
			seen.failedTest = strings.TrimPrefix(text, failPrefix)
			return seen
		case strings.HasPrefix(text, timeoutPrefix):
			seen.timedOut = true
		case strings.HasPrefix(text, panicPrefix), strings.HasPrefix(text, fatalPrefix):
			seen.panicked = true
		case strings.HasPrefix(text, runPrefix):
			seen.ran = true
		}
		if err != nil {
			return seen
		}
	}
}

// errNoTests is the cause of an UndecidedError whose pattern matches no test.
var errNoTests = errors.New("no test ran")

// verdict returns the test that killed the mutant, or the error of a run that has ended with exitErr.
func verdict(pattern string, took time.Duration, output transcript, exitErr error) (string, error) {
	tail := string(bytes.TrimSpace(output.outputTail))
	switch {
	case output.failedTest != "":
		return output.failedTest, nil
	case !output.ran:
		return "", &UndecidedError{Run: pattern, Elapsed: took, Output: tail, Cause: errors.Join(errNoTests, exitErr)}
	case exitErr == nil:
		return "", &SurvivorError{Run: pattern, Output: tail}
	case output.panicked && !output.timedOut:
		return fmt.Sprintf("a panic (%v)", exitErr), nil
	default:
		return "", &UndecidedError{Run: pattern, Elapsed: took, Output: tail, Cause: exitErr}
	}
}
