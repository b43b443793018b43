package replica

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// allowance is how many events of each kind an exploration may still use.
type allowance struct {
	campaigns, heartbeats, crashes, proposals, duplicates int
}

// world is one state of three members and the messages between them, during an exploration.
type world struct {
	members   [3]exploredMember
	inflight  []inflightMessage // sorted by key
	left      allowance
	committed []committedEntry
	leaders   map[uint64]string
	violation string
}

// inflightMessage is a message on its way. Key holds all of it that matters.
type inflightMessage struct {
	Message
	key string
}

// committedEntry is an entry that a member has applied; term is the one in which it was first.
type committedEntry struct {
	Entry
	committedIn uint64
}

// exploredMember is one member, with its own clock and disk.
type exploredMember struct {
	replica *Replica
	disk    Recovered
	chunks  [][]byte // of a snapshot that is being received
	clock   time.Duration
	wake    time.Duration
}

var explorationIDs = [3]string{"a", "b", "c"}

func explorationGroup() []Member {
	return []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// newWorld starts three members from their disks.
func newWorld(t *testing.T, disks [3]Recovered, left allowance) *world {
	t.Helper()
	w := &world{left: left, leaders: map[uint64]string{}}
	for i, id := range explorationIDs {
		w.members[i].disk = disks[i]
		w.restart(i, id)
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	return w
}

func (w *world) restart(i int, id string) {
	options := Options{ID: id, InitialMembers: explorationGroup(), HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	m := &w.members[i]
	m.clock, m.wake, m.chunks = 0, 0, nil
	replica, err := New(options, withoutStates(m.disk), 0)
	if err != nil {
		w.violation = err.Error()
		return
	}
	replica.limits.maxMessageBytes = 1
	m.replica = replica
}

// clone copies a world so that either copy can go on.
func (w *world) clone() *world {
	c := *w
	c.inflight = slices.Clone(w.inflight)
	c.committed = slices.Clip(w.committed)
	c.leaders = make(map[uint64]string, len(w.leaders)+1)
	for term, id := range w.leaders {
		c.leaders[term] = id
	}
	for i := range c.members {
		c.members[i].disk.Entries = slices.Clip(c.members[i].disk.Entries)
		c.members[i].replica = cloneReplica(w.members[i].replica)
	}
	return &c
}

func cloneReplica(r *Replica) *Replica {
	c := *r
	c.log.entries = slices.Clip(r.log.entries)
	c.configurations = slices.Clip(r.configurations)
	c.votesGranted = slices.Clone(r.votesGranted)
	c.leadership.pendingProposals = slices.Clip(r.leadership.pendingProposals)
	c.leadership.pendingReads = slices.Clip(r.leadership.pendingReads)
	c.leadership.quorumScratch = nil
	c.leadership.followers = make([]*progress, len(r.leadership.followers))
	for i, p := range r.leadership.followers {
		copied := *p
		copied.inflights = slices.Clone(p.inflights)
		c.leadership.followers[i] = &copied
	}
	return &c
}

// crashPoint is how far a member comes with the Ready of a step.
type crashPoint int

const (
	noCrash         crashPoint = iota
	beforeWrites               // only what may leave early has left
	afterFirstWrite            // and the first write has lasted
	afterWrites                // and all writes have lasted, and nothing else was done
)

// saveUntil applies the writes of a step that precede a crash.
func saveUntil(disk Recovered, ready Ready, crash crashPoint) Recovered {
	writes := countWrites(ready)
	switch crash {
	case beforeWrites:
		writes = 0
	case afterFirstWrite:
		writes = min(1, writes)
	}
	return save(disk, ready, writes)
}

// applyReady carries out the Ready of a step at a member.
func (w *world) applyReady(i int, ready Ready, crash crashPoint) {
	m := &w.members[i]
	w.receiveChunks(i, &ready)
	w.send(ready.MessagesBeforeSync)
	m.disk = saveUntil(m.disk, ready, crash)
	if crash != noCrash {
		w.restart(i, explorationIDs[i])
		return
	}
	w.checkAcknowledgements(i, ready.MessagesAfterSync)
	w.send(ready.MessagesAfterSync)
	w.apply(i, ready.CommittedEntries)
	m.wake = ready.NextWake
	w.checkLeader(i)
}

// receiveChunks keeps the chunks of snapshots that a step has received. One that is installed has to be the complete state.
func (w *world) receiveChunks(i int, ready *Ready) {
	m := &w.members[i]
	chunks, wrong := receiveChunks(m.chunks, ready)
	m.chunks = chunks
	if wrong != "" {
		w.violation = fmt.Sprintf("%s: %s", explorationIDs[i], wrong)
	}
	if installed := ready.Snapshot; installed != nil && string(installed.State) != string(exploredState(installed.Index)) {
		w.violation = fmt.Sprintf("%s installs %q as the state at %d", explorationIDs[i], installed.State, installed.Index)
	}
}

// exploredState is the state that a snapshot up to index stands for.
func exploredState(index uint64) []byte { return fmt.Appendf(nil, "the state at %d", index) }

// checkAcknowledgements demands that a member acknowledges nothing that its disk doesn't hold.
func (w *world) checkAcknowledgements(i int, messages []Message) {
	disk := &w.members[i].disk
	last := uint64(len(disk.Entries))
	if disk.Snapshot != nil {
		last += disk.Snapshot.Index
	}
	for _, message := range messages {
		if message.Kind == AppendEntriesResponse && !message.Reject && message.Index > last {
			w.violation = fmt.Sprintf("%s acknowledges entry %d, and its disk ends at %d", explorationIDs[i], message.Index, last)
		}
	}
}

func (w *world) send(messages []Message) {
	for _, message := range messages {
		if !addChunk(&message, w.members[slices.Index(explorationIDs[:], message.From)].disk) {
			continue
		}
		if message.Kind == AppendEntries {
			if known := w.leaders[message.Term]; known != "" && known != message.From {
				w.violation = fmt.Sprintf("term %d has the leaders %s and %s", message.Term, known, message.From)
			}
			w.leaders[message.Term] = message.From
		}
		w.add(inflightMessage{Message: message, key: string(appendMessage(nil, message))})
	}
}

func (w *world) add(message inflightMessage) {
	at, _ := slices.BinarySearchFunc(w.inflight, message.key, func(m inflightMessage, key string) int {
		return strings.Compare(m.key, key)
	})
	w.inflight = slices.Insert(w.inflight, at, message)
}

func (w *world) apply(i int, entries []Entry) {
	for _, entry := range entries {
		if entry.Index > uint64(len(w.committed)) {
			term := w.members[i].replica.hardState.Term
			w.committed = append(w.committed, committedEntry{Entry: entry, committedIn: term})
			continue
		}
		if known := w.committed[entry.Index-1]; known.Term != entry.Term {
			w.violation = fmt.Sprintf("%s applies %v instead of %v", explorationIDs[i], entry, known)
		}
	}
}

// checkLeader demands that a leader has all that was committed in earlier terms.
func (w *world) checkLeader(i int) {
	r := w.members[i].replica
	if r.role != leader {
		return
	}
	for _, entry := range w.committed {
		isInSnapshot := entry.Index < r.log.offset
		if entry.committedIn < r.hardState.Term && !isInSnapshot && !r.log.matchTerm(entry.Index, entry.Term) {
			w.violation = fmt.Sprintf("%s leads term %d without entry %v", r.options.ID, r.hardState.Term, entry)
		}
	}
}

// successors are all worlds that one event leads to.
func (w *world) successors() []*world {
	var all []*world
	for i := range w.inflight {
		if i > 0 && w.inflight[i-1].key == w.inflight[i].key {
			continue
		}
		all = w.delivered(all, i)
	}
	for i := range w.members {
		all = w.moved(all, i)
	}
	return all
}

// delivered adds the worlds in which a message arrives; one that never arrives is simply left.
func (w *world) delivered(all []*world, at int) []*world {
	message := w.inflight[at]
	to := slices.Index(explorationIDs[:], message.To)
	crashes := []crashPoint{noCrash}
	if w.left.crashes > 0 {
		crashes = []crashPoint{noCrash, beforeWrites, afterFirstWrite, afterWrites}
	}
	for _, crash := range crashes {
		next := w.clone()
		next.inflight = slices.Delete(next.inflight, at, at+1)
		m := &next.members[to]
		ready := m.replica.Step(m.clock, Input{Messages: []Message{message.Message}})
		if crash != noCrash {
			if countWrites(ready) == 0 {
				continue
			}
			next.left.crashes--
		}
		next.applyReady(to, ready, crash)
		all = append(all, next)
	}
	if w.left.duplicates > 0 {
		next := w.clone()
		next.left.duplicates--
		next.add(message)
		all = append(all, next)
	}
	return all
}

// moved adds the worlds in which a member does something of itself.
func (w *world) moved(all []*world, i int) []*world {
	r := w.members[i].replica
	if r.role == leader && w.left.heartbeats > 0 {
		next := w.clone()
		next.left.heartbeats--
		m := &next.members[i]
		m.clock = max(m.clock, m.wake)
		next.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
		all = append(all, next)
	}
	if r.role == leader && w.left.proposals > 0 {
		next := w.clone()
		next.left.proposals--
		m := &next.members[i]
		data := strconv.AppendInt(nil, int64(10*i+w.left.proposals), 10)
		input := Input{Proposals: []Proposal{{Token: uint64(w.left.proposals), Data: data}}}
		next.applyReady(i, m.replica.Step(m.clock, input), noCrash)
		all = append(all, next)
	}
	if r.role != leader && w.left.campaigns > 0 {
		next := w.clone()
		next.left.campaigns--
		next.applyReady(i, next.members[i].campaign(), noCrash)
		all = append(all, next)
	}
	return all
}

// campaign lets a member begin a term at once: PreVotes are a courtesy that safety must not rest on.
func (m *exploredMember) campaign() Ready {
	m.replica.beginStep(m.clock)
	m.replica.campaign(true)
	return m.replica.takeReady()
}
