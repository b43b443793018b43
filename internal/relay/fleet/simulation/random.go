package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/policy"
)

// Result is the outcome of a random world.
type Result struct {
	Seed    uint64
	Breach  *checker.BreachError
	Stuck   string // what did not happen after all faults ended; "": nothing
	History []checker.Entry
	Faults  map[string]int // by kind, injected while a change was in progress
	Changes int            // number of proposed changes
	InForce int            // number of changes that took effect
}

// Bad reports whether there was a breach or the fleet was stuck.
func (r *Result) Bad() bool { return r.Breach != nil || r.Stuck != "" }

// String returns the seed and the outcome.
func (r *Result) String() string {
	switch {
	case r.Breach != nil:
		return fmt.Sprintf("seed %d: %v", r.Seed, r.Breach)
	case r.Stuck != "":
		return fmt.Sprintf("seed %d: %s", r.Seed, r.Stuck)
	}
	return fmt.Sprintf("seed %d: no breach, %d of %d changes in force", r.Seed, r.InForce, r.Changes)
}

// proposal records a change that the run has proposed to the fleet.
type proposal struct {
	ticket uint64
	base   uint64 // version that it replaces
	at     time.Duration
}

// randomRun is a running world that is drawn from a seed. The order of random draws and of calls of the world must not change, since
// otherwise seeds that found faults would give other worlds.
type randomRun struct {
	*World
	rng       *rand.Rand
	proposals []proposal
	restores  map[*Relay]func() // functions that restore an older disk
	diskLost  bool              // a voter has lost saved state
}

// Random runs a world that is drawn from a seed, with changes and with faults mostly around their phases. Then it ends all faults, and
// checks whether a change takes effect and whether the history has a breach.
func Random(seed uint64) *Result {
	rng := rand.New(rand.NewPCG(seed, 2))
	run := &randomRun{World: New(randomOptions(seed, rng)), rng: rng, restores: map[*Relay]func(){}}
	res := &Result{Seed: seed, Faults: run.Faults}
	run.Run(3 * time.Second)
	for round := range 3 + rng.IntN(4) {
		run.proposeChanges(round)
		for range rng.IntN(5) {
			run.injectFault()
		}
		run.Run(time.Duration(rng.Int64N(int64(2 * run.Lease))))
		run.restartRelays()
	}
	run.recoverAll()
	res.Stuck = run.awaitChange()
	run.finish(res)
	return res
}

// randomOptions draws a world's numbers of relays and voters, its delays and losses, and whether a relay rejects documents.
func randomOptions(seed uint64, rng *rand.Rand) Options {
	o := Options{Relays: 3 + rng.IntN(7), Seed: seed, Lease: 2 * time.Second, MaxClockDrift: 0.05, Delay: time.Duration(200+rng.IntN(3000)) * time.Microsecond,
		ActInterval: 7 * time.Millisecond}
	if o.Voters = 3; o.Relays >= 5 && rng.IntN(2) == 0 {
		o.Voters = 5
	}
	if rng.IntN(2) == 0 {
		o.Loss, o.Duplication = rng.Float64()*0.35, rng.Float64()*0.1
	}
	if rng.IntN(3) == 0 { // a relay that after a restart can't apply a document that it accepted before
		failing := fmt.Sprintf("r%d", rng.IntN(o.Relays))
		o.CanApply = func(relay string, incarnation int, doc []byte) error {
			if relay == failing && incarnation%2 == 0 && policy.Digest(doc)%3 == 0 {
				return errors.New("this incarnation can't apply the document")
			}
			return nil
		}
	}
	if seed%4 == 0 {
		o.ClockOffset = 3 * time.Hour
	}
	return o
}

func (run *randomRun) drawRelay() *Relay { return run.Relays[run.rng.IntN(len(run.Relays))] }

// version is the newest version that any relay knows.
func (run *randomRun) version() uint64 {
	v := uint64(0)
	for _, r := range run.Relays {
		if r.Node != nil {
			v = max(v, r.Node.Status().State.Version)
		}
	}
	return v
}

// propose proposes a change at a relay and records the proposal for the check of the history.
func (run *randomRun) propose(r *Relay, base uint64, doc string) proposal {
	p := proposal{base: base, at: run.Now()}
	p.ticket = run.Propose(r, base, doc)
	run.proposals = append(run.proposals, p)
	return p
}

// proposeChanges proposes a change, sometimes two at once. Sometimes it also copies a relay's disk for a later restore.
func (run *randomRun) proposeChanges(iteration int) {
	base := run.version()
	run.propose(run.drawRelay(), base, fmt.Sprintf(`{"format":1,"partners":{"%d":{"shut":true}}}`, iteration))
	if run.rng.IntN(4) == 0 { // a concurrent change at another relay
		run.propose(run.drawRelay(), base, `{"format":1,"stamp":true}`)
	}
	if run.rng.IntN(3) == 0 {
		r := run.drawRelay()
		run.restores[r] = run.CopyDisk(r)
	}
}

// injectFault waits a short time and injects a fault, half of the time at the leader.
func (run *randomRun) injectFault() {
	// Most faults follow within milliseconds, some within a lease.
	span := int64(30 * time.Millisecond)
	if run.rng.IntN(3) == 0 {
		span = int64(run.Lease)
	}
	run.Run(time.Duration(run.rng.Int64N(span)))
	x := run.drawRelay()
	if run.rng.IntN(2) == 0 { // the leader, if there is one
		for _, r := range run.Relays {
			if r.Node != nil && r.Node.Status().Voter == "leads" {
				x = r
			}
		}
	}
	switch run.rng.IntN(9) {
	case 0, 1:
		run.CrashAfterActions(x, run.rng.IntN(12))
	case 2:
		run.Crash(x)
	case 3, 4:
		run.Stop(x, time.Duration(run.rng.Int64N(int64(3*run.Lease))))
	case 5:
		run.isolateDrawn(x)
	case 6:
		run.splitInHalves()
	case 7:
		run.Heal()
	case 8:
		run.SetPartition(x, run.drawRelay(), true)
	}
}

// isolateDrawn partitions a relay from each of the others, in a random direction or both.
func (run *randomRun) isolateDrawn(x *Relay) {
	for _, y := range run.Relays {
		if y == x {
			continue
		}
		direction := run.rng.IntN(3)
		if direction != 0 {
			run.SetPartition(x, y, true)
		}
		if direction != 1 {
			run.SetPartition(y, x, true)
		}
	}
}

// splitInHalves partitions the first half of the relays from the others.
func (run *randomRun) splitInHalves() {
	half := len(run.Relays) / 2
	for i := range run.Relays {
		for j := range run.Relays {
			if (i < half) != (j < half) {
				run.SetPartition(run.Relays[i], run.Relays[j], true)
			}
		}
	}
}

// restartRelays restarts some of the crashed relays. At most one of them loses saved state, since more could be the loss of a majority.
func (run *randomRun) restartRelays() {
	for _, r := range run.Relays {
		if r.Node != nil || run.rng.IntN(3) == 0 {
			continue
		}
		if !run.diskLost && run.rng.IntN(3) == 0 && run.formed() {
			run.diskLost = true
			if restore := run.restores[r]; restore != nil && run.runningVoters() == run.Voters-1 {
				// An older disk is detected if the other voters answer queries: see docs/design/fleet-policy.md.
				run.Heal()
				restore()
				run.Start(r)
				run.Run(200 * time.Millisecond)
				continue
			}
			run.WipeDisk(r)
		}
		run.Start(r)
	}
}

// recoverAll ends all faults and starts all relays.
func (run *randomRun) recoverAll() {
	run.Heal()
	run.Loss, run.Duplication = 0, 0
	run.CanApply = nil
	for _, r := range run.Relays {
		if r.actionsUntilCrash = -1; r.Node == nil {
			run.Start(r)
		}
	}
	run.Run(run.Lease)
}

// awaitChange proposes changes until one takes effect everywhere. If none does, it returns the status of all relays.
func (run *randomRun) awaitChange() string {
	last := proposal{at: run.Now() - run.Lease}
	ok := run.Await(60*run.Lease, func() bool {
		if last.ticket == 0 && run.Now()-last.at > 200*time.Millisecond || run.Now()-last.at > 10*run.Lease {
			last = run.propose(run.Relays[0], run.version(), `{"format":1}`)
		}
		p, done := run.Outcome(last.ticket)
		if done && p.DropReason != "" { // another was still in progress
			last.ticket = 0
		}
		return done && p.DropReason == "" && run.AllActOn(p.Version)
	})
	if ok {
		return ""
	}
	stuck := "no change takes effect after all faults ended"
	for _, r := range run.Relays {
		st := r.Node.Status()
		stuck += fmt.Sprintf("\n%s acts %v (%s), %s, leader %q, epoch %d, index %d, version %d, change %+v, progress %+v", r.Name, st.MayAct, st.WhyNot,
			st.Voter, st.Leader, st.State.Epoch, st.State.Index, st.State.Version, st.State.Change, st.Progress)
	}
	return stuck
}

// finish records the outcomes of the proposals and checks the history.
func (run *randomRun) finish(res *Result) {
	for _, p := range run.proposals {
		e := checker.Entry{At: p.at, Until: run.Now(), Kind: checker.Proposed, Base: p.base}
		if end, done := run.Outcome(p.ticket); done && end.DropReason == "" {
			e.Version = end.Version
			res.InForce++
		}
		run.History = append(run.History, e)
	}
	res.Changes, res.History = len(run.proposals), run.History
	res.Breach = checker.Check(run.History, checker.Options{})
}

// runningVoters counts the voters that run and are not paused.
func (w *World) runningVoters() (n int) {
	for _, r := range w.Relays[:w.Voters] {
		if r.Node != nil && !r.Stopped {
			n++
		}
	}
	return n
}

// formed reports whether a relay knows all voters. Before that, the loss of one relay may be the loss of a majority.
func (w *World) formed() bool {
	for _, r := range w.Relays {
		if r.Node != nil && r.Node.Voters() == w.Voters {
			return true
		}
	}
	return false
}
