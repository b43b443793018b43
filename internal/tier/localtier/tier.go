package localtier

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// Options of a tier.
type Options struct {
	Command  []string // what starts a process; its role follows
	Folder   string   // for settings, disks and logs
	Platform string   // the address of its list
	Counts   Counts
	// ProcessEnv returns what a machine's processes have in their environment beside the settings; nil: nothing.
	ProcessEnv func(m Machine) []string
}

// Tier is the processes of all machines.
type Tier struct {
	Machines  []Machine
	Processes []*Process
	options   Options
	client    *http.Client
}

// New lays out a tier with one process of each role on each machine. None runs yet.
func New(options Options) (*Tier, error) {
	machines, err := layOut(options.Counts)
	if err != nil {
		return nil, err
	}
	laid := &Tier{Machines: machines, options: options,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, m := range machines {
		for _, role := range m.Roles {
			laid.Processes = append(laid.Processes, &Process{Machine: m, Role: role, tier: laid})
		}
	}
	return laid, nil
}

// Start starts all processes for the first time.
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

// Addresses gives a port of all machines of a class.
func (t *Tier) Addresses(class string, port int) []string {
	var addresses []string
	for _, m := range t.Machines {
		if m.Class == class {
			addresses = append(addresses, m.Address(port))
		}
	}
	return addresses
}

// WaitReady waits until every proxy says that it is ready.
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

// WaitRoute waits until every proxy answers on the route of a path.
func (t *Tier) WaitRoute(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	for _, address := range t.Addresses(EdgeClass, FrontPort) {
		err := Poll(ctx, func(try int) error {
			return t.Expect(ctx, address, path, fmt.Sprintf("look-%s-%d", address, try), http.StatusOK)
		})
		if err != nil {
			return fmt.Errorf("the proxy at %s has no route for %s: %w", address, path, err)
		}
	}
	return nil
}

// Expect asks for a path and compares the status.
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
		return fmt.Errorf("%s%s answers %s", address, path, response.Status)
	}
	return nil
}

// ControllerAt finds the controller that takes orders at an address.
func (t *Tier) ControllerAt(address string) (*Process, error) {
	for _, p := range t.Processes {
		if p.Role == ControllerRole && p.Machine.Address(ControlPort) == address {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no controller takes orders at %s", address)
}

// BusiestStore finds the store that owns the most shards, and how many there are in all.
func (t *Tier) BusiestStore(ctx context.Context) (busiest *Process, owned, all int, err error) {
	pool := transport.NewPool()
	defer pool.Close()
	for _, p := range t.Processes {
		if p.Role != StoreRole {
			continue
		}
		shards, err := ShardsLedBy(ctx, pool, p.Machine)
		if err != nil {
			return nil, 0, 0, fmt.Errorf("%v doesn't tell its shards: %w", p, err)
		}
		all += len(shards)
		if busiest == nil || len(shards) > owned {
			busiest, owned = p, len(shards)
		}
	}
	return busiest, owned, all, nil
}

// ShardsLedBy asks the store of a machine for the groups that it owns.
func ShardsLedBy(ctx context.Context, pool *transport.Pool, store Machine) ([]wire.ShardMembers, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	address := store.Address(FirstPort + wire.StorePort)
	answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{})
	return answer.Shards, err
}
