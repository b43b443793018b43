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

// stateSizes has the times measured with much state, which takes long.
var stateSizes = flag.Bool("states", false, "measure repairs with 1, 10 and 40 MB of state on each store")

// fill brings so many bytes of state into each shard, in updates.
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

// maxStateCopies is how many bytes of state the store with the most replicas holds, for each byte in a shard.
func (r *repair) maxStateCopies() int {
	limit := 0
	for _, m := range r.sorted() {
		if m.member.Role == membership.Store {
			limit = max(limit, len(m.groups))
		}
	}
	return limit
}

// TestRepair_CompletesInTime measures how long after the start of an empty machine all groups are complete again. The bound is
// catchUpS: from then on the next loss is allowed.
func TestRepair_CompletesInTime(t *testing.T) {
	sites := []struct {
		name   string
		around environment
	}{{"fast", fastSite}, {"slow", slowSite}, {"large and fast", fastSite.large()}, {"large and slow", slowSite.large()}}
	states := []int{1 << 20}
	kinds := []fault{diskLost, machineLost, planned}
	switch {
	case *stateSizes:
		states = []int{1 << 20, 10 << 20, 40 << 20}
	case watched:
		sites, kinds = sites[:1], kinds[1:2]
	default:
		sites = sites[:3]
	}
	for _, site := range sites {
		for _, state := range states {
			for _, what := range kinds {
				t.Run(fmt.Sprintf("%s site, %d MB, %s", site.name, state>>20, what), func(t *testing.T) {
					measureRepair(t, site.around, state, what)
				})
			}
		}
	}
}

func measureRepair(t *testing.T, around environment, state int, what fault) {
	t.Helper()
	r := newRepair(t, membership.Store, around)
	r.fill(state / r.maxStateCopies())
	allowed := r.now
	for _, m := range r.oldest(around.faultTolerance) {
		allowed = r.inject(what, m)
	}
	r.run(comesAfter + around.joinDelay + transferTimeout) // until the groups know what they lack
	r.until("all groups are complete", 30*time.Second, r.allComplete)
	took := r.now - allowed + around.catchUp()
	t.Logf("whole %v after the start of the empty machine; longest pause %v", took, r.load.longestOutage)
	if took > around.catchUp() {
		t.Errorf("whole %v after the start of the empty machine, the next loss is allowed after %v", took, around.catchUp())
	}
}
