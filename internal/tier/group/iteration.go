package group

import (
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// process takes the input in, and carries out the Ready that follows from it in the order that package replica demands.
func (g *Group) process() (time.Duration, error) {
	input := g.takeInput()
	g.learnAddresses(input.Messages)
	g.limitIncomingSnapshots(input.Messages)
	timing := startPhases(g.options.Clock)
	ready := g.replica.Step(timing.began, input)
	if err := g.send(ready.MessagesBeforeSync); err != nil {
		return 0, err
	}
	if err := g.save(&ready); err != nil {
		return 0, err
	}
	timing.save = timing.lap()
	g.releaseSnapshotSlot(g.replica.IsReceivingSnapshot())
	if err := g.send(ready.MessagesAfterSync); err != nil {
		return 0, err
	}
	g.nextRunDue.Store(int64(ready.NextWake))
	results := g.apply(ready.CommittedEntries)
	timing.apply = timing.lap()
	g.publish()
	g.completeCalls(ready.Outcomes, results)
	if err := g.compact(); err != nil {
		return 0, err
	}
	timing.compact = timing.lap()
	g.recordStats()
	g.logSlowRun(&timing, &ready)
	return ready.NextWake, nil
}

// send sends messages, and adds the data of the chunk to those that install a snapshot. Chunks of a snapshot that has been
// replaced meanwhile are left out. An error is one of the disk.
func (g *Group) send(messages []replica.Message) error {
	for _, message := range messages {
		if message.Kind == replica.InstallSnapshot {
			snapshot := *message.Snapshot
			if snapshot.Index != g.snapshotIndex {
				continue
			}
			chunk, err := g.disk.ReadChunk(message.Chunk)
			if err != nil {
				return err
			}
			snapshot.State = chunk
			message.Snapshot = &snapshot
		}
		g.sendOne(message)
	}
	return nil
}

func (g *Group) sendOne(message replica.Message) {
	address := g.replica.Address(message.To)
	if address == "" {
		address = g.peerAddresses[message.To]
	}
	if address != "" {
		g.options.Send(address, Envelope{Group: g.options.Name, Message: message})
	}
}

// learnAddresses notes where messages come from: a new member has no configuration yet, and one that is behind lacks the
// members that were added since.
func (g *Group) learnAddresses(messages []replica.Message) {
	for i := range messages {
		if m := &messages[i]; m.To == g.options.Replica.ID && m.Address != "" && g.peerAddresses[m.From] != m.Address {
			g.peerAddresses[m.From] = m.Address
		}
	}
}

// save puts the records of a Ready on disk, and keeps the copy of the entries from which a compaction writes what remains.
func (g *Group) save(ready *replica.Ready) error {
	if err := g.disk.Save(ready); err != nil {
		return err
	}
	if ready.HardState != nil {
		g.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		g.entries, g.snapshotIndex, g.logBytesAtCompaction = nil, ready.Snapshot.Index, g.disk.LogBytes()
		if err := g.restore(g.disk, true); err != nil {
			return err
		}
	}
	if ready.TruncateFrom > 0 {
		g.entries = entriesBefore(g.entries, ready.TruncateFrom)
	}
	g.entries = append(g.entries, ready.Entries...)
	return nil
}

// apply folds committed commands in and returns the results of those proposed here, by token.
func (g *Group) apply(committed []replica.Entry) map[uint64]any {
	var results map[uint64]any
	for _, entry := range committed {
		if entry.Kind != replica.Command {
			continue
		}
		p, err := parseProposal(entry.Data)
		if err != nil {
			level.Error(g.options.Logger).Log("msg", "unreadable entry skipped", "group", g.options.Name,
				"index", entry.Index, "err", err)
			continue
		}
		if p.Origin != g.origin {
			g.replay(entry.Index, p.Command)
			continue
		}
		result := g.stateMachine.Apply(entry.Index, p.Command)
		if results == nil {
			results = map[uint64]any{}
		}
		results[p.Token] = result
	}
	return results
}

// replay folds in a command whose result nobody here waits for.
func (g *Group) replay(index uint64, command json.RawMessage) {
	if replaying, ok := g.options.StateMachine.(Replayer); ok {
		replaying.Replay(index, command)
		return
	}
	g.stateMachine.Apply(index, command)
}
