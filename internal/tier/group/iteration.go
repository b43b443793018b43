package group

import (
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/replica"
)

// process passes the queued input to the replica and processes the resulting Ready in the order that package replica requires. It
// returns the latest time of the next iteration. An error is the disk's, or ErrStateRejected.
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
	g.releaseReceiveSlot(g.replica.IsReceivingSnapshot())
	if err := g.send(ready.MessagesAfterSync); err != nil {
		return 0, err
	}
	g.nextIterationDue.Store(int64(ready.NextWake))
	results := g.apply(ready.CommittedEntries)
	timing.apply = timing.lap()
	g.publish()
	g.completeCalls(ready.Outcomes, results)
	if err := g.compact(); err != nil {
		return 0, err
	}
	timing.compact = timing.lap()
	g.recordStats()
	g.logSlowIteration(&timing, &ready)
	return ready.NextWake, nil
}

// send sends messages, after adding the chunk's data to each InstallSnapshot. It skips chunks of a snapshot that has been
// replaced since. An error is the disk's.
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

// sendOne sends a message to the address in the configuration or, failing that, to the one learned from messages. Without either
// it drops the message.
func (g *Group) sendOne(message replica.Message) {
	address := g.replica.Address(message.To)
	if address == "" {
		address = g.peerAddresses[message.To]
	}
	if address != "" {
		g.options.Send(address, Envelope{Group: g.options.Name, Message: message})
	}
}

// learnAddresses records the senders' addresses: a new member has no configuration yet, and the configuration of a member that
// lags behind lacks members that were added since.
func (g *Group) learnAddresses(messages []replica.Message) {
	for i := range messages {
		if m := &messages[i]; m.To == g.options.Replica.ID && m.Address != "" && g.peerAddresses[m.From] != m.Address {
			g.peerAddresses[m.From] = m.Address
		}
	}
}

// save writes a Ready to disk, restores the state machine from a snapshot that it installs, and updates the copy of the entries
// from which a compaction writes those that remain.
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

// apply applies committed commands to the state machine and returns the results of those proposed by this process, by token.
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

// replay applies a command whose result isn't needed here, since another process proposed it.
func (g *Group) replay(index uint64, command json.RawMessage) {
	if replayer, ok := g.options.StateMachine.(Replayer); ok {
		replayer.Replay(index, command)
		return
	}
	g.stateMachine.Apply(index, command)
}
