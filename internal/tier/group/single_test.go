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

// singleMember is one member in virtual time whose messages are kept, and to which a test speaks for the others.
type singleMember struct {
	t       *testing.T
	now     time.Duration
	disk    *memorydisk.Disk
	machine *commandList
	group   *group.Group
	sent    []replica.Message
	changes []replica.Status

	inBackground bool     // compactions are written when the test says so
	work         []func() // of compactions, to be called by the test
}

// newSingle opens member a of a group of those names.
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

// run delivers messages and lets the member act on them.
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

// appendEntries is what the leader b sends in its term.
func appendEntries(term, previous, previousTerm, commit uint64, entries ...replica.Entry) replica.Message {
	return replica.Message{Kind: replica.AppendEntries, From: member("b").ID, Address: member("b").Address, Term: term,
		Index: previous, LogTerm: previousTerm, Commit: commit, Entries: entries}
}

// command is an entry as another member has proposed it.
func command(index, term uint64, text string) replica.Entry {
	content, _ := json.Marshal(text)
	data, _ := json.Marshal(map[string]any{"o": "other", "t": index, "c": json.RawMessage(content)})
	return replica.Entry{Index: index, Term: term, Data: data}
}

// recovered is what the next process would find on the disk.
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
