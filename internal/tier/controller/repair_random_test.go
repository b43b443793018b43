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

// longestTrouble is how long a disk is in trouble at most, and the longest time from a loss until all processes are killed.
const longestTrouble = 3 * time.Second

// TestRandomRepairs_LoseNothing plays random troubles, each at the first moment that the rules allow or a little later, with kills of all
// processes at any moment and troubles of the disks of those that catch up.
func TestRandomRepairs_LoseNothing(t *testing.T) {
	for seed := range uint64(max(1, *repairWorlds/pairStride)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sites := []surroundings{fastSite, slowSite, fastSite, slowSite, fastSite.large(), slowSite.large()}
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

// lose brings one trouble about, with what may come beside it, and waits until the next loss is allowed.
func (r *randomRepairs) lose() {
	r.role = membership.Store
	if r.random.IntN(3) == 0 {
		r.role = membership.Controller
	}
	what := troubles[r.random.IntN(len(troubles))]
	if what == retired && !r.mayRetire() {
		what = diskLost
	}
	victims := r.victims(what)
	allowed := r.now
	for _, m := range victims {
		allowed = max(allowed, r.strike(what, m))
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
		if m.member.Role == membership.Store && !r.gone[m.member.Address] {
			stores++
		}
	}
	return r.role == membership.Store && stores > 2*r.around.survive+1
}

// victims are as many machines as a trouble may hit at once: the oldest ones, or any.
func (r *randomRepairs) victims(what trouble) []*machineUnderTest {
	count := 1
	if what != retired && what != added {
		count += r.random.IntN(r.around.survive)
	}
	all := r.oldest(len(r.machines))
	if r.random.IntN(2) == 0 {
		r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	return all[:min(count, len(all))]
}

// spoilDisk has the disk of a machine that lost the one before get into trouble once it runs again. Returned is when the machine no
// longer counts as lost.
func (r *randomRepairs) spoilDisk(m *machineUnderTest) time.Duration {
	what := []diskTrouble{slowDisk, fullDisk, stalledDisk}[r.random.IntN(3)]
	begins := downTime + time.Duration(r.random.Int64N(int64(longestTrouble)))
	ends := begins + time.Duration(r.random.Int64N(int64(longestTrouble)))
	r.after(begins, func() { m.trouble(what) })
	r.after(ends, func() { m.trouble(healthy) })
	return r.now + ends + r.around.catchUp()
}

// killAll kills all processes at some moment; they start again soon. Their disks stay.
func (r *randomRepairs) killAll() time.Duration {
	after := time.Duration(r.random.Int64N(int64(longestTrouble)))
	r.after(after, func() { r.killCoordinator(everyone) })
	return r.now + after + restartAfter + r.around.catchUp()
}
