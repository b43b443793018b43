package localtier

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/localtier/localtiertest"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
	"mastusher/internal/tier/transport"
)

// TestRestart_DisksOfEarlierBuild_NothingIsLost starts this build on disks that an earlier build wrote. It must have every turn, budget,
// configuration, roll-out, placement and identity that the earlier build acknowledged. After it has written further turns and a
// configuration and has restarted, it must have the old state and the new.
func TestRestart_DisksOfEarlierBuild_NothingIsLost(t *testing.T) {
	binary := localtiertest.BuildWithoutRace(t, "mastusher/cmd/mastusher-tier")
	cases := []struct {
		name   string
		signal syscall.Signal // ends the processes before the second restart
	}{
		{name: "stopped", signal: syscall.SIGTERM},
		{name: "killed", signal: syscall.SIGKILL}, // two machines' disks have torn tails, and a turn was in flight
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newFormerBuildRun(t, binary, test.name)
			r.start()
			r.checkState()
			r.checkTurns("first")
			r.exhaustBudgets()
			r.reconfigure()
			r.end(test.signal)
			r.start()
			r.checkState()
			r.checkTurns("second")
			r.checkBudgetsExhausted()
			r.end(syscall.SIGTERM)
			r.checkLogs()
		})
	}
}

// formerBuildRun is one run of this build on an earlier build's disks. It adds what it writes to acknowledged and chains.
type formerBuildRun struct {
	t            *testing.T
	folder       string
	environment  *Environment
	tier         *Tier
	operator     *Operator
	client       *http.Client
	acknowledged *acknowledgedState
	chains       map[string]string // of all complete turns, by attempt ID; see acknowledgedState.chains
	lastAttempt  atomic.Int64
}

func newFormerBuildRun(t *testing.T, binary, name string) *formerBuildRun {
	t.Helper()
	r := &formerBuildRun{t: t, folder: t.TempDir(), acknowledged: readAcknowledged(t, name),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
	r.chains = r.acknowledged.chains()
	unpackDisks(t, name, r.folder)
	lockNetwork(t, r.acknowledged.Network)
	var err error
	if r.environment, err = StartEnvironment(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.environment.Close)
	r.addRolledOutTool()
	r.tier = newTierIn(t, r.acknowledged.Network, Options{Command: []string{binary}, Folder: r.folder,
		Platform: r.environment.Platform.Address(), Counts: Counts{Core: 3, Storage: 3, Edge: 2}})
	r.operator = NewOperator(r.tier.Addresses(CoreClass, ControlPort), nil)
	return r
}

// rolledOutTool is the ID of the tool server with the version that the earlier build rolled out; the others have the version before.
const rolledOutTool = "rolled-out-tool"

func (r *formerBuildRun) addRolledOutTool() {
	options := r.environment.options(rolledOutTool, toolService, toolCapacity)
	options.Version = "v2"
	tool, err := standin.NewPlain(standin.PlainOptions{EndpointOptions: options, ServiceTime: toolWork})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(tool.Close)
	r.environment.Platform.Put(tool.Entry())
}

// start starts all processes and waits until the proxies are ready.
func (r *formerBuildRun) start() {
	r.t.Helper()
	for _, p := range r.tier.Processes {
		if err := p.Start(); err != nil {
			r.t.Fatal(err)
		}
	}
	waitFor(r.t, "proxies", func(int) error { return r.tier.WaitReady(r.t.Context()) })
}

// end ends all processes with a signal, and checks that none ended by itself or with an error.
func (r *formerBuildRun) end(signal syscall.Signal) {
	r.t.Helper()
	for _, p := range r.tier.Processes {
		if err := p.Signal(signal); err != nil {
			r.t.Fatalf("%v: %v", p, err)
		}
	}
	ctx, cancel := contextWithTimeout(r.t)
	defer cancel()
	for _, p := range r.tier.Processes {
		if err := p.Wait(ctx); err != nil {
			r.t.Fatalf("%v: %v", p, err)
		}
		if err := p.ExitErr(); err != nil {
			r.t.Error(err)
		}
	}
}

// contextWithTimeout returns a context of the test that ends after formerBuildTimeout.
func contextWithTimeout(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), formerBuildTimeout)
}

// checkState checks all state except that of programs.
func (r *formerBuildRun) checkState() {
	r.t.Helper()
	r.checkIdentities()
	r.checkShards()
	for _, controller := range r.operator.controllers {
		r.checkRead(controller, "/mastusher/settings", r.acknowledged.ReadBack)
		for service, status := range r.acknowledged.Rollouts {
			r.checkRead(controller, "/mastusher/rollouts/"+service, status)
		}
	}
	r.checkDuplicateOrder()
	r.checkToolRoutes()
}

// checkIdentities checks that each disk still has its identity: a disk that can't be read is erased and gets another one.
func (r *formerBuildRun) checkIdentities() {
	r.t.Helper()
	found := map[string]string{}
	for _, m := range r.tier.Machines {
		if m.Class == EdgeClass {
			continue
		}
		content, err := os.ReadFile(filepath.Join(r.tier.diskOf(m), "identity"))
		if err != nil {
			r.t.Fatal(err)
		}
		found[m.Name] = string(content)
	}
	if diff := cmp.Diff(r.acknowledged.Identities, found); diff != "" {
		r.t.Fatalf("identities (-want +found):\n%s", diff)
	}
}

// checkShards waits until all replicas have caught up and all shards have their members and placement.
func (r *formerBuildRun) checkShards() {
	r.t.Helper()
	pool := transport.NewPool()
	defer pool.Close()
	waitFor(r.t, "shards", func(int) error {
		shards := map[string]acknowledgedShard{}
		for _, p := range r.tier.Processes {
			if p.Role != StoreRole {
				continue
			}
			led, err := ShardsLedBy(r.t.Context(), pool, p.Machine)
			if err != nil {
				return err
			}
			for _, shard := range led {
				if len(shard.CaughtUp) < len(shard.IDs) {
					return fmt.Errorf("only %q have caught up with shard %d", shard.CaughtUp, shard.Shard)
				}
				shards[strconv.Itoa(shard.Shard)] = acknowledgedShard{Placement: shard.Placement, Members: slices.Sorted(slices.Values(shard.IDs))}
			}
		}
		if diff := cmp.Diff(r.acknowledged.Shards, shards); diff != "" {
			return fmt.Errorf("shards (-want +got):\n%s", diff)
		}
		return nil
	})
}

// checkRead compares the response to a GET at a controller, after redirects, with the response before the restart.
func (r *formerBuildRun) checkRead(controller, path string, want json.RawMessage) {
	r.t.Helper()
	var body []byte
	waitFor(r.t, path+" at "+controller, func(int) error {
		request, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://"+controller+path, nil)
		if err != nil {
			return err
		}
		_, body, err = r.operator.send(request)
		return err
	})
	var wanted, got any
	if err := json.Unmarshal(want, &wanted); err != nil {
		r.t.Fatal(err)
	}
	if err := json.Unmarshal(body, &got); err != nil {
		r.t.Fatal(err)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		r.t.Errorf("%s at %s (-want +got):\n%s", path, controller, diff)
	}
}

// newestConfiguration returns the newest configuration that was acknowledged.
func (r *formerBuildRun) newestConfiguration() model.Configuration {
	r.t.Helper()
	var newest model.Configuration
	if err := json.Unmarshal(r.acknowledged.ReadBack, &newest); err != nil {
		r.t.Fatal(err)
	}
	if newest.Version != r.acknowledged.Version {
		r.t.Fatalf("the configuration has version %d, want the acknowledged version %d", newest.Version, r.acknowledged.Version)
	}
	return newest
}

// checkDuplicateOrder checks that the newest configuration is acknowledged when it is sent again. A different configuration with the
// same version would be rejected.
func (r *formerBuildRun) checkDuplicateOrder() {
	r.t.Helper()
	newest := r.newestConfiguration()
	if _, err := r.operator.Configure(r.t.Context(), newest, newest.Version-1); err != nil {
		r.t.Errorf("sending the newest configuration again: %v", err)
	}
}

// checkToolRoutes checks that a call on each route to the tools, through each proxy, reaches the version that was rolled out.
func (r *formerBuildRun) checkToolRoutes() {
	r.t.Helper()
	for _, route := range r.newestConfiguration().Routes {
		if route.Service != toolService {
			continue
		}
		for _, address := range r.tier.Addresses(EdgeClass, FrontPort) {
			r.checkToolCall(address, route.PathPrefix+"a")
		}
	}
}

// checkToolCall checks that a tool call runs once, at rolledOutTool.
func (r *formerBuildRun) checkToolCall(address, path string) {
	r.t.Helper()
	var attempt string
	waitFor(r.t, "a tool call", func(int) error {
		_, attempt = r.nextAttempt("tool-call")
		return r.tier.Expect(r.t.Context(), address, path, attempt, http.StatusOK)
	})
	var endpoints []string
	for _, run := range r.environment.RunLog.Runs(attempt) {
		endpoints = append(endpoints, run.Endpoint)
	}
	if diff := cmp.Diff([]string{rolledOutTool}, endpoints); diff != "" {
		r.t.Errorf("endpoints that ran a call of %s%s (-want +got):\n%s", address, path, diff)
	}
}

// reconfigure replaces the newest configuration by one with another route.
func (r *formerBuildRun) reconfigure() {
	r.t.Helper()
	next := r.newestConfiguration()
	next.Version++
	next.Routes = append(next.Routes, ToolRoute("newest-tools", "/newest-tools/"))
	if _, err := r.operator.Configure(r.t.Context(), next, next.Version-1); err != nil {
		r.t.Fatal(err)
	}
	waitFor(r.t, "the new route", func(int) error { return r.tier.WaitRoute(r.t.Context(), "/newest-tools/a") })
	encoded, err := json.Marshal(next)
	if err != nil {
		r.t.Fatal(err)
	}
	r.acknowledged.Version, r.acknowledged.ReadBack = next.Version, encoded
}

// checkLogs checks that no process has logged corrupt data, a panic, a data race or a broken invariant.
func (r *formerBuildRun) checkLogs() {
	r.t.Helper()
	for _, p := range r.tier.Processes {
		content, err := os.ReadFile(p.LogPath())
		if err != nil {
			r.t.Fatal(err)
		}
		for _, word := range []string{"panic:", "DATA RACE", "corrupt", "replica stopped", "process ends", invariant.Message} {
			if strings.Contains(string(content), word) {
				r.t.Errorf("the log of %v contains %q:\n%s", p, word, content)
			}
		}
	}
}
