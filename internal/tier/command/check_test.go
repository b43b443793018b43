package command

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

const goodSettings = `
nodeName: core-1
role: controller
machineClass: core
serves: [control]
ip: 10.1.0.30
zone: north
listenOn: {control: "10.1.0.30:8144"}
portRange: [7380, 7395]
`

const goodConfiguration = `{"number":1,"routes":[{"name":"r","host":"h.example","startsWith":"/a/","kind":"retryable","giveUpMs":900,"targetMs":100,
"rank":0,"service":"s","tries":2}],"services":[{"name":"s","healthPath":"/health","maxConnections":9,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleCloseMs":15000}}`

// commandResult is the exit status and the output of a command.
type commandResult struct {
	status subcommands.ExitStatus
	output string
}

// execute runs a command with arguments.
func execute(t *testing.T, command subcommands.Command, output *bytes.Buffer, arguments ...string) commandResult {
	t.Helper()
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	status := command.Execute(context.Background(), flags)
	return commandResult{status: status, output: output.String()}
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckSettings_NamesEachFaultyKey(t *testing.T) {
	cases := []struct {
		name    string
		content string
		status  subcommands.ExitStatus
		keys    []string
	}{
		{name: "good", content: goodSettings, keys: []string{"no faults"}},
		{name: "a key is missing", content: strings.Replace(goodSettings, "nodeName: core-1", "", 1), status: 1, keys: []string{"nodeName: missing"}},
		{
			name:    "several invalid values",
			content: strings.NewReplacer("10.1.0.30\n", "here\n", "[7380, 7395]", "[9, 2]").Replace(goodSettings) + "limits: {memoryMb: -1}\n",
			status:  1,
			keys:    []string{"ip:", "portRange:", "limits.memoryMb:"},
		},
		{name: "no YAML", content: "a: [", status: 1, keys: []string{"is no YAML"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output bytes.Buffer
			got := execute(t, &CheckSettings{Output: &output}, &output, writeFile(t, c.content))
			expectLines(t, got, c.status, c.keys)
		})
	}
}

func TestCheckConfig_NamesEachPlace(t *testing.T) {
	cases := []struct {
		name    string
		content string
		status  subcommands.ExitStatus
		places  []string
	}{
		{name: "good", content: goodConfiguration, places: []string{"no faults"}},
		{
			name:    "an unknown service",
			content: strings.Replace(goodConfiguration, `"service":"s"`, `"service":"t"`, 1),
			status:  1,
			places:  []string{"routes[0].service:"},
		},
		{
			name:    "several faults",
			content: strings.NewReplacer(`"giveUpMs":900`, `"giveUpMs":0`, `"number":1`, `"number":"one"`).Replace(goodConfiguration),
			status:  1,
			places:  []string{"number:", "routes[0].giveUpMs:"},
		},
		{name: "no JSON", content: "{", status: 1, places: []string{"can't be read whole"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output bytes.Buffer
			got := execute(t, &CheckConfig{Output: &output}, &output, writeFile(t, c.content))
			expectLines(t, got, c.status, c.places)
		})
	}
}

// expectLines checks the status, and that each line of the output contains the text at the same position.
func expectLines(t *testing.T, got commandResult, status subcommands.ExitStatus, contents []string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(got.output), "\n")
	if got.status != status || len(lines) != len(contents) {
		t.Fatalf("got status %d and output:\n%s", got.status, got.output)
	}
	for i, text := range contents {
		if !strings.Contains(lines[i], text) {
			t.Errorf("line %d is %q, want it to contain %q", i, lines[i], text)
		}
	}
}

func TestChecks_NeedOneReadableFile(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		status    subcommands.ExitStatus
	}{
		{name: "none", status: subcommands.ExitUsageError},
		{name: "two", arguments: []string{"a", "b"}, status: subcommands.ExitUsageError},
		{name: "a file that does not exist", arguments: []string{"/nowhere/at/all"}, status: subcommands.ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output bytes.Buffer
			for _, command := range []subcommands.Command{&CheckSettings{Output: &output}, &CheckConfig{Output: &output}} {
				got := execute(t, command, &output, c.arguments...)
				if got.status != c.status || got.output == "" {
					t.Errorf("%s: got status %d and output %q", command.Name(), got.status, got.output)
				}
			}
		})
	}
}

func TestVersion_NamesProgram(t *testing.T) {
	var output bytes.Buffer
	got := execute(t, &Version{Output: &output}, &output)
	if got.status != subcommands.ExitSuccess || !strings.HasPrefix(got.output, "mastusher-tier") || !strings.Contains(got.output, "go1.") {
		t.Errorf("got %+v", got)
	}
}
