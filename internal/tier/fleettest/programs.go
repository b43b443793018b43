package fleettest

import (
	"errors"
	"time"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Timeout and backoff of calls to the leaders of shards.
const (
	attemptTimeout = 700 * time.Millisecond
	initialBackoff = 15 * time.Millisecond
	maxBackoff     = 120 * time.Millisecond
)

// Errors of the program client.
var (
	errNoPlacement  = errors.New("the placement of shards is unknown")
	errNoLeader     = errors.New("no store answered as the leader before the deadline")
	errNotCommitted = errors.New("the stores rejected the end of the turn, want it committed")
)

// programClient finds the leader of a program's shard and begins and commits turns there.
type programClient struct {
	process *process
	placed  *view.Placement
	leaders map[int]string // by shard, the address that last answered as the leader
}

func newProgramClient(p *process) *programClient {
	return &programClient{process: p, leaders: map[int]string{}}
}

func (c *programClient) isPlaced() bool { return c.placed != nil && len(c.placed.Shards) > 0 }

// beginTurn begins a turn at the leader of key's shard. If that shard lacks the previous turn, it looks for the chain in the others. An
// error means that the outcome is unknown.
func (c *programClient) beginTurn(key string, turn program.BeginTurn, timeout time.Duration, done func(program.Result, error)) {
	if !c.isPlaced() {
		done(program.Result{}, errNoPlacement)
		return
	}
	shard := placement.Shard(key, len(c.placed.Shards))
	deadline := c.now() + timeout
	request := wire.BeginTurnRequest{Shard: shard, Turn: turn}
	c.call(shard, request, deadline, func(answer any, err error) {
		result, _ := answer.(program.Result)
		if err != nil || result.Verdict != program.TurnNotFound {
			done(result, err)
			return
		}
		c.findChain(shard, turn.Previous, deadline, func(chain []byte, found bool, err error) {
			if err != nil || !found {
				done(result, err)
				return
			}
			request.Turn.Imported = chain
			c.call(shard, request, deadline, func(answer any, err error) {
				result, _ := answer.(program.Result)
				done(result, err)
			})
		})
	})
}

func (c *programClient) now() time.Duration { return c.process.machine.fleet.loop.Now() }

// endTurn commits a turn at the leader of key's shard.
func (c *programClient) endTurn(key string, turn program.EndTurn, timeout time.Duration, done func(error)) {
	if !c.isPlaced() {
		done(errNoPlacement)
		return
	}
	shard := placement.Shard(key, len(c.placed.Shards))
	c.call(shard, wire.EndTurnRequest{Shard: shard, Turn: turn}, c.now()+timeout, func(answer any, err error) {
		if result, _ := answer.(program.Result); err == nil && result.Verdict != program.Accepted {
			err = errNotCommitted
		}
		done(err)
	})
}

// findChain asks the leaders of all other shards for a turn's chain. It reports the chain as not found only if all of them have answered
// so.
func (c *programClient) findChain(except int, turn string, deadline time.Duration, done func(chain []byte, found bool, err error)) {
	pending, ended := len(c.placed.Shards)-1, false
	var failed error
	finish := func(chain []byte, found bool, err error) {
		if !ended {
			ended = true
			done(chain, found, err)
		}
	}
	if pending == 0 {
		finish(nil, false, nil)
	}
	for shard := range c.placed.Shards {
		if shard == except {
			continue
		}
		c.call(shard, wire.ChainRequest{Shard: shard, Turn: turn}, deadline, func(answer any, err error) {
			pending--
			found, _ := answer.(wire.ChainResponse)
			switch {
			case err != nil:
				failed = err
			case found.Found:
				finish(found.Chain, true, nil)
			}
			if pending == 0 {
				finish(nil, false, failed)
			}
		})
	}
}

// call calls the shard's stores one after the other until the leader answers or the deadline passes.
func (c *programClient) call(shard int, request any, deadline time.Duration, done func(answer any, err error)) {
	address, backoff, attempts := c.leader(shard), initialBackoff, 0
	var ask func()
	ask = func() {
		left := deadline - c.now()
		if left <= 0 {
			done(nil, errNoLeader)
			return
		}
		c.process.machine.fleet.network.ask(c.process, address, request, min(attemptTimeout, left), func(answer any, err error) {
			redirect, redirected := answer.(notLeader)
			if err == nil && !redirected {
				c.leaders[shard] = address
				done(answer, nil)
				return
			}
			if redirected && redirect.leader != "" && redirect.leader != address {
				address = redirect.leader
			} else {
				address = c.nextReplica(shard, address)
			}
			attempts++
			if attempts%max(1, len(c.replicas(shard))) != 0 {
				c.process.after(0, ask)
				return
			}
			c.process.after(backoff, ask)
			backoff = min(2*backoff, maxBackoff)
		})
	}
	ask()
}

// replicas returns the replicas of a shard by the newest placement.
func (c *programClient) replicas(shard int) []view.Replica {
	if shard >= len(c.placed.Shards) {
		return nil
	}
	return c.placed.Shards[shard].Replicas
}

// leader returns the replica that last answered as the leader, or else the first one.
func (c *programClient) leader(shard int) string {
	replicas := c.replicas(shard)
	for _, r := range replicas {
		if r.Address == c.leaders[shard] {
			return r.Address
		}
	}
	if len(replicas) == 0 {
		return ""
	}
	return replicas[0].Address
}

// nextReplica returns the replica after the one at address.
func (c *programClient) nextReplica(shard int, address string) string {
	replicas := c.replicas(shard)
	for i, r := range replicas {
		if r.Address == address {
			return replicas[(i+1)%len(replicas)].Address
		}
	}
	return c.leader(shard)
}
