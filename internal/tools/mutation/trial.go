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

// What a test binary writes in the form that tells of each test, subtests too, as soon as it ends: the name of a test that fails comes after its mark, a panic or a fatal error ends the binary.
const (
	eventForm   = "-test.v=test2json"
	eventMark   = "\x16"
	runMark     = "=== RUN"
	failMark    = "--- FAIL: "
	panicMark   = "panic: "
	fatalMark   = "fatal error: "
	timeoutMark = "panic: test timed out"
)

// waitDelay is how long a binary that was ended may hold its output open.
const waitDelay = 5 * time.Second

// outputKept bounds what an error tells of the tests' output, in bytes.
const outputKept = 2000

// try builds the package in folder with the mutant and runs its tests until one fails. It returns the test that noticed the
// mutant. Errors: OutdatedError, BuildError, SurvivorError, UndecidedError.
func try(ctx context.Context, folder, scratch string, mutant Mutant) (string, error) {
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
	return runTests(ctx, folder, binary, mutant.Run, testTimeout)
}

// build makes the test binary of the package in folder.
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

// runTests runs a test binary until the first failure, and returns the name of the test that failed.
func runTests(ctx context.Context, folder, binary, pattern string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	command := exec.CommandContext(ctx, binary, "-test.run", pattern, "-test.timeout", timeout.String(), "-test.failfast", eventForm)
	command.Dir = folder
	command.Env = append(os.Environ(), trialVariable+"=1", "TMPDIR="+filepath.Dir(binary))
	command.WaitDelay = waitDelay
	output, writer := io.Pipe()
	command.Stdout, command.Stderr = writer, writer
	began := time.Now()
	if err := command.Start(); err != nil {
		return "", &UndecidedError{Run: pattern, Cause: err}
	}
	ended := make(chan error, 1)
	go func() {
		ended <- command.Wait()
		writer.Close()
	}()
	read := readUntilFailure(output)
	if read.failed != "" {
		cancel()
	}
	_, _ = io.Copy(io.Discard, output)
	return verdict(pattern, time.Since(began), read, <-ended)
}

// transcript is what was read of the tests' output.
type transcript struct {
	failed   string // the first test that failed
	panicked bool
	timedOut bool
	ran      bool // at least one test ran
	tail     []byte
}

// readUntilFailure reads the output up to its end or the first test that failed.
func readUntilFailure(output io.Reader) transcript {
	var read transcript
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		read.tail = append(read.tail, line...)
		read.tail = read.tail[max(0, len(read.tail)-outputKept):]
		switch text := strings.TrimSpace(strings.TrimPrefix(line, eventMark)); {
		case strings.HasPrefix(text, failMark):
			read.failed = strings.TrimPrefix(text, failMark)
			return read
		case strings.HasPrefix(text, timeoutMark):
			read.timedOut = true
		case strings.HasPrefix(text, panicMark), strings.HasPrefix(text, fatalMark):
			read.panicked = true
		case strings.HasPrefix(text, runMark):
			read.ran = true
		}
		if err != nil {
			return read
		}
	}
}

// errNoTests says that the pattern names no test.
var errNoTests = errors.New("no test ran")

// verdict judges a run that has ended.
func verdict(pattern string, took time.Duration, read transcript, ended error) (string, error) {
	tail := string(bytes.TrimSpace(read.tail))
	switch {
	case read.failed != "":
		return read.failed, nil
	case !read.ran:
		return "", &UndecidedError{Run: pattern, After: took, Output: tail, Cause: errors.Join(errNoTests, ended)}
	case ended == nil:
		return "", &SurvivorError{Run: pattern, Output: tail}
	case read.panicked && !read.timedOut:
		return fmt.Sprintf("a panic (%v)", ended), nil
	default:
		return "", &UndecidedError{Run: pattern, After: took, Output: tail, Cause: ended}
	}
}
