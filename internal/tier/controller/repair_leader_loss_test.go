package controller

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/membership"
)

// Steps of a move at which its coordinator is lost.
const (
	coordinatorStep   = 250 * time.Millisecond
	coordinatorSteps  = 20
	restartAfter      = 700 * time.Millisecond // from a kill until the process runs again
	coordinatorStride = 5                      // how many scenarios there are for each that is run, unless all are asked for
)

// coordinator is who leads a move, or a part of it.
type coordinator string

// The coordinators.
const (
	configurationLeader coordinator = "leader of the configuration"
	shardLeaderRole     coordinator = "leader of a shard"
	everyone            coordinator = "everyone"
)

// killCoordinator kills the processes, which start again soon.
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

// TestRepair_LeaderLostAtEachStep_Completes runs repairs of which a coordinator is killed at each step, and a final fault at the first
// moment that the rules allow.
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
					r.wantAll()
				})
			}
		}
	}
}
