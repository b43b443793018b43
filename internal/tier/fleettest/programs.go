package fleettest

import (
	"errors"
	"time"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Bounds of one call to the leaders of shards.
const (
	attemptTimeout = 700 * time.Millisecond
	initialBackoff = 15 * time.Millisecond
	maxBackoff     = 120 * time.Millisecond
)

// Errors of the program client.
var (
	errNoPlacement  = errors.New("placement of shards is not known")
	errNoLeader     = errors.New("no store answered as the leader in time")
	errNotCommitted = errors.New("the turn could not be committed")
)

// programClient finds the leader of a program's shard and begins and commits turns there.
type programClient struct {
	process *process
	placed  *view.Placement
	leaders map[int]string // address that answered last, by shard
}

func newProgramClient(p *process) *programClient {
	return &programClient{process: p, leaders: map[int]string{}}
}

func (c *programClient) isPlaced() bool { return c.placed != nil && len(c.placed.Shards) > 0 }

// beginTurn begins a turn at the leader of key's shard within a time. An error means that the outcome is not known.
func (c *programClient) beginTurn(key string, turn program.BeginTurn, within time.Duration, done func(program.Result, error)) {
	if !c.isPlaced() {
		done(program.Result{}, errNoPlacement)
		return
	}
	shard := placement.Shard(key, len(c.placed.Shards))
	deadline := c.now() + within
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
func (c *programClient) endTurn(key string, turn program.EndTurn, within time.Duration, done func(error)) {
	if !c.isPlaced() {
		done(errNoPlacement)
		return
	}
	shard := placement.Shard(key, len(c.placed.Shards))
	c.call(shard, wire.EndTurnRequest{Shard: shard, Turn: turn}, c.now()+within, func(answer any, err error) {
		if result, _ := answer.(program.Result); err == nil && result.Verdict != program.Accepted {
			err = errNotCommitted
		}
		done(err)
	})
}

// findChain asks the leaders of all other shards for a turn's chain. Only if each of them is certain is there none.
func (c *programClient) findChain(except int, turn string, deadline time.Duration, done func(chain []byte, found bool, err error)) {
	open, ended := len(c.placed.Shards)-1, false
	var failed error
	finish := func(chain []byte, found bool, err error) {
		if !ended {
			ended = true
			done(chain, found, err)
		}
	}
	if open == 0 {
		finish(nil, false, nil)
	}
	for shard := range c.placed.Shards {
		if shard == except {
			continue
		}
		c.call(shard, wire.ChainRequest{Shard: shard, Turn: turn}, deadline, func(answer any, err error) {
			open--
			found, _ := answer.(wire.ChainResponse)
			switch {
			case err != nil:
				failed = err
			case found.Found:
				finish(found.Chain, true, nil)
			}
			if open == 0 {
				finish(nil, false, failed)
			}
		})
	}
}

// call asks the shard's stores in turn until its leader answers or the time is over.
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

func (c *programClient) replicas(shard int) []view.Replica {
	if shard >= len(c.placed.Shards) {
		return nil
	}
	return c.placed.Shards[shard].Replicas
}

// leader is the store that answered last, or the first replica.
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

// nextReplica is the replica after the one at address.
func (c *programClient) nextReplica(shard int, address string) string {
	replicas := c.replicas(shard)
	for i, r := range replicas {
		if r.Address == address {
			return replicas[(i+1)%len(replicas)].Address
		}
	}
	return c.leader(shard)
}
