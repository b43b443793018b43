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
	// Given a member whose log is due for a snapshot while another one of its process takes its own,
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
	// then it goes on with its log,
	if opened.snapshotIndex != 0 {
		t.Errorf("it has compacted up to %d although another member does", opened.snapshotIndex)
	}
	// and compacts when the other one has done so.
	compacting.Unlock()
	if _, err := opened.RunOnce(); err != nil {
		t.Fatal(err)
	}
	if opened.snapshotIndex == 0 {
		t.Error("it hasn't compacted")
	}
	if !compacting.TryLock() {
		t.Error("it keeps others from compacting")
	}
}

// emptyMachine holds nothing.
type emptyMachine struct{}

func (*emptyMachine) Apply(uint64, json.RawMessage) any  { return nil }
func (*emptyMachine) Snapshot() (json.RawMessage, error) { return json.RawMessage(`{}`), nil }
func (*emptyMachine) Restore(_ json.RawMessage) error    { return nil }
