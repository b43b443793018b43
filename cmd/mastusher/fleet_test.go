package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
)

// TestFleet_Commands_AnswersAndExitCodes runs the operators' commands on a relay that founds a fleet, and checks the output and exit
// codes that scripts rely on. The policy in force must survive a restart, and the relay must not be ready before it has applied it.
func TestFleet_Commands_AnswersAndExitCodes(t *testing.T) {
	relay := newFleetRelay(t)
	relay.start()
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fleet", "status"}, 0, "waits to be taken in"},
		{[]string{"fleet", "force"}, 2, "--majority-is-lost"},
		{[]string{"fleet", "found"}, 0, "relays"},
		{[]string{"fleet", "found"}, 1, "belongs to a fleet already"},
		{[]string{"policy", "check", relay.write(t, "class.json", `{"format":1,"classes":{"other":{}}}`)}, 1, "classes.other: no class"},
		{[]string{"policy", "propose", filepath.Join(relay.dir, "class.json")}, 1, "dropped: solo: policy: key classes.other"},
		{[]string{"policy", "propose", relay.write(t, "odd.json", `{"format":1,"colour":2}`)}, 1, "colour"},
		{[]string{"policy", "propose", relay.write(t, "good.json", `{"format":1,"classes":{"match-event":{"attempts":2}}}`), "--by", "desk"}, 0, "version 2 is in force"},
		{[]string{"policy", "propose", filepath.Join(relay.dir, "good.json"), "--base", "0"}, 1, "version 2 is in force"},
		{[]string{"fleet", "rights"}, 0, "nothing is shared"},
		{[]string{"fleet", "counts"}, 0, "0 relays"},
		{[]string{"policy", "wait", "2"}, 0, ""},
		{[]string{"policy", "wait", "1"}, 1, "dropped"},
		{[]string{"policy", "wait", "9", "--timeout", "200ms"}, 3, "not over"},
		{[]string{"policy", "status"}, 0, `"attempts":2`},
		{[]string{"policy", "history"}, 0, "desk"},
		{[]string{"policy", "diff", relay.write(t, "more.json", `{"format":1,"stamp":true}`)}, 0, "+ stamp true"},
		{[]string{"fleet", "status", "--json"}, 0, `"version": 2`},
		{[]string{"fleet", "status", "--config", relay.write(t, "alone.json", relay.withoutPeers)}, 1, "peers"},
	} {
		if code, out := relay.command(c.args...); code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit %d, want %d with %q; it says\n%s", c.args, code, c.code, c.want, out)
		}
	}
	relay.stop(t)
	relay.start()
	relay.awaitPolicy(t, 2)
	relay.stop(t)
}

// TestPolicyPropose_ChangeIsUnderWay_IsNotSentAgain checks that a proposal is sent only until the relay has it. After that the command
// polls the status only.
func TestPolicyPropose_ChangeIsUnderWay_IsNotSentAgain(t *testing.T) {
	relay := newFleetRelay(t)
	var asked []string
	var proposed uint64 // ticket of the proposal
	answer := func(_ context.Context, _ *config.Peers, request node.AdminRequest) (*node.Status, error) {
		asked = append(asked, request.Op)
		state := &policy.State{Version: 1}
		switch len(asked) {
		case 1: // before the proposal
		case 2:
			proposed = request.Ticket
		case 3, 4, 5:
			state.Change = &policy.Change{Version: 2, Ticket: proposed}
		default:
			state.PastChanges = []policy.PastChange{{Version: 2, Ticket: proposed}}
		}
		return &node.Status{State: state}, nil
	}
	tool := &fleetTool{o: &options{file: relay.file}, timeout: 10 * time.Second, pollGap: time.Millisecond, sendToRelay: answer}
	command := policyProposeCommand(tool)
	command.SetArgs([]string{relay.write(t, "good.json", `{"format":1}`)})
	command.SetOut(io.Discard)
	command.SetErr(io.Discard)
	if err := command.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"status", "propose", "propose", "status", "status", "status"}, asked); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// fleetRelay is a relay that runs in this process and is the only member of its fleet.
type fleetRelay struct {
	dir, file    string // working directory and configuration file
	withoutPeers string // text of the configuration without the key peers
	cfg          *config.Config
	interrupt    chan os.Signal
	ended        chan error
}

// newFleetRelay sets up a relay that can found a fleet, without starting it.
func newFleetRelay(t *testing.T) *fleetRelay {
	t.Helper()
	relay := &fleetRelay{dir: t.TempDir(), ended: make(chan error)}
	state := filepath.Join(relay.dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		t.Fatal(err)
	}
	relay.withoutPeers = strings.NewReplacer("STATE", state, `"listen": "127.0.0.1:1"`, `"listen": "127.0.0.1:0"`).Replace(minimalConfig)
	peers := fmt.Sprintf(`{"peers": {"fleet": "f", "name": "solo", "listen": %q, "voters": ["solo"], "lease": "500ms"},`, freeUDPAddress(t))
	relay.file = relay.write(t, "relay.json", peers+relay.withoutPeers[1:])
	cfg, err := config.Load(relay.file, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	relay.cfg = cfg
	return relay
}

// write writes a file next to the relay's configuration, and returns its path.
func (r *fleetRelay) write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(r.dir, name)
	writeFile(t, file, []byte(text))
	return file
}

// start runs the relay in a goroutine.
func (r *fleetRelay) start() {
	interrupt := make(chan os.Signal, 1)
	r.interrupt = interrupt
	go func() {
		r.ended <- serve(r.cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), signals{end: interrupt}, nil)
	}()
}

// stop sends the relay an interrupt and waits until it has ended.
func (r *fleetRelay) stop(t *testing.T) {
	t.Helper()
	r.interrupt <- os.Interrupt
	if err := <-r.ended; err != nil {
		t.Fatal(err)
	}
}

// command runs a command line with the relay's configuration, and returns its exit code and output.
func (r *fleetRelay) command(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(append([]string{"--config", r.file}, args...), &out, &out)
	return code, out.String()
}

// awaitPolicy waits until the relay serves under a version of the policy.
func (r *fleetRelay) awaitPolicy(t *testing.T, version int) {
	t.Helper()
	want := fmt.Sprint("policy in force  ", version)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		code, out := r.command("fleet", "status")
		if code == 0 && strings.Contains(out, "yes") && strings.Contains(out, want) {
			return
		}
		if time.Now().After(end) {
			t.Fatal(out)
		}
	}
}
