package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

// newIdleStore returns a store whose groups don't run and whose messages are dropped.
func newIdleStore(disk storage.Disk) *Store {
	return New(context.Background(), Options{ID: "a", Address: "a:1", Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}})
}

func TestRecover_ShardsOnDisk_OpenBeforePlacement(t *testing.T) {
	disk := memorydisk.New()
	members := []view.Replica{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	elsewhere := []view.Replica{{ID: "d", Address: "d:1"}}
	newIdleStore(disk).ApplyPlacement(1, view.Placement{Shards: []view.ShardPlacement{
		{Initial: members, Replicas: members}, {Initial: elsewhere, Replicas: elsewhere}}})

	disk.LosePower(7)
	restarted := newIdleStore(disk)
	if err := restarted.Recover(); err != nil {
		t.Fatal(err)
	}

	running := restarted.shard(0)
	if running == nil {
		t.Fatal("the shard on its disk isn't open")
	}
	if got := len(running.group.Status().Members); got != len(members) {
		t.Errorf("its group has %d members, want %d", got, len(members))
	}
	if restarted.shard(1) != nil {
		t.Error("a shard that never ran here is open")
	}
}

func TestRecover_ShardWithoutMembers_WaitsForPlacement(t *testing.T) {
	disk := memorydisk.New()
	opened, _, err := storage.Open(disk, groupName(3))
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Save(&replica.Ready{HardState: &replica.HardState{Term: 1}}); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := newIdleStore(disk)
	if err := restarted.Recover(); err != nil {
		t.Fatal(err)
	}
	if restarted.shard(3) != nil {
		t.Error("a shard whose members are not known is open")
	}
}

// TestApplyPlacement_OpenFails_IsRetried makes the disk fail while a placement is applied.
func TestApplyPlacement_OpenFails_IsRetried(t *testing.T) {
	disk := memorydisk.New()
	var retries []func()
	s := New(testContext(t), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(),
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}, AfterFunc: func(_ time.Duration, run func()) { retries = append(retries, run) }})
	disk.InjectFaults(func(memorydisk.Operation, string) error { return errors.New("the disk fails") })
	s.ApplyPlacement(4, alone(1))
	if s.shard(0) != nil || len(retries) != 1 {
		t.Fatalf("opened %v, %d retries", s.shard(0) != nil, len(retries))
	}

	// When the disk still fails, it is retried later.
	retries[0]()
	if len(retries) != 2 {
		t.Fatalf("%d retries, want 2", len(retries))
	}

	// When it has recovered, the shard is opened.
	disk.InjectFaults(nil)
	retries[1]()
	if s.shard(0) == nil || len(retries) != 2 {
		t.Errorf("opened %v, %d retries more", s.shard(0) != nil, len(retries)-2)
	}
}
