package fleettest

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
)

// replicaRunner drives one member of a replica group: what a daemon's goroutine, disk and links do for it.
type replicaRunner struct {
	process *process
	group   *group.Group
	disk    *timedDisk
	busy    bool // its disk is at work: what follows from the last turn has not happened yet
	outputs []func()
	wakeAt  time.Duration // of the timer that counts; others are stale
	waking  bool          // a turn is due at this moment
	turning bool
}

// replicaOptions sets a runner up.
type replicaOptions struct {
	name    string
	replica replica.Options
	machine group.StateMachine
	compact int64
	changed func(status replica.Status) // may be nil
}

// openReplica recovers a member of a group from the machine's disk.
func openReplica(p *process, options replicaOptions) (*replicaRunner, error) {
	f := p.machine.fleet
	r := &replicaRunner{process: p, disk: &timedDisk{Disk: p.machine.disk, machine: p.machine}}
	options.replica.Seed = f.loop.random.Uint64()
	r.turning = true
	opened, err := group.Open(group.Options{Name: options.name, Replica: options.replica, Disk: r.disk, StateMachine: options.machine,
		Send: r.send, CompactionBytes: options.compact, Logger: log.NewNopLogger(), Clock: func() time.Duration { return f.loop.now },
		OnStatusChange: options.changed})
	r.turning = false
	if err != nil {
		return nil, err
	}
	if err := r.disk.settle(); err != nil {
		return nil, err
	}
	r.group = opened
	return r, nil
}

// send hands a message of the group over, once what it depends on is on disk.
func (r *replicaRunner) send(address string, envelope group.Envelope) {
	r.output(func() { r.process.machine.fleet.network.notify(r.process, address, envelope) })
}

// output does something that follows from the turn so far: at once, or when the disk has done its part of it.
func (r *replicaRunner) output(run func()) {
	if r.turning && r.disk.took > 0 {
		r.outputs = append(r.outputs, run)
		return
	}
	run()
}

// wake has the member's next turn happen now.
func (r *replicaRunner) wake() {
	if r.waking || r.busy {
		return
	}
	r.waking = true
	r.process.after(0, func() {
		r.waking = false
		r.turn()
	})
}

// turn lets the member do what is due.
func (r *replicaRunner) turn() {
	if r.busy {
		return
	}
	r.disk.took, r.turning = 0, true
	next, err := r.group.RunOnce()
	r.turning = false
	if err != nil {
		r.process.failed(err)
		return
	}
	if r.disk.took > 0 {
		r.busy = true
		r.process.after(r.disk.took, r.complete)
	}
	r.setTimer(next)
}

// complete does what waited for the disk.
func (r *replicaRunner) complete() {
	if m := r.process.machine; m.diskSilent {
		life := r.process.life
		m.diskWaiting = append(m.diskWaiting, func() { r.process.enter(life, r.complete) })
		return
	}
	if err := r.disk.settle(); err != nil {
		r.process.failed(err)
		return
	}
	outputs := r.outputs
	r.busy, r.outputs = false, nil
	life := r.process.life
	for _, run := range outputs {
		if r.process.life != life {
			return
		}
		run()
	}
	r.wake()
}

func (r *replicaRunner) setTimer(at time.Duration) {
	r.wakeAt = at
	now := r.process.machine.fleet.loop.now
	r.process.after(at-now, func() {
		if r.wakeAt == at && !r.waking {
			r.turn()
		}
	})
}

// deliver hands a message in.
func (r *replicaRunner) deliver(message replica.Message) {
	r.group.Deliver(message)
	r.wake()
}

// change tells which members the group is to have.
func (r *replicaRunner) change(members []replica.Member) {
	r.group.SetTargetMembers(members)
	r.wake()
}

// propose has a command agreed on within a time. The callback is told once.
func (r *replicaRunner) propose(command any, timeout time.Duration, done func(result any, err error)) {
	r.wait(timeout, done, func(ended func(any, error)) uint64 { return r.group.ProposeAsync(command, ended) })
}

// read runs view once it is certain that this member owned the group after the call.
func (r *replicaRunner) read(view func(), timeout time.Duration, done func(err error)) {
	r.wait(timeout, func(_ any, err error) { done(err) }, func(ended func(any, error)) uint64 { return r.group.ReadAsync(view, ended) })
}

func (r *replicaRunner) wait(timeout time.Duration, done func(any, error), start func(ended func(any, error)) uint64) {
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
			finish(nil, &group.NotLeaderError{Group: r.group.Name(), Leader: r.ownerAddress(), Cause: errTimeout})
		}
	})
	r.wake()
}

// ownerAddress is where the owner was last known to be.
func (r *replicaRunner) ownerAddress() string {
	status := r.group.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}
