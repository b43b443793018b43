package localtier

import (
	"archive/tar"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// formerBuildFolder has the disks that an earlier build wrote, and what its clients were told. Its README.md says how they were
// made.
const formerBuildFolder = "testdata/former-build"

// acknowledgedState is what the clients of the earlier build were told.
type acknowledgedState struct {
	Network    string                       `json:"network"`    // the first three octets of all addresses
	Version    uint64                       `json:"version"`    // of the newest acknowledged configuration
	ReadBack   json.RawMessage              `json:"readBack"`   // by GET /mastusher/settings
	Rollouts   map[string]json.RawMessage   `json:"rollouts"`   // by service, as GET /mastusher/rollouts/SERVICE said
	Identities map[string]string            `json:"identities"` // by machine
	Shards     map[string]acknowledgedShard `json:"shards"`     // by number
	Programs   []acknowledgedProgram        `json:"programs"`
}

type acknowledgedShard struct {
	Placement uint64   `json:"placement"` // index of the placement that the shard follows
	Members   []string `json:"members"`   // identities, sorted
}

type acknowledgedProgram struct {
	Name   string             `json:"name"`
	Budget int64              `json:"budget"` // in tokens; 0: none
	Turns  []acknowledgedTurn `json:"turns"`
}

type acknowledgedTurn struct {
	Attempt   string `json:"attempt"`
	Previous  string `json:"previous"` // attempt of the turn that it continues; empty: none
	Input     string `json:"input"`
	Repeat    int    `json:"repeat"` // times that the input was sent in a row; 0: once
	MaxTokens int64  `json:"maxTokens"`
	Status    int    `json:"status"`
	Complete  bool   `json:"complete"` // the client received the complete response
	Output    string `json:"output"`
	Tokens    int64  `json:"tokens"` // received
}

// isCompleteAnswer reports whether the turn can be continued.
func (t acknowledgedTurn) isCompleteAnswer() bool { return t.Complete && t.Status == http.StatusOK }

// usedTokens returns what the program's turns use of its budget: the tokens received, and the reservation of a turn that was in
// flight when all processes were killed.
func (p acknowledgedProgram) usedTokens() int64 {
	used := int64(0)
	for _, turn := range p.Turns {
		if turn.Complete {
			used += turn.Tokens
		} else {
			used += turn.MaxTokens
		}
	}
	return used
}

// chains returns the inputs and outputs of each complete turn and of those before it, by attempt.
func (a *acknowledgedState) chains() map[string]string {
	chains := map[string]string{}
	for _, program := range a.Programs {
		for _, turn := range program.Turns { // a turn follows those that it continues
			if turn.isCompleteAnswer() {
				chains[turn.Attempt] = chains[turn.Previous] + strings.Repeat(turn.Input, max(1, turn.Repeat)) + turn.Output
			}
		}
	}
	return chains
}

// incompleteTurns returns the attempts of all turns that can't be continued.
func (a *acknowledgedState) incompleteTurns() []string {
	var attempts []string
	for _, program := range a.Programs {
		for _, turn := range program.Turns {
			if !turn.isCompleteAnswer() {
				attempts = append(attempts, turn.Attempt)
			}
		}
	}
	return attempts
}

// budgetedPrograms returns the programs that have a budget.
func (a *acknowledgedState) budgetedPrograms() []acknowledgedProgram {
	return slices.DeleteFunc(slices.Clone(a.Programs), func(p acknowledgedProgram) bool { return p.Budget == 0 })
}

// readAcknowledged reads what the clients were told.
func readAcknowledged(t *testing.T, name string) *acknowledgedState {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(formerBuildFolder, name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	read := &acknowledgedState{}
	if err := json.Unmarshal(content, read); err != nil {
		t.Fatal(err)
	}
	return read
}

// unpackDisks unpacks the disks of all machines into a folder.
func unpackDisks(t *testing.T, name, folder string) {
	t.Helper()
	file, err := os.Open(filepath.Join(formerBuildFolder, name+".tar.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	unzipped, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	for archive := tar.NewReader(unzipped); ; {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err == nil {
			err = unpackEntry(archive, header, filepath.Join(folder, header.Name))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// unpackEntry writes one entry of an archive.
func unpackEntry(archive io.Reader, header *tar.Header, path string) error {
	if header.Typeflag == tar.TypeDir {
		return os.MkdirAll(path, 0o755)
	}
	content, err := io.ReadAll(archive)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}

// lockNetwork waits until no other run of these tests uses a loopback network, and holds it until the test ends. Stored state has
// the addresses of its members, so this network can't be chosen at random; freeNetwork never returns it.
func lockNetwork(t *testing.T, network string) {
	t.Helper()
	var lock net.Listener
	waitFor(t, "the network "+network, func(int) (err error) {
		lock, err = net.Listen("tcp4", fmt.Sprintf("%s.254:%d", network, FirstPort))
		return err
	})
	t.Cleanup(func() { _ = lock.Close() })
}

// newTierIn returns a tier in a given network, none of whose processes is started. It isn't a system that starts for the first time.
func newTierIn(t *testing.T, network string, options Options) *Tier {
	t.Helper()
	created, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	addresses := map[string]string{}
	for i := range created.Machines {
		m := &created.Machines[i]
		m.IP = fmt.Sprintf("%s.%d", network, i+1)
		addresses[m.Name] = m.IP
	}
	for _, p := range created.Processes {
		p.Machine.IP = addresses[p.Machine.Name]
		p.startCount = 1 // the earlier build has started it before
	}
	t.Cleanup(func() { Stop(created.Processes, StopTimeout) })
	return created
}

// formerBuildTimeout bounds each condition that the test waits for; a tier that isn't disturbed meets all within seconds.
const formerBuildTimeout = time.Minute

// waitFor repeats an attempt, numbered from 0, until one succeeds.
func waitFor(t *testing.T, what string, attempt func(number int) error) {
	t.Helper()
	ctx, cancel := contextWithTimeout(t)
	defer cancel()
	if err := Poll(ctx, attempt); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}
