package fleettest

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
)

// replicaRunner drives one member of a replica group, in place of a daemon's goroutine, disk and connections.
type replicaRunner struct {
	process   *process
	group     *group.Group
	disk      *timedDisk
	syncing   bool // a sync is in progress, for which the outputs of the last iteration wait
	outputs   []func()
	wakeAt    time.Duration // of the timer that counts; others are stale
	scheduled bool          // an iteration is due now
	iterating bool          // RunOnce or Open is running
}

// replicaOptions describe a replicaRunner.
type replicaOptions struct {
	name    string // of the group
	replica replica.Options
	machine group.StateMachine
	compact int64                       // length of the log at which it is compacted
	changed func(status replica.Status) // may be nil
}

// openReplica recovers a member of a group from the machine's disk.
func openReplica(p *process, options replicaOptions) (*replicaRunner, error) {
	f := p.machine.fleet
	r := &replicaRunner{process: p, disk: &timedDisk{Disk: p.machine.disk, machine: p.machine}}
	options.replica.Seed = f.loop.random.Uint64()
	r.iterating = true
	opened, err := group.Open(group.Options{Name: options.name, Replica: options.replica, Disk: r.disk, StateMachine: options.machine,
		Send: r.send, CompactionBytes: options.compact, Logger: log.NewNopLogger(), Clock: func() time.Duration { return f.loop.Now() },
		OnStatusChange: options.changed})
	r.iterating = false
	if err != nil {
		return nil, err
	}
	if err := r.disk.completeSync(); err != nil {
		return nil, err
	}
	r.group = opened
	return r, nil
}

// send sends a message of the group once the writes that it depends on are on disk.
func (r *replicaRunner) send(address string, envelope group.Envelope) {
	r.output(func() { r.process.machine.fleet.network.sendMessage(r.process, address, envelope) })
}

// output calls run at once, or, if the current iteration has syncs, once these are complete.
func (r *replicaRunner) output(run func()) {
	if r.iterating && r.disk.syncDuration > 0 {
		r.outputs = append(r.outputs, run)
		return
	}
	run()
}

// schedule makes the member's next iteration run now.
func (r *replicaRunner) schedule() {
	if r.scheduled || r.syncing {
		return
	}
	r.scheduled = true
	r.process.after(0, func() {
		r.scheduled = false
		r.iterate()
	})
}

// iterate runs one iteration of the member, with the input so far.
func (r *replicaRunner) iterate() {
	if r.syncing {
		return
	}
	r.disk.syncDuration, r.iterating = 0, true
	next, err := r.group.RunOnce()
	r.iterating = false
	if err != nil {
		r.process.fail(err)
		return
	}
	if r.disk.syncDuration > 0 {
		r.syncing = true
		r.process.after(r.disk.syncDuration, r.finishSync)
	}
	r.setTimer(next)
}

// finishSync completes the sync and runs the outputs that waited for it.
func (r *replicaRunner) finishSync() {
	if m := r.process.machine; m.diskStalled {
		incarnation := r.process.incarnation
		m.onDiskResumed = append(m.onDiskResumed, func() { r.process.execute(incarnation, r.finishSync) })
		return
	}
	if err := r.disk.completeSync(); err != nil {
		r.process.fail(err)
		return
	}
	outputs := r.outputs
	r.syncing, r.outputs = false, nil
	incarnation := r.process.incarnation
	for _, run := range outputs {
		if r.process.incarnation != incarnation {
			return
		}
		run()
	}
	r.schedule()
}

func (r *replicaRunner) setTimer(at time.Duration) {
	r.wakeAt = at
	now := r.process.machine.fleet.loop.Now()
	r.process.after(at-now, func() {
		if r.wakeAt == at && !r.scheduled {
			r.iterate()
		}
	})
}

// deliver passes a message to the group.
func (r *replicaRunner) deliver(message replica.Message) {
	r.group.Deliver(message)
	r.schedule()
}

// setMembers sets the target members of the group.
func (r *replicaRunner) setMembers(members []replica.Member) {
	r.group.SetTargetMembers(members)
	r.schedule()
}

// propose proposes a command to the group. It calls done once, with the result, or with an error at the latest after the timeout.
func (r *replicaRunner) propose(command any, timeout time.Duration, done func(result any, err error)) {
	r.await(timeout, done, func(ended func(any, error)) uint64 { return r.group.ProposeAsync(command, ended) })
}

// read calls view once a majority has confirmed that this member still led the group after the call of read.
func (r *replicaRunner) read(view func(), timeout time.Duration, done func(err error)) {
	r.await(timeout, func(_ any, err error) { done(err) }, func(ended func(any, error)) uint64 { return r.group.ReadAsync(view, ended) })
}

// await starts an operation of the group and calls done once, with its result or, after the timeout, a NotLeaderError.
func (r *replicaRunner) await(timeout time.Duration, done func(any, error), start func(ended func(any, error)) uint64) {
	over := false
	finish := func(result any, err error) {
		if !over {
			over = true
			done(result, err)
		}
	}
	token := start(func(result any, err error) { r.output(func() { finish(result, err) }) })
	r.process.after(timeout, func() {
		if !over {
			r.group.Cancel(token)
			finish(nil, &group.NotLeaderError{Group: r.group.Name(), Leader: r.leaderAddress(), Cause: errTimeout})
		}
	})
	r.schedule()
}

// leaderAddress returns the address of the last known leader; empty: unknown.
func (r *replicaRunner) leaderAddress() string {
	status := r.group.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}
