package group_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// rejectingMachine rejects every snapshot, as the state machine of an incompatible build would.
type rejectingMachine struct{ commandList }

var errOtherBuild = errors.New("a snapshot of another build")

// Restore implements group.StateMachine.
func (*rejectingMachine) Restore(json.RawMessage) error { return errOtherBuild }

func TestOpen_SnapshotRejected_IsFatal(t *testing.T) {
	single := newSingle(t, 1, "a", "b", "c")
	single.machine = nil
	_, err := group.Open(group.Options{Name: "g", Disk: single.disk, StateMachine: &rejectingMachine{}, Logger: log.NewNopLogger(),
		Send: func(string, group.Envelope) {}, Replica: replica.Options{ID: "a", Address: "a:1", HeartbeatInterval: heartbeat, ElectionTimeout: election}})
	if !errors.Is(err, group.ErrStateRejected) || !errors.Is(err, errOtherBuild) || !group.IsFatal(err) {
		t.Errorf("error %v, want a fatal ErrStateRejected caused by errOtherBuild", err)
	}
}

func TestRun_SnapshotOfLeaderRejected_Ends(t *testing.T) {
	// Given a running follower whose state machine rejects the snapshot that its leader sends,
	disk := memorydisk.New()
	a, b, c := member("a"), member("b"), member("c")
	opened, err := group.Open(group.Options{Name: "g", Disk: disk, StateMachine: &rejectingMachine{}, Logger: log.NewNopLogger(),
		Send: func(string, group.Envelope) {}, Replica: replica.Options{ID: a.ID, Address: a.Address, HeartbeatInterval: heartbeat, ElectionTimeout: election}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- opened.Run(t.Context()) }()
	// when the snapshot arrives,
	opened.Deliver(replica.Message{Kind: replica.InstallSnapshot, From: b.ID, Address: b.Address, To: a.ID, Term: 2,
		Snapshot: &replica.Snapshot{Index: 9, Term: 2, Members: []replica.Member{a, b, c}, Chunks: 1, State: json.RawMessage(`{}`)}})
	// then Run returns, instead of reopening the member in a loop.
	select {
	case err := <-ended:
		if !errors.Is(err, group.ErrStateRejected) {
			t.Errorf("Run returned %v, want ErrStateRejected", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Run has not returned after 10 s")
	}
}
