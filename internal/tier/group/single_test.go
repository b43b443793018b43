package group_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// singleMember is one member of a group in virtual time. Its messages are recorded, and the test sends it those of other members.
type singleMember struct {
	t       *testing.T
	now     time.Duration
	disk    *memorydisk.Disk
	machine *commandList
	group   *group.Group
	sent    []replica.Message
	changes []replica.Status

	inBackground bool     // whether compactions are written only when the test calls work
	work         []func() // passed to RunBackground
}

// newSingle opens member a of a group with the given member names.
func newSingle(t *testing.T, compactionBytes int64, names ...string) *singleMember {
	t.Helper()
	s := &singleMember{t: t, disk: memorydisk.New(), machine: &commandList{}}
	var members []replica.Member
	for _, name := range names {
		members = append(members, member(name))
	}
	s.open(members, compactionBytes)
	return s
}

func (s *singleMember) open(initial []replica.Member, compactionBytes int64) {
	s.t.Helper()
	own := member("a")
	runBackground := func(work func()) { s.work = append(s.work, work) }
	if !s.inBackground {
		runBackground = nil
	}
	opened, err := group.Open(group.Options{
		Name: "g", Disk: s.disk, StateMachine: s.machine, Logger: log.NewNopLogger(), CompactionBytes: compactionBytes,
		RunBackground:  runBackground,
		Clock:          func() time.Duration { return s.now },
		Send:           func(_ string, envelope group.Envelope) { s.sent = append(s.sent, envelope.Message) },
		OnStatusChange: func(status replica.Status) { s.changes = append(s.changes, status) },
		Replica:        replica.Options{ID: own.ID, Address: own.Address, InitialMembers: initial, HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: 1},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.group = opened
}

// run delivers messages and runs one iteration.
func (s *singleMember) run(messages ...replica.Message) {
	s.t.Helper()
	for _, message := range messages {
		message.To = member("a").ID
		s.group.Deliver(message)
	}
	if _, err := s.group.RunOnce(); err != nil {
		s.t.Fatal(err)
	}
}

// appendEntries returns an AppendEntries message from member b as the leader of the term.
func appendEntries(term, previous, previousTerm, commit uint64, entries ...replica.Entry) replica.Message {
	return replica.Message{Kind: replica.AppendEntries, From: member("b").ID, Address: member("b").Address, Term: term,
		Index: previous, LogTerm: previousTerm, Commit: commit, Entries: entries}
}

// command returns an entry that another member has proposed.
func command(index, term uint64, text string) replica.Entry {
	content, _ := json.Marshal(text)
	data, _ := json.Marshal(map[string]any{"o": "other", "t": index, "c": json.RawMessage(content)})
	return replica.Entry{Index: index, Term: term, Data: data}
}

// recovered returns what the next process would recover from the disk.
func (s *singleMember) recovered() replica.Recovered {
	s.t.Helper()
	opened, recovered, err := storage.Open(s.disk, "g")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		s.t.Fatal(err)
	}
	return recovered
}
