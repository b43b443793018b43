package group

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

func TestCompact_TwoMembers_TakeTurns(t *testing.T) {
	// Given a member whose compaction is due while another member holds the shared lock,
	var compacting sync.Mutex
	disk := memorydisk.New()
	own := replica.Member{ID: "a", Address: "a:1"}
	now := time.Duration(0)
	opened, err := Open(Options{Name: "g", Disk: disk, StateMachine: &emptyMachine{}, Logger: log.NewNopLogger(), CompactionBytes: 1,
		CompactionLock: &compacting, Clock: func() time.Duration { return now }, Send: func(string, Envelope) {},
		Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{own}, HeartbeatInterval: time.Second, ElectionTimeout: 5 * time.Second, Seed: 1}})
	if err != nil {
		t.Fatal(err)
	}
	compacting.Lock()
	opened.ProposeAsync("command", func(any, error) {})
	for range 8 {
		now += time.Second
		if _, err := opened.RunOnce(); err != nil {
			t.Fatal(err)
		}
	}
	// then the member keeps its log,
	if opened.snapshotIndex != 0 {
		t.Errorf("the member has compacted up to entry %d while another one held the lock", opened.snapshotIndex)
	}
	// and compacts once the lock is released.
	compacting.Unlock()
	if _, err := opened.RunOnce(); err != nil {
		t.Fatal(err)
	}
	if opened.snapshotIndex == 0 {
		t.Error("the member hasn't compacted after the lock was released")
	}
	if !compacting.TryLock() {
		t.Error("the member still holds the lock after its compaction")
	}
}

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (*emptyMachine) Apply(uint64, json.RawMessage) any  { return nil }
func (*emptyMachine) Snapshot() (json.RawMessage, error) { return json.RawMessage(`{}`), nil }
func (*emptyMachine) Restore(_ json.RawMessage) error    { return nil }
