package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mastusher/internal/tier/membership"
)

// repairWorlds is how many random runs of repairs and losses are played.
var repairWorlds = flag.Int("repair-worlds", 6, "play so many random runs of repairs and losses")

// maxFaultTime is how long a disk fault lasts at most, and the longest time from a loss until all processes are killed.
const maxFaultTime = 3 * time.Second

// TestRandomRepairs_LoseNothing injects random faults, each at the first moment that the rules allow or a little later, with kills of all
// processes at any moment and faults of the disks of those that catch up.
func TestRandomRepairs_LoseNothing(t *testing.T) {
	for seed := range uint64(max(1, *repairWorlds/pairStride)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sites := []environment{fastSite, slowSite, fastSite, slowSite, fastSite.large(), slowSite.large()}
			run := &randomRepairs{random: rand.New(rand.NewPCG(seed, 11))}
			run.repair = newRepair(t, membership.Store, sites[seed%uint64(len(sites))])
			for range lossesOfARun {
				run.lose()
			}
			run.finalFault()
			run.wantAll()
			t.Logf("%d turns and %d orders acknowledged in %v", len(run.load.turns), len(run.load.orders), run.now)
		})
	}
}

// randomRepairs is a run with its source of chance.
type randomRepairs struct {
	*repair
	random *rand.Rand
}

// lose injects one fault, with what may come beside it, and waits until the next loss is allowed.
func (r *randomRepairs) lose() {
	r.role = membership.Store
	if r.random.IntN(3) == 0 {
		r.role = membership.Controller
	}
	what := faults[r.random.IntN(len(faults))]
	if what == retired && !r.mayRetire() {
		what = diskLost
	}
	victims := r.victims(what)
	allowed := r.now
	for _, m := range victims {
		allowed = max(allowed, r.inject(what, m))
	}
	if what == diskLost && r.random.IntN(2) == 0 {
		allowed = max(allowed, r.spoilDisk(victims[0]))
	}
	if r.random.IntN(3) == 0 {
		allowed = max(allowed, r.killAll())
	}
	r.run(allowed - r.now)
	r.run(time.Duration(r.random.IntN(2)) * time.Duration(r.random.Int64N(int64(time.Second))))
}

// mayRetire tells whether enough stores would remain.
func (r *randomRepairs) mayRetire() bool {
	stores := 0
	for _, m := range r.sorted() {
		if m.member.Role == membership.Store && !r.removed[m.member.Address] {
			stores++
		}
	}
	return r.role == membership.Store && stores > 2*r.environment.faultTolerance+1
}

// victims are as many machines as a fault may hit at once: the oldest ones, or any.
func (r *randomRepairs) victims(what fault) []*testMachine {
	count := 1
	if what != retired && what != added {
		count += r.random.IntN(r.environment.faultTolerance)
	}
	all := r.oldest(len(r.machines))
	if r.random.IntN(2) == 0 {
		r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	return all[:min(count, len(all))]
}

// spoilDisk has the disk of a machine that lost the one before fail once it runs again. Returned is when the machine no
// longer counts as lost.
func (r *randomRepairs) spoilDisk(m *testMachine) time.Duration {
	what := []diskFault{slowDisk, fullDisk, stalledDisk}[r.random.IntN(3)]
	begins := downTime + time.Duration(r.random.Int64N(int64(maxFaultTime)))
	ends := begins + time.Duration(r.random.Int64N(int64(maxFaultTime)))
	r.after(begins, func() { m.injectDiskFault(what) })
	r.after(ends, func() { m.injectDiskFault(healthy) })
	return r.now + ends + r.environment.catchUp()
}

// killAll kills all processes at some moment; they start again soon. Their disks stay.
func (r *randomRepairs) killAll() time.Duration {
	after := time.Duration(r.random.Int64N(int64(maxFaultTime)))
	r.after(after, func() { r.killCoordinator(everyone) })
	return r.now + after + restartAfter + r.environment.catchUp()
}
