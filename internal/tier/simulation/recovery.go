package simulation

import (
	"fmt"
	"slices"
	"time"

	"mastusher/internal/tier/standin"
)

// checkRecovery checks that the tier serves again once the faults are over.
func (d *day) checkRecovery() {
	read, ok := d.first.readBack()
	if !ok {
		d.report("RECOVER", "the configuration is not read back")
		return
	}
	last := d.first.next(read.Number + 1)
	if status := d.first.order(read.Number, last); status != statusOK {
		d.report("RECOVER", "the last order was answered %d", status)
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

// checkProgramsRecover runs programs that must finish, one of them from an earlier turn.
func (d *day) checkProgramsRecover() {
	turns := d.history.completeTurns()
	slices.Reverse(turns)
	froms := []standin.Turn{{}, {}}
	if len(turns) > 0 && time.Since(turns[0].Ended) < retention/2 {
		froms = append(froms, turns[0])
	}
	for _, from := range froms {
		state := standin.Failed
		for attempt := 0; attempt < recoveryAttempts && state != standin.Finished; attempt++ {
			state = d.clients.runProgram(2, 0, from).State
		}
		if state != standin.Finished {
			d.report("RECOVER", "a program from %q ended as %s", from.Attempt, state)
		}
	}
}

// allServe reports whether each proxy serves a route that only the content has.
func (d *day) allServe(newest content) bool {
	for _, m := range d.machinesOf(edgeClass) {
		attempt := fmt.Sprintf("look-%s-%s-%d", m.name, newest.Label, d.now())
		if d.clients.get(m, labelPath(newest)+"x", attempt) != statusOK {
			return false
		}
	}
	return true
}
