// Package localtiertest supports tests of tiers of real processes: it builds the commands that the tests start, and reads the logs.
package localtiertest

import (
	"fmt"
	"os/exec"
	"path"
	"path/filepath"
	"testing"
)

// Build builds a command of this project, with the race detector if the test itself runs with it, and returns the path of its binary.
func Build(t testing.TB, command string) string {
	t.Helper()
	if raceDetector {
		return build(t, command, "-race")
	}
	return build(t, command)
}

// BuildWithoutRace builds a command without the race detector, even if the test itself runs with it. It is for tests whose requests
// have the same timeouts as those of real clients: the detector makes processes several times slower.
func BuildWithoutRace(t testing.TB, command string) string {
	t.Helper()
	return build(t, command)
}

func build(t testing.TB, command string, flags ...string) string {
	t.Helper()
	binary, err := BuildIn(t.TempDir(), command, flags...)
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// BuildIn builds a command of this project with flags of go build into a folder, and returns the path of its binary. It is for a binary
// that several tests share.
func BuildIn(folder, command string, flags ...string) (binary string, err error) {
	binary = filepath.Join(folder, path.Base(command))
	arguments := append([]string{"build", "-o", binary}, flags...)
	output, err := exec.Command("go", append(arguments, command)...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, output)
	}
	return binary, nil
}
