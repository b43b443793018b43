package store

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

// newIdleStore returns a store whose groups do not run and whose messages are dropped.
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
		t.Fatal("the shard on the disk is not open")
	}
	if got := len(running.group.Status().Members); got != len(members) {
		t.Errorf("the shard's group has %d members, want %d", got, len(members))
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
		t.Error("a shard without stored members is open")
	}
}

// TestRecover_ShardOpensAfterPlacement_FollowsIt makes the placement arrive before the store has read its shards.
func TestRecover_ShardOpensAfterPlacement_FollowsIt(t *testing.T) {
	// Given a store with a shard on its disk,
	disk := memorydisk.New()
	before := []view.Replica{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	newIdleStore(disk).ApplyPlacement(1, view.Placement{Shards: []view.ShardPlacement{{Initial: before, Replicas: before}}})
	disk.LosePower(7)

	// when it starts and receives a placement of the shard on other stores before it opens the shard,
	scheduled := 0
	restarted := New(t.Context(), Options{ID: "a", Address: "a:1", Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}, AfterFunc: func(time.Duration, func()) { scheduled++ }})
	after := []view.Replica{{ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}, {ID: "d", Address: "d:1"}}
	restarted.ApplyPlacement(2, view.Placement{Shards: []view.ShardPlacement{{Initial: after, Replicas: after}}})
	if err := restarted.Recover(); err != nil {
		t.Fatal(err)
	}

	// then the replica has the target members, in case it becomes the leader, and a review of surplus replicas is scheduled.
	opened := restarted.shard(0)
	if opened == nil {
		t.Fatal("the shard on the disk is not open")
	}
	if opened.placementIndex != 2 || len(opened.targetMembers) != len(after) {
		t.Errorf("the replica follows placement %d with %d members, want 2 with %d", opened.placementIndex, len(opened.targetMembers), len(after))
	}
	if scheduled != 1 {
		t.Errorf("a review of surplus replicas is scheduled %d times, want once", scheduled)
	}
}

// TestRecover_DiskIsDamaged_ReturnsError damages the files of a shard before recovery.
func TestRecover_DiskIsDamaged_ReturnsError(t *testing.T) {
	for _, test := range []struct {
		name   string
		damage func(t *testing.T, disk *memorydisk.Disk, names []string)
	}{
		{"a log's first frame", func(t *testing.T, disk *memorydisk.Disk, names []string) {
			for _, name := range names {
				if !strings.Contains(name, ".log") {
					continue
				}
				if err := disk.Corrupt(name, 3); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{"the slot", func(t *testing.T, disk *memorydisk.Disk, names []string) {
			for _, name := range names {
				if !strings.Contains(name, ".slot") {
					continue
				}
				if err := disk.Corrupt(name, 3); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{"no log", func(t *testing.T, disk *memorydisk.Disk, names []string) {
			for _, name := range names {
				if strings.Contains(name, ".log") {
					if err := disk.Remove(name); err != nil {
						t.Fatal(err)
					}
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			disk := memorydisk.New()
			members := []view.Replica{{ID: "a", Address: "a:1"}}
			first := newIdleStore(disk)
			first.ApplyPlacement(1, view.Placement{Shards: []view.ShardPlacement{{Initial: members, Replicas: members}}})
			for range 400 {
				if _, err := first.shard(0).group.RunOnce(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Millisecond)
			}
			names, err := disk.List()
			if err != nil {
				t.Fatal(err)
			}
			test.damage(t, disk, names)
			disk.Kill()
			var damage *storage.CorruptError
			if err := newIdleStore(disk).Recover(); !errors.As(err, &damage) {
				t.Errorf("Recover returned %v, want a CorruptError", err)
			}
		})
	}
}
