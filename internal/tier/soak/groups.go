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

// groupsSeen is what the stores tell of the shards' groups.
type groupsSeen struct {
	all   int
	owned int // groups with an owner that a majority confirms
	whole int // of these, groups all of whose members have caught up
}

// String tells the counts.
func (g groupsSeen) String() string {
	return fmt.Sprintf("of %d groups %d have an owner and %d are whole", g.all, g.owned, g.whole)
}

// groups asks all stores.
func (r *run) groups(ctx context.Context) groupsSeen {
	owned, whole := map[int]bool{}, map[int]bool{}
	for _, m := range r.tier.Machines {
		if m.Class != localtier.StorageClass {
			continue
		}
		shards, err := localtier.OwnedShards(ctx, r.pool, m)
		if err != nil {
			continue
		}
		for _, told := range shards {
			owned[told.Shard] = true
			whole[told.Shard] = whole[told.Shard] || len(told.IDs) == copies && len(told.CaughtUp) == copies
		}
	}
	seen := groupsSeen{all: r.shards, owned: len(owned)}
	for _, isWhole := range whole {
		if isWhole {
			seen.whole++
		}
	}
	return seen
}

// placed is the line that the owner of the configuration logs at the first placement, which fixes the number of shards.
var placed = regexp.MustCompile(`msg="shards placed" base=0 shards=(\d+)`)

// learnShards looks for the first placement in the controllers' logs; false means that there is none yet.
func (r *run) learnShards() bool {
	for _, s := range r.services {
		content, err := os.ReadFile(s.LogPath())
		if line := placed.FindStringSubmatch(string(content)); err == nil && line != nil {
			r.shards, _ = strconv.Atoi(line[1])
		}
	}
	return r.shards > 0
}

// changed is the line that a controller logs at each change of the group that holds the configuration.
var changed = regexp.MustCompile(`msg="group changed" group=\S+ leader=(\S*) isLeader=\S+ term=(\d+) members=(\d+)`)

// controllersAgree tells whether as many controllers as the group has members, and no fewer than there are to be copies, say the same of it
// in what they have logged last: one owner in the newest epoch. There is no call that asks for it. Other controllers stand by.
func (r *run) controllersAgree() bool {
	newest, agreeing := 0, map[[2]string]int{} // by owner and number of members
	for _, s := range r.services {
		if s.Role != localtier.ControllerRole {
			continue
		}
		content, err := os.ReadFile(s.LogPath())
		lines := changed.FindAllStringSubmatch(string(content), -1)
		if err != nil || len(lines) == 0 {
			continue
		}
		last := lines[len(lines)-1]
		epoch, _ := strconv.Atoi(last[2])
		if epoch > newest {
			newest = epoch
			clear(agreeing)
		}
		if epoch == newest && last[1] != "" {
			agreeing[[2]string{last[1], last[3]}]++
		}
	}
	for said, count := range agreeing {
		if members, _ := strconv.Atoi(said[1]); count >= members && members >= copies {
			return true
		}
	}
	return false
}

func (r *run) controllers() []string {
	return r.tier.Addresses(localtier.CoreClass, localtier.ControlPort)
}

// isUp tells whether the process runs and isn't held, and has done so for long enough to count as back.
func (s *service) isUp() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held == 0 && s.stopped == 0 && s.Running() && time.Since(s.started) > catchUp
}

// awaitWhole waits until all groups are whole and every process with a disk has been back for the time that it counts as lost.
func (r *run) awaitWhole(ctx context.Context, patience time.Duration) bool {
	return r.until(ctx, patience, func() bool {
		for _, s := range r.counting() {
			if !s.isUp() {
				return false
			}
		}
		return r.groups(ctx).whole == r.shards && r.controllersAgree()
	})
}
