package simulation

import (
	"fmt"
	"slices"
	"time"

	"mastusher/internal/tier/standin"
)

// checkRecovery checks that the tier serves again once the faults are over.
func (d *day) checkRecovery() {
	read, ok := d.firstOperator.readBack()
	if !ok {
		d.report("RECOVER", "no read of the configuration succeeded in time")
		return
	}
	last := d.firstOperator.next(read.Number + 1)
	if status := d.firstOperator.order(read.Number, last); status != statusOK {
		d.report("RECOVER", "the last order got status %d, want 200", status)
		return
	}
	if !d.waitUntil(recoveryTimeout, func() bool { return d.allReady(d.clients) && d.allServe(last) }) {
		d.report("RECOVER", "not all proxies serve the newest configuration %v", last)
	}
	d.checkProgramsRecover()
	complete := 0
	if !d.waitUntil(recoveryTimeout, func() bool { complete = d.completeShards(); return complete == d.shards }) {
		d.report("RECOVER", "%d of %d shards have all their replicas", complete, d.shards)
	}
}

// checkProgramsRecover checks that programs finish again, one of them a program that continues an earlier turn.
func (d *day) checkProgramsRecover() {
	turns := d.history.completeTurns()
	slices.Reverse(turns)
	previousTurns := []standin.Turn{{}, {}}
	if len(turns) > 0 && time.Since(turns[0].Ended) < retention/2 {
		previousTurns = append(previousTurns, turns[0])
	}
	for _, previous := range previousTurns {
		state := standin.Failed
		for attempt := 0; attempt < recoveryAttempts && state != standin.Finished; attempt++ {
			state = d.clients.runProgram(2, 0, previous).State
		}
		if state != standin.Finished {
			d.report("RECOVER", "a program that continues turn %q ended as %s, want finished", previous.Attempt, state)
		}
	}
}

// allServe reports whether each proxy serves the route that only this content has.
func (d *day) allServe(newest content) bool {
	for _, m := range d.machinesOf(edgeClass) {
		attempt := fmt.Sprintf("look-%s-%s-%d", m.name, newest.Label, d.now())
		if d.clients.get(m, labelPath(newest)+"x", attempt) != statusOK {
			return false
		}
	}
	return true
}
