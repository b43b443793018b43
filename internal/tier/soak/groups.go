package soak

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"

	"mastusher/internal/tier/localtier"
)

// groupCounts is what the stores report about the shards' groups.
type groupCounts struct {
	all      int
	led      int // with a leader that a majority confirms
	caughtUp int // of these, those whose members have all caught up
}

// String returns the counts as text.
func (g groupCounts) String() string {
	return fmt.Sprintf("of %d groups %d have a leader and %d have all replicas caught up", g.all, g.led, g.caughtUp)
}

// queryGroups counts the groups by the reports of all stores. A store that doesn't answer counts as leading none.
func (r *run) queryGroups(ctx context.Context) groupCounts {
	led, caughtUp := map[int]bool{}, map[int]bool{} // by shard
	for _, m := range r.tier.Machines {
		if m.Class != localtier.StorageClass {
			continue
		}
		shards, err := localtier.ShardsLedBy(ctx, r.pool, m)
		if err != nil {
			continue
		}
		for _, members := range shards {
			led[members.Shard] = true
			caughtUp[members.Shard] = caughtUp[members.Shard] || len(members.IDs) == replicas && len(members.CaughtUp) == replicas
		}
	}
	counts := groupCounts{all: r.shards, led: len(led)}
	for _, complete := range caughtUp {
		if complete {
			counts.caughtUp++
		}
	}
	return counts
}

// shardsPlacedLine matches the line that the configuration's leader logs at the first placement, which fixes the number of
// shards.
var shardsPlacedLine = regexp.MustCompile(`msg="shards placed" base=0 shards=(\d+)`)

// learnShards reads the number of shards from the controllers' logs; false means that none is placed yet.
func (r *run) learnShards() bool {
	for _, s := range r.services {
		content, err := os.ReadFile(s.LogPath())
		if match := shardsPlacedLine.FindStringSubmatch(string(content)); err == nil && match != nil {
			r.shards, _ = strconv.Atoi(match[1])
		}
	}
	return r.shards > 0
}

// groupChangedLine matches the line that a controller logs at each change of the configuration's group.
var groupChangedLine = regexp.MustCompile(`msg="group changed" group=\S+ leader=(\S*) isLeader=\S+ term=(\d+) members=(\d+)`)

// controllersAgree reports whether the controllers agree on the configuration's group: as many of them as the group has members, and
// at least replicas, must have last logged the same leader and number of members in the newest term. Controllers outside the group
// are on standby. It reads logs because no call returns this state.
func (r *run) controllersAgree() bool {
	newest, agreeing := 0, map[[2]string]int{} // newest term; number of controllers in it, by leader and number of members
	for _, s := range r.services {
		if s.Role != localtier.ControllerRole {
			continue
		}
		content, err := os.ReadFile(s.LogPath())
		matches := groupChangedLine.FindAllStringSubmatch(string(content), -1)
		if err != nil || len(matches) == 0 {
			continue
		}
		last := matches[len(matches)-1]
		term, _ := strconv.Atoi(last[2])
		if term > newest {
			newest = term
			clear(agreeing)
		}
		if term == newest && last[1] != "" {
			agreeing[[2]string{last[1], last[3]}]++
		}
	}
	for state, count := range agreeing {
		if members, _ := strconv.Atoi(state[1]); count >= members && members >= replicas {
			return true
		}
	}
	return false
}

// controllers returns the addresses of all controllers for the operator.
func (r *run) controllers() []string {
	return r.tier.Addresses(localtier.CoreClass, localtier.ControlPort)
}

// isUp reports whether the process runs, is not paused and was started longer than lostGrace ago.
func (s *service) isUp() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.downFaults == 0 && s.pauseFaults == 0 && s.Running() && time.Since(s.started) > lostGrace
}

// awaitCaughtUp waits until every process with a disk is up, all replicas have caught up and the controllers agree; false means
// that this does not hold within the timeout.
func (r *run) awaitCaughtUp(ctx context.Context, timeout time.Duration) bool {
	return r.waitUntil(ctx, timeout, func() bool {
		for _, s := range r.diskServices() {
			if !s.isUp() {
				return false
			}
		}
		return r.queryGroups(ctx).caughtUp == r.shards && r.controllersAgree()
	})
}
