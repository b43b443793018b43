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

// formerBuildFolder holds disks that an earlier build wrote, and what its clients received. Its README.md says how they were made.
const formerBuildFolder = "testdata/former-build"

// acknowledgedState is what the earlier build acknowledged or returned to its clients.
type acknowledgedState struct {
	Network    string                       `json:"network"`    // the first three octets of all addresses
	Version    uint64                       `json:"version"`    // version of the newest acknowledged configuration
	ReadBack   json.RawMessage              `json:"readBack"`   // response to GET /mastusher/settings
	Rollouts   map[string]json.RawMessage   `json:"rollouts"`   // responses to GET /mastusher/rollouts/SERVICE, by service
	Identities map[string]string            `json:"identities"` // identities of the disks, by machine
	Shards     map[string]acknowledgedShard `json:"shards"`     // by the shard's number
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
	Previous  string `json:"previous"` // attempt ID of the turn that it continues; empty: none
	Input     string `json:"input"`
	Repeat    int    `json:"repeat"` // how often the input is repeated in the request; 0: once
	MaxTokens int64  `json:"maxTokens"`
	Status    int    `json:"status"`
	Complete  bool   `json:"complete"` // the client received the complete response
	Output    string `json:"output"`
	Tokens    int64  `json:"tokens"` // received
}

// isContinuable reports whether the turn can be continued.
func (t acknowledgedTurn) isContinuable() bool { return t.Complete && t.Status == http.StatusOK }

// usedTokens returns how much of its budget the program has used: the tokens received, and the whole reservation of a turn that was in
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

// chains returns the chain of each complete turn, by attempt ID: the inputs and outputs of that turn and of the turns before it.
func (a *acknowledgedState) chains() map[string]string {
	chains := map[string]string{}
	for _, program := range a.Programs {
		for _, turn := range program.Turns { // a turn follows those that it continues
			if turn.isContinuable() {
				chains[turn.Attempt] = chains[turn.Previous] + strings.Repeat(turn.Input, max(1, turn.Repeat)) + turn.Output
			}
		}
	}
	return chains
}

// incompleteTurns returns the attempt IDs of all turns that can't be continued.
func (a *acknowledgedState) incompleteTurns() []string {
	var attempts []string
	for _, program := range a.Programs {
		for _, turn := range program.Turns {
			if !turn.isContinuable() {
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

// readAcknowledged reads the acknowledgedState of the named case.
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

// unpackDisks unpacks the disks of all machines in the named case into a folder.
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

// lockNetwork waits until no other run of these tests uses a loopback network, and reserves it until the test ends. The stored state
// contains addresses in this network, so it can't be chosen at random; freeNetwork never returns it.
func lockNetwork(t *testing.T, network string) {
	t.Helper()
	var lock net.Listener
	waitFor(t, "the network "+network, func(int) (err error) {
		lock, err = net.Listen("tcp4", fmt.Sprintf("%s.254:%d", network, FirstPort))
		return err
	})
	t.Cleanup(func() { _ = lock.Close() })
}

// newTierIn returns a tier in a given network with all processes stopped. Their settings are not those of a system's first start.
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
		p.startCount = 1 // so that Start doesn't write the settings of a first start
	}
	t.Cleanup(func() { Stop(created.Processes, StopTimeout) })
	return created
}

// formerBuildTimeout bounds each wait of the test. On an idle machine, each takes seconds.
const formerBuildTimeout = time.Minute

// waitFor repeats an attempt, numbered from 0, until one succeeds, for up to formerBuildTimeout.
func waitFor(t *testing.T, what string, attempt func(number int) error) {
	t.Helper()
	ctx, cancel := contextWithTimeout(t)
	defer cancel()
	if err := Poll(ctx, attempt); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}
