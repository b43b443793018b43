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

// newQuietStore returns a store whose groups are driven by nobody and whose messages go nowhere.
func newQuietStore(disk storage.Disk) *Store {
	return New(context.Background(), Options{ID: "a", Address: "a:1", Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}})
}

func TestShardsOnDiskOpenBeforeThePlacementIsKnown(t *testing.T) {
	disk := memorydisk.New()
	members := []view.Replica{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	elsewhere := []view.Replica{{ID: "d", Address: "d:1"}}
	newQuietStore(disk).ApplyPlacement(1, view.Placement{Shards: []view.ShardPlacement{
		{Initial: members, Replicas: members}, {Initial: elsewhere, Replicas: elsewhere}}})

	disk.LosePower(7)
	restarted := newQuietStore(disk)
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
		t.Error("a shard that it never held is open")
	}
}

func TestAShardWithoutKnownMembersWaitsForThePlacement(t *testing.T) {
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
	restarted := newQuietStore(disk)
	if err := restarted.Recover(); err != nil {
		t.Fatal(err)
	}
	if restarted.shard(3) != nil {
		t.Error("a shard whose members are not known is open")
	}
}

// TestAShardThatCannotBeOpenedIsTriedAgain has the disk fail while a placement comes.
func TestAShardThatCannotBeOpenedIsTriedAgain(t *testing.T) {
	disk := memorydisk.New()
	var later []func()
	s := New(testContext(t), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(),
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}, AfterFunc: func(_ time.Duration, run func()) { later = append(later, run) }})
	disk.InjectFaults(func(memorydisk.Operation, string) error { return errors.New("the disk fails") })
	s.ApplyPlacement(4, alone(1))
	if s.shard(0) != nil || len(later) != 1 {
		t.Fatalf("opened %v, to be tried again %d times", s.shard(0) != nil, len(later))
	}

	// When the disk still fails, it is tried again later.
	later[0]()
	if len(later) != 2 {
		t.Fatalf("tried again %d times, want 2", len(later))
	}

	// When it is well again, the shard is opened.
	disk.InjectFaults(nil)
	later[1]()
	if s.shard(0) == nil || len(later) != 2 {
		t.Errorf("opened %v, to be tried again %d times more", s.shard(0) != nil, len(later)-2)
	}
}
