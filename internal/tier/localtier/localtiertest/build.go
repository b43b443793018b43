// Package localtiertest is for tests of tiers of real processes: it builds the commands that they start, and reads the processes' logs.
package localtiertest

import (
	"os/exec"
	"path"
	"path/filepath"
	"testing"
)

// Build builds a command of this project, with the race detector if the test has it, and returns the path of its binary.
func Build(t testing.TB, command string) string {
	t.Helper()
	if raceDetector {
		return build(t, command, "-race")
	}
	return build(t, command)
}

// BuildWithoutRace builds a command as it is deployed, also for a test with the race detector. It is for tests whose requests
// have as much time as clients give them: the detector makes processes several times slower.
func BuildWithoutRace(t testing.TB, command string) string {
	t.Helper()
	return build(t, command)
}

func build(t testing.TB, command string, flags ...string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), path.Base(command))
	arguments := append([]string{"build", "-o", binary}, flags...)
	output, err := exec.Command("go", append(arguments, command)...).CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return binary
}
