package command

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
)

// roleVariable names the environment variable that makes the test binary run a role instead of the tests.
const roleVariable = "MASTUSHER_TEST_ROLE"

// testTimeout is how long a process may take to start, or a client waits for a response.
const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	for _, role := range Roles() {
		if os.Getenv(roleVariable) == role.Name() {
			os.Exit(int(role.Execute(context.Background(), flag.NewFlagSet(role.Name(), flag.ContinueOnError))))
		}
	}
	os.Exit(m.Run())
}

func TestRole_InvalidSettings_DoesNotStart(t *testing.T) {
	cases := []struct {
		name    string
		content string
		key     string
	}{
		{name: "a key is missing", content: strings.Replace(goodSettings, "zone: north", "", 1), key: "zone: missing"},
		{name: "ports in descending order", content: strings.Replace(goodSettings, "[7380, 7395]", "[7395, 7380]", 1), key: "portRange:"},
		{name: "an invalid address", content: goodSettings + "seedNodes: [here]\n", key: "seedNodes[0]:"},
	}
	for _, role := range Roles() {
		for _, c := range cases {
			t.Run(role.Name()+"/"+c.name, func(t *testing.T) {
				got := startRole(t, role.Name(), writeFile(t, c.content))
				if got.status != subcommands.ExitFailure || !strings.Contains(got.output, c.key) {
					t.Errorf("got status %d and output %q, want a failure that contains %q", got.status, got.output, c.key)
				}
			})
		}
	}
}

func TestRole_NoSettings_DoesNotStart(t *testing.T) {
	got := startRole(t, "store", "/nowhere/at/all.yaml")
	if got.status != subcommands.ExitFailure || !strings.Contains(got.output, "/nowhere/at/all.yaml") {
		t.Errorf("got %+v", got)
	}
}

// startRole runs a role as a separate process, and waits until it ends on its own.
func startRole(t *testing.T, role, settingsPath string) commandResult {
	t.Helper()
	var output bytes.Buffer
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+settingsPath)
	process.Stdout, process.Stderr = &output, &output
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(testTimeout, func() { _ = process.Process.Kill() })
	defer watchdog.Stop()
	err := process.Wait()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return commandResult{status: subcommands.ExitStatus(process.ProcessState.ExitCode()), output: output.String()}
}
