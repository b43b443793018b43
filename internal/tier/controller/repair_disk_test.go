package controller

import (
	"testing"
	"time"

	"mastusher/internal/tier/membership"
)

// TestRepair_SuccessorWithFailingDisk_CatchesUp injects a disk fault into the successor of a lost machine, at several times of its
// catching up.
func TestRepair_SuccessorWithFailingDisk_CatchesUp(t *testing.T) {
	const faultDuration = 4 * time.Second
	steps := []time.Duration{700 * time.Millisecond, 0, 1400 * time.Millisecond}
	if raceEnabled {
		steps = steps[:1]
	}
	for _, what := range []diskFault{slowDisk, fullDisk, stalledDisk} {
		for _, after := range steps {
			t.Run(string(what)+" after "+after.String(), func(t *testing.T) {
				t.Parallel()
				r := newRepair(t, membership.Store, fastSite)
				m := r.oldest(1)[0]
				r.inject(diskLost, m)
				r.run(downTime + after)
				m.injectDiskFault(what)
				r.run(faultDuration)
				m.injectDiskFault(healthy)
				r.run(r.environment.catchUp())
				if !r.allComplete() {
					t.Error("not all groups are complete when the next loss is allowed")
				}
				r.finalFault()
				r.wantRecovered()
			})
		}
	}
}
