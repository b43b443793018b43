package replica

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// eventBudget is how many events of each kind an exploration may still use.
type eventBudget struct {
	campaigns, heartbeats, crashes, proposals, duplicates int
}

// systemState is one state reached by an exploration: three members and the messages in flight between them.
type systemState struct {
	members   [3]exploredMember
	inflight  []inflightMessage // sorted by key
	budget    eventBudget
	committed []committedEntry
	leaders   map[uint64]string
	violation string
}

// inflightMessage is a message in flight. Its key encodes the fields that distinguish messages.
type inflightMessage struct {
	Message
	key string
}

// committedEntry is an entry that some member has applied, with the term of the first member that applied it at that time.
type committedEntry struct {
	Entry
	committedIn uint64
}

// exploredMember is one member, with its own clock and disk.
type exploredMember struct {
	replica *Replica
	disk    Recovered
	chunks  [][]byte // received chunks of an incomplete snapshot
	clock   time.Duration
	wake    time.Duration
}

var explorationIDs = [3]string{"a", "b", "c"}

func explorationGroup() []Member {
	return []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// newSystemState starts three members from their disks.
func newSystemState(t *testing.T, disks [3]Recovered, budget eventBudget) *systemState {
	t.Helper()
	s := &systemState{budget: budget, leaders: map[uint64]string{}}
	for i, id := range explorationIDs {
		s.members[i].disk = disks[i]
		s.restart(i, id)
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	return s
}

func (s *systemState) restart(i int, id string) {
	options := Options{ID: id, InitialMembers: explorationGroup(), HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	m := &s.members[i]
	m.clock, m.wake, m.chunks = 0, 0, nil
	replica, err := New(options, withoutStates(m.disk), 0)
	if err != nil {
		s.violation = err.Error()
		return
	}
	replica.limits.maxMessageBytes = 1
	m.replica = replica
}

// clone copies a state so that both copies can be changed independently.
func (s *systemState) clone() *systemState {
	c := *s
	c.inflight = slices.Clone(s.inflight)
	c.committed = slices.Clip(s.committed)
	c.leaders = make(map[uint64]string, len(s.leaders)+1)
	for term, id := range s.leaders {
		c.leaders[term] = id
	}
	for i := range c.members {
		c.members[i].disk.Entries = slices.Clip(c.members[i].disk.Entries)
		c.members[i].replica = cloneReplica(s.members[i].replica)
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

// crashPoint is how far a member gets with the Ready of a step before it crashes.
type crashPoint int

const (
	noCrash         crashPoint = iota
	beforeWrites               // only MessagesBeforeSync were sent
	afterFirstWrite            // the first write is also on disk
	afterWrites                // all writes are on disk, and nothing else was done
)

// saveUntil applies the writes of a Ready that precede a crash.
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

// applyReady carries out the Ready of a step on a member, up to a crash.
func (s *systemState) applyReady(i int, ready Ready, crash crashPoint) {
	m := &s.members[i]
	s.receiveChunks(i, &ready)
	s.send(ready.MessagesBeforeSync)
	m.disk = saveUntil(m.disk, ready, crash)
	if crash != noCrash {
		s.restart(i, explorationIDs[i])
		return
	}
	s.checkAcknowledgements(i, ready.MessagesAfterSync)
	s.send(ready.MessagesAfterSync)
	s.apply(i, ready.CommittedEntries)
	m.wake = ready.NextWake
	s.checkLeader(i)
}

// receiveChunks keeps the snapshot chunks received in a step, and checks that an installed snapshot has the complete state.
func (s *systemState) receiveChunks(i int, ready *Ready) {
	m := &s.members[i]
	chunks, problem := receiveChunks(m.chunks, ready)
	m.chunks = chunks
	if problem != "" {
		s.violation = fmt.Sprintf("%s: %s", explorationIDs[i], problem)
	}
	if installed := ready.Snapshot; installed != nil && string(installed.State) != string(exploredState(installed.Index)) {
		s.violation = fmt.Sprintf("%s installs %q as the state at entry %d", explorationIDs[i], installed.State, installed.Index)
	}
}

// exploredState returns the state of a snapshot up to index.
func exploredState(index uint64) []byte { return fmt.Appendf(nil, "the state at %d", index) }

// checkAcknowledgements checks that a member acknowledges only entries that are on its disk.
func (s *systemState) checkAcknowledgements(i int, messages []Message) {
	disk := &s.members[i].disk
	last := uint64(len(disk.Entries))
	if disk.Snapshot != nil {
		last += disk.Snapshot.Index
	}
	for _, message := range messages {
		if message.Kind == AppendEntriesResponse && !message.Reject && message.Index > last {
			s.violation = fmt.Sprintf("%s acknowledges entry %d, but its disk ends at %d", explorationIDs[i], message.Index, last)
		}
	}
}

func (s *systemState) send(messages []Message) {
	for _, message := range messages {
		if !addChunk(&message, s.members[slices.Index(explorationIDs[:], message.From)].disk) {
			continue
		}
		if message.Kind == AppendEntries {
			if known := s.leaders[message.Term]; known != "" && known != message.From {
				s.violation = fmt.Sprintf("term %d has two leaders, %s and %s", message.Term, known, message.From)
			}
			s.leaders[message.Term] = message.From
		}
		s.add(inflightMessage{Message: message, key: string(appendMessage(nil, message))})
	}
}

func (s *systemState) add(message inflightMessage) {
	at, _ := slices.BinarySearchFunc(s.inflight, message.key, func(m inflightMessage, key string) int {
		return strings.Compare(m.key, key)
	})
	s.inflight = slices.Insert(s.inflight, at, message)
}

func (s *systemState) apply(i int, entries []Entry) {
	for _, entry := range entries {
		if entry.Index > uint64(len(s.committed)) {
			term := s.members[i].replica.hardState.Term
			s.committed = append(s.committed, committedEntry{Entry: entry, committedIn: term})
			continue
		}
		if known := s.committed[entry.Index-1]; known.Term != entry.Term {
			s.violation = fmt.Sprintf("%s applies %v, but another member has applied %v", explorationIDs[i], entry, known)
		}
	}
}

// checkLeader checks that a leader has all entries that were committed in earlier terms.
func (s *systemState) checkLeader(i int) {
	r := s.members[i].replica
	if r.role != leader {
		return
	}
	for _, entry := range s.committed {
		isInSnapshot := entry.Index < r.log.offset
		if entry.committedIn < r.hardState.Term && !isInSnapshot && !r.log.matchTerm(entry.Index, entry.Term) {
			s.violation = fmt.Sprintf("%s leads term %d without the committed entry %v", r.options.ID, r.hardState.Term, entry)
		}
	}
}

// successors returns all states that one event leads to.
func (s *systemState) successors() []*systemState {
	var all []*systemState
	for i := range s.inflight {
		if i > 0 && s.inflight[i-1].key == s.inflight[i].key {
			continue
		}
		all = s.appendDeliveries(all, i)
	}
	for i := range s.members {
		all = s.appendMemberEvents(all, i)
	}
	return all
}

// appendDeliveries adds the states in which a message is delivered, with and without a crash, or duplicated. A lost message
// needs no event: it just stays in flight.
func (s *systemState) appendDeliveries(all []*systemState, at int) []*systemState {
	message := s.inflight[at]
	to := slices.Index(explorationIDs[:], message.To)
	crashes := []crashPoint{noCrash}
	if s.budget.crashes > 0 {
		crashes = []crashPoint{noCrash, beforeWrites, afterFirstWrite, afterWrites}
	}
	for _, crash := range crashes {
		next := s.clone()
		next.inflight = slices.Delete(next.inflight, at, at+1)
		m := &next.members[to]
		ready := m.replica.Step(m.clock, Input{Messages: []Message{message.Message}})
		if crash != noCrash {
			if countWrites(ready) == 0 {
				continue
			}
			next.budget.crashes--
		}
		next.applyReady(to, ready, crash)
		all = append(all, next)
	}
	if s.budget.duplicates > 0 {
		next := s.clone()
		next.budget.duplicates--
		next.add(message)
		all = append(all, next)
	}
	return all
}

// appendMemberEvents adds the states reached by events at one member other than the receipt of a message: heartbeats,
// proposals and campaigns.
func (s *systemState) appendMemberEvents(all []*systemState, i int) []*systemState {
	r := s.members[i].replica
	if r.role == leader && s.budget.heartbeats > 0 {
		next := s.clone()
		next.budget.heartbeats--
		m := &next.members[i]
		m.clock = max(m.clock, m.wake)
		next.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
		all = append(all, next)
	}
	if r.role == leader && s.budget.proposals > 0 {
		next := s.clone()
		next.budget.proposals--
		m := &next.members[i]
		data := strconv.AppendInt(nil, int64(10*i+s.budget.proposals), 10)
		input := Input{Proposals: []Proposal{{Token: uint64(s.budget.proposals), Data: data}}}
		next.applyReady(i, m.replica.Step(m.clock, input), noCrash)
		all = append(all, next)
	}
	if r.role != leader && s.budget.campaigns > 0 {
		next := s.clone()
		next.budget.campaigns--
		next.applyReady(i, next.members[i].campaign(), noCrash)
		all = append(all, next)
	}
	return all
}

// campaign lets a member begin a term at once, without a PreVote: safety must not depend on PreVotes.
func (m *exploredMember) campaign() Ready {
	m.replica.beginStep(m.clock)
	m.replica.campaign(true)
	return m.replica.takeReady()
}
