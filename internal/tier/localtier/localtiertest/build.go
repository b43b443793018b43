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
	binary := filepath.Join(t.TempDir(), path.Base(command))
	arguments := []string{"build", "-o", binary}
	if raceDetector {
		arguments = append(arguments, "-race")
	}
	output, err := exec.Command("go", append(arguments, command)...).CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return binary
}
