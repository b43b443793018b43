package controller

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/membership"
)

// Times of a repair at which a coordinator is killed.
const (
	coordinatorStep   = 250 * time.Millisecond
	coordinatorSteps  = 20
	restartAfter      = 700 * time.Millisecond // from a kill until the process runs again
	coordinatorStride = 5                      // interval at which scenarios are run, unless allPairs is set
)

// coordinator is the role of a process that leads a repair or a part of it.
type coordinator string

// The coordinators; everyone: all processes.
const (
	configurationLeader coordinator = "leader of the configuration"
	shardLeaderRole     coordinator = "leader of a shard"
	everyone            coordinator = "everyone"
)

// killCoordinator kills the processes of a coordinator. They restart after restartAfter.
func (r *repair) killCoordinator(who coordinator) {
	var victims []*testMachine
	switch who {
	case configurationLeader:
		victims = append(victims, r.leader())
	case shardLeaderRole:
		at, _ := r.shardLeader(0)
		victims = append(victims, at)
	default:
		victims = r.sorted()
	}
	for _, m := range victims {
		if m == nil || !m.running {
			continue
		}
		m.kill()
		r.after(restartAfter, m.start)
	}
}

// TestRepair_LeaderLostAtEachStep_Completes runs repairs during which a coordinator is killed, at each of many times, and injects the
// final fault as soon as another loss is allowed.
func TestRepair_LeaderLostAtEachStep_Completes(t *testing.T) {
	number := 0
	for _, what := range []fault{diskLost, machineLost, planned} {
		for _, who := range []coordinator{configurationLeader, shardLeaderRole, everyone} {
			for step := range coordinatorSteps {
				number++
				if !*allPairs && number%(coordinatorStride*pairStride) != 0 {
					continue
				}
				at := time.Duration(step) * coordinatorStep
				t.Run(fmt.Sprintf("%s, %s killed after %v", what, who, at), func(t *testing.T) {
					t.Parallel()
					r := newRepair(t, membership.Store, slowSite)
					allowed := r.inject(what, r.oldest(1)[0])
					r.run(at)
					r.killCoordinator(who)
					r.run(max(allowed, r.now+restartAfter+r.environment.catchUp()) - r.now)
					r.finalFault()
					r.wantRecovered()
				})
			}
		}
	}
}
