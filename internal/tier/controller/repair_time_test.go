package controller

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/program"
)

// stateSizes also measures repairs with much state, which takes long.
var stateSizes = flag.Bool("states", false, "measure repairs with 1, 10 and 40 MB of state on each store")

// fill adds that many bytes of state to each shard, by turns with large inputs.
func (r *repair) fill(bytesOfShard int) {
	r.t.Helper()
	const update = 100_000
	for shard := range r.placement().Shards {
		for at := 0; at < bytesOfShard; at += update {
			begin := program.BeginTurn{Turn: fmt.Sprintf("fill-%d-%d", shard, at), AtMs: r.time().UnixMilli(), Remembered: true, KeepForS: 3600,
				Input: bytes.Repeat([]byte{byte(at)}, min(update, bytesOfShard-at))}
			r.proposeToShard(shard, program.Command{Begin: &begin}, program.Accepted)
		}
	}
	r.run(time.Second)
}

// maxStateCopies returns the number of replicas on the store with the most: it holds that many bytes for each byte in every shard.
func (r *repair) maxStateCopies() int {
	limit := 0
	for _, m := range r.sorted() {
		if m.member.Role == membership.Store {
			limit = max(limit, len(m.groups))
		}
	}
	return limit
}

// TestRepair_CompletesInTime measures how long after the start of an empty machine all groups are complete again. The bound is the
// setting catchUpS, after which the next loss is allowed.
func TestRepair_CompletesInTime(t *testing.T) {
	sites := []struct {
		name string
		env  environment
	}{{"fast", fastSite}, {"slow", slowSite}, {"large and fast", fastSite.large()}, {"large and slow", slowSite.large()}}
	states := []int{1 << 20}
	kinds := []fault{diskLost, machineLost, planned}
	switch {
	case *stateSizes:
		states = []int{1 << 20, 10 << 20, 40 << 20}
	case raceEnabled:
		sites, kinds = sites[:1], kinds[1:2]
	default:
		sites = sites[:3]
	}
	for _, site := range sites {
		for _, state := range states {
			for _, what := range kinds {
				t.Run(fmt.Sprintf("%s site, %d MB, %s", site.name, state>>20, what), func(t *testing.T) {
					measureRepair(t, site.env, state, what)
				})
			}
		}
	}
}

func measureRepair(t *testing.T, env environment, state int, what fault) {
	t.Helper()
	r := newRepair(t, membership.Store, env)
	r.fill(state / r.maxStateCopies())
	allowed := r.now
	for _, m := range r.oldest(env.faultTolerance) {
		allowed = r.inject(what, m)
	}
	r.run(replacementDelay + env.joinDelay + transferTimeout) // until the groups have detected the loss
	r.until("all groups are complete", 30*time.Second, r.allComplete)
	took := r.now - allowed + env.catchUp()
	t.Logf("groups are complete %v after the start of the empty machine; longest time without an acknowledgement %v", took, r.load.longestOutage)
	if took > env.catchUp() {
		t.Errorf("groups are complete %v after the start of the empty machine, but the next loss is allowed after %v", took, env.catchUp())
	}
}
