package group

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// reopenPause is the time from a failure of the disk until a member begins anew from what the disk holds.
const reopenPause = 300 * time.Millisecond

// handOverPatience is the number of election time-outs for which a member that is to end waits until the group has another
// owner.
const handOverPatience = 2

// Run drives the member until ctx ends, and then until the group has another owner if this member owns it. Where its disk
// fails it begins anew from what the disk holds, as often as needed: the process need not end for that. What can't be
// repaired so is returned: a damaged disk, or a state that can't be read.
func (g *Group) Run(ctx context.Context) error {
	if err := g.drive(ctx, func() bool { return false }); err != nil {
		return err
	}
	if status := g.Status(); g.isStopped() || !status.IsLeader || len(status.Members) < 2 {
		return nil
	}
	g.TransferLeadership()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverPatience*g.options.Replica.ElectionTimeout)
	defer cancel()
	return g.drive(bounded, g.hasOtherOwner)
}

// hasOtherOwner tells whether another member is known to own the group.
func (g *Group) hasOtherOwner() bool {
	status := g.Status()
	return status.Leader != "" && status.Leader != status.ID
}

// drive has the member take its turns until ctx ends or a turn brings about what is waited for.
func (g *Group) drive(ctx context.Context, until func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		case <-timer.C:
		}
		next, err := g.RunOnce()
		if err != nil {
			if err := g.reopen(ctx); err != nil {
				return err
			}
			next = 0
		}
		if until() || g.isStopped() {
			return nil
		}
		timer.Reset(max(0, next-g.options.Clock()))
	}
}

// reopen tries to recover a broken member, with pauses, until it succeeds, ctx ends or the disk turns out to be damaged.
func (g *Group) reopen(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenPause):
		}
		err := g.Reopen()
		if err == nil {
			level.Info(g.options.Logger).Log("msg", "replica begins anew", "group", g.options.Name)
			return nil
		}
		var damage *storage.CorruptError
		if errors.As(err, &damage) {
			return err
		}
		level.Warn(g.options.Logger).Log("msg", "replica cannot begin anew yet", "group", g.options.Name, "err", err)
	}
}

// RunOnce takes in what has come, and does what follows from it in the order that keeps every promise. It returns when it is
// to be called again at the latest. After an error, which is the disk's, the member is broken until Reopen succeeds: it sends
// nothing and knows no owner, and all calls fail. A member that was stopped has nothing to do.
func (g *Group) RunOnce() (time.Duration, error) {
	if g.stop() || g.isStopped() {
		return g.options.Clock() + idle, nil
	}
	if err := g.brokenBy(); err != nil {
		return 0, err
	}
	next, err := g.turn()
	if err != nil {
		g.fail(err)
	}
	return next, err
}

func (g *Group) turn() (time.Duration, error) {
	input := g.takeInput()
	g.hear(input.Messages)
	g.admit(input.Messages)
	spent := beginPhases(g.options.Clock)
	effects := g.member.Step(spent.began, input)
	if err := g.send(effects.MessagesBeforeSync); err != nil {
		return 0, err
	}
	if err := g.save(&effects); err != nil {
		return 0, err
	}
	spent.save = spent.lap()
	g.release(g.member.IsReceivingSnapshot())
	if err := g.send(effects.MessagesAfterSync); err != nil {
		return 0, err
	}
	g.due.Store(int64(effects.NextWake))
	results := g.apply(effects.CommittedEntries)
	spent.apply = spent.lap()
	g.publish()
	g.answer(effects.Outcomes, results)
	if err := g.compact(); err != nil {
		return 0, err
	}
	spent.write = spent.lap()
	g.noteVitals()
	g.logLongTurn(&spent, &effects)
	return effects.NextWake, nil
}

// send sends messages. An error is one of the disk, from which parts of snapshots are read.
func (g *Group) send(messages []replica.Message) error {
	for _, message := range messages {
		if message.Kind == replica.InstallSnapshot {
			snapshot := *message.Snapshot
			if snapshot.Index != g.base {
				continue
			}
			part, err := g.disk.ReadChunk(message.Chunk)
			if err != nil {
				return err
			}
			snapshot.State = part
			message.Snapshot = &snapshot
		}
		g.sendOne(message)
	}
	return nil
}

func (g *Group) sendOne(message replica.Message) {
	address := g.member.Address(message.To)
	if address == "" {
		address = g.heard[message.To]
	}
	if address != "" {
		g.options.Send(address, Envelope{Group: g.options.Name, Message: message})
	}
}

// hear notes where messages come from: a new member has no list of members yet, and one that is behind lacks those that
// were added since.
func (g *Group) hear(messages []replica.Message) {
	for i := range messages {
		if m := &messages[i]; m.To == g.options.Replica.ID && m.Address != "" && g.heard[m.From] != m.Address {
			g.heard[m.From] = m.Address
		}
	}
}

// save puts the step's records on disk and keeps the copy from which a compaction writes what remains.
func (g *Group) save(effects *replica.Ready) error {
	if err := g.disk.Save(effects); err != nil {
		return err
	}
	if effects.HardState != nil {
		g.promise = *effects.HardState
	}
	if effects.Snapshot != nil {
		g.entries, g.base, g.compacted = nil, effects.Snapshot.Index, g.disk.LogBytes()
		if err := g.restore(g.disk, true); err != nil {
			return err
		}
	}
	if effects.TruncateFrom > 0 {
		g.entries = before(g.entries, effects.TruncateFrom)
	}
	g.entries = append(g.entries, effects.Entries...)
	return nil
}

// apply folds committed commands in and returns the results of those proposed here.
func (g *Group) apply(committed []replica.Entry) map[uint64]any {
	var results map[uint64]any
	for _, entry := range committed {
		if entry.Kind != replica.Command {
			continue
		}
		p, err := readProposed(entry.Data)
		if err != nil {
			level.Error(g.options.Logger).Log("msg", "entry cannot be read", "group", g.options.Name, "index", entry.Index, "err", err)
			continue
		}
		if p.Origin != g.origin {
			g.replay(entry.Index, p.Command)
			continue
		}
		result := g.machine.Apply(entry.Index, p.Command)
		if results == nil {
			results = map[uint64]any{}
		}
		results[p.Token] = result
	}
	return results
}

// replay folds a command in whose result nobody here waits for.
func (g *Group) replay(index uint64, command json.RawMessage) {
	if replaying, ok := g.options.StateMachine.(Replayer); ok {
		replaying.Replay(index, command)
		return
	}
	g.machine.Apply(index, command)
}

// publish tells what the member now sees of its group.
func (g *Group) publish() { g.tell(g.member.Status()) }

func (g *Group) tell(status replica.Status) {
	old := g.status.Swap(&status)
	if g.options.OnStatusChange == nil {
		return
	}
	if old == nil || old.Leader != status.Leader || old.Term != status.Term || old.IsLeader != status.IsLeader || !sameMembers(old.Members, status.Members) {
		g.options.OnStatusChange(status)
	}
}

func sameMembers(a, b []replica.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
