package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mastusher/internal/tier/membership"
)

// repairRuns is the number of random runs of repairs and losses.
var repairRuns = flag.Int("repair-worlds", 6, "number of random runs of repairs and losses")

// maxFaultTime is the maximum duration of a disk fault, of the delay before it, and of the time from a loss until all processes are
// killed.
const maxFaultTime = 3 * time.Second

// TestRandomRepairs_LoseNothing injects random losses, each as soon as it is allowed or shortly after, together with kills of all
// processes at any time and disk faults of machines that are catching up.
func TestRandomRepairs_LoseNothing(t *testing.T) {
	for seed := range uint64(max(1, *repairRuns/pairStride)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sites := []environment{fastSite, slowSite, fastSite, slowSite, fastSite.large(), slowSite.large()}
			run := &randomRepairs{random: rand.New(rand.NewPCG(seed, 11))}
			run.repair = newRepair(t, membership.Store, sites[seed%uint64(len(sites))])
			for range lossesPerRun {
				run.lose()
			}
			run.finalFault()
			run.wantRecovered()
			t.Logf("%d turns and %d orders acknowledged in %v", len(run.load.turns), len(run.load.orders), run.now)
		})
	}
}

// randomRepairs is a run with its random source.
type randomRepairs struct {
	*repair
	random *rand.Rand
}

// lose injects one fault, sometimes with a disk fault or a kill of all processes, and waits until the next loss is allowed.
func (r *randomRepairs) lose() {
	r.role = membership.Store
	if r.random.IntN(3) == 0 {
		r.role = membership.Controller
	}
	what := faults[r.random.IntN(len(faults))]
	if what == decommissioned && !r.mayDecommission() {
		what = diskLost
	}
	victims := r.victims(what)
	allowed := r.now
	for _, m := range victims {
		allowed = max(allowed, r.inject(what, m))
	}
	if what == diskLost && r.random.IntN(2) == 0 {
		allowed = max(allowed, r.failNewDisk(victims[0]))
	}
	if r.random.IntN(3) == 0 {
		allowed = max(allowed, r.killAll())
	}
	r.run(allowed - r.now)
	r.run(time.Duration(r.random.IntN(2)) * time.Duration(r.random.Int64N(int64(time.Second))))
}

// mayDecommission reports whether enough stores would remain without one.
func (r *randomRepairs) mayDecommission() bool {
	stores := 0
	for _, m := range r.sorted() {
		if m.member.Role == membership.Store && !r.removed[m.member.Address] {
			stores++
		}
	}
	return r.role == membership.Store && stores > 2*r.environment.faultTolerance+1
}

// victims returns machines for a fault, no more than may be lost at once: the oldest ones, or random ones.
func (r *randomRepairs) victims(what fault) []*testMachine {
	count := 1
	if what != decommissioned && what != added {
		count += r.random.IntN(r.environment.faultTolerance)
	}
	all := r.oldest(len(r.machines))
	if r.random.IntN(2) == 0 {
		r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	return all[:min(count, len(all))]
}

// failNewDisk has the new disk of a machine that lost its old one fail after the restart. It returns when the machine no longer counts
// as lost.
func (r *randomRepairs) failNewDisk(m *testMachine) time.Duration {
	what := []diskFault{slowDisk, fullDisk, stalledDisk}[r.random.IntN(3)]
	begins := downTime + time.Duration(r.random.Int64N(int64(maxFaultTime)))
	ends := begins + time.Duration(r.random.Int64N(int64(maxFaultTime)))
	r.after(begins, func() { m.injectDiskFault(what) })
	r.after(ends, func() { m.injectDiskFault(healthy) })
	return r.now + ends + r.environment.catchUp()
}

// killAll kills all processes at a random time. They restart with their disks. It returns when the machines no longer count as lost.
func (r *randomRepairs) killAll() time.Duration {
	after := time.Duration(r.random.Int64N(int64(maxFaultTime)))
	r.after(after, func() { r.killCoordinator(everyone) })
	return r.now + after + restartAfter + r.environment.catchUp()
}
