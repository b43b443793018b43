package localtier

import (
	"context"
	"fmt"
	"net/http"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// Options are the options of a tier. All but Limits and ProcessEnv are required.
type Options struct {
	Command  []string // runs a role, whose name is appended
	Folder   string   // for settings, disks and logs
	Platform string   // address of the platform that lists the endpoints
	Counts   Counts
	// Limits are the limits of each process, by class of its machine; default: 256 MiB and 4,096 files.
	Limits map[string]Limits
	// ProcessEnv returns environment variables (NAME=value) of a machine's processes in addition to SettingsVariable; default nil:
	// none.
	ProcessEnv func(m Machine) []string
}

// Tier holds all machines of a tier and their processes.
type Tier struct {
	Machines  []Machine
	Processes []*Process
	options   Options
	client    *http.Client
}

// New lays out a tier, with one process for each role of each machine. None is started.
func New(options Options) (*Tier, error) {
	machines, err := layOut(options.Counts)
	if err != nil {
		return nil, err
	}
	created := &Tier{Machines: machines, options: options,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, m := range machines {
		for _, role := range m.Roles {
			created.Processes = append(created.Processes, &Process{Machine: m, Role: role, tier: created})
		}
	}
	return created, nil
}

// Start lays out a tier and starts all its processes. If it returns an error, no process runs.
func Start(options Options) (*Tier, error) {
	started, err := New(options)
	if err != nil {
		return nil, err
	}
	for _, p := range started.Processes {
		if err := p.Start(); err != nil {
			Stop(started.Processes, StopTimeout)
			return nil, err
		}
	}
	return started, nil
}

// Addresses returns the addresses of a port on all machines of a class.
func (t *Tier) Addresses(class string, port int) []string {
	var addresses []string
	for _, m := range t.Machines {
		if m.Class == class {
			addresses = append(addresses, m.Address(port))
		}
	}
	return addresses
}

// WaitReady waits until every proxy reports that it is ready, for up to readyTimeout.
func (t *Tier) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range t.Addresses(EdgeClass, ReadinessPort) {
		err := Poll(ctx, func(int) error { return t.Expect(ctx, address, "/mastusher/ready", "", http.StatusOK) })
		if err != nil {
			return fmt.Errorf("the proxy at %s isn't ready: %w", address, err)
		}
	}
	return nil
}

// WaitRoute waits until every proxy answers 200 on a path, for up to routeTimeout.
func (t *Tier) WaitRoute(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	for _, address := range t.Addresses(EdgeClass, FrontPort) {
		err := Poll(ctx, func(attempt int) error {
			return t.Expect(ctx, address, path, fmt.Sprintf("look-%s-%d", address, attempt), http.StatusOK)
		})
		if err != nil {
			return fmt.Errorf("the proxy at %s has no route for %s: %w", address, path, err)
		}
	}
	return nil
}

// Expect sends a GET and returns an error unless the response has the status. An empty attempt sends no X-Attempt-Id.
func (t *Tier) Expect(ctx context.Context, address, path, attempt string, status int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Host = Host
	if attempt != "" {
		request.Header.Set("X-Attempt-Id", attempt)
		request.Header.Set("X-Time-Left-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	}
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != status {
		return fmt.Errorf("%s%s answers with status %s, want %d", address, path, response.Status, status)
	}
	return nil
}

// ControllerAt returns the controller that serves operators at an address.
func (t *Tier) ControllerAt(address string) (*Process, error) {
	for _, p := range t.Processes {
		if p.Role == ControllerRole && p.Machine.Address(ControlPort) == address {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no controller at %s", address)
}

// BusiestStore returns the store that leads the most shards, the number of these shards, and the number that all stores lead together.
func (t *Tier) BusiestStore(ctx context.Context) (busiest *Process, led, all int, err error) {
	pool := transport.NewPool()
	defer pool.Close()
	for _, p := range t.Processes {
		if p.Role != StoreRole {
			continue
		}
		shards, err := ShardsLedBy(ctx, pool, p.Machine)
		if err != nil {
			return nil, 0, 0, fmt.Errorf("shards of %v: %w", p, err)
		}
		all += len(shards)
		if busiest == nil || len(shards) > led {
			busiest, led = p, len(shards)
		}
	}
	return busiest, led, all, nil
}

// ShardsLedBy asks the store of a machine for the shards whose groups it leads.
func ShardsLedBy(ctx context.Context, pool *transport.Pool, store Machine) ([]wire.ShardMembers, error) {
	ctx, cancel := context.WithTimeout(ctx, shardsTimeout)
	defer cancel()
	address := store.Address(FirstPort + wire.StorePort)
	answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{})
	return answer.Shards, err
}
