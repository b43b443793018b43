package store

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// blockedDisk is a disk that blocks the creation of one group's files until release is closed.
type blockedDisk struct {
	storage.Disk
	group   string
	blocked chan struct{} // signals that a creation blocks
	release chan struct{}
}

// Create implements storage.Disk.
func (d *blockedDisk) Create(name string) (storage.File, error) {
	if strings.Contains(name, d.group) {
		select {
		case d.blocked <- struct{}{}:
		default:
		}
		<-d.release
	}
	return d.Disk.Create(name)
}

func TestOpen_DiskStallsForOneShard_OthersGoOn(t *testing.T) {
	// Given a store whose disk stalls while the second shard opens,
	disk := &blockedDisk{Disk: memorydisk.New(), group: groupName(1), blocked: make(chan struct{}, 1), release: make(chan struct{})}
	s := New(t.Context(), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Now: time.Now, Send: func(string, group.Envelope) {}})
	s.ApplyPlacement(1, selfPlacement(1))
	placed := make(chan struct{})
	go func() {
		defer close(placed)
		s.ApplyPlacement(2, selfPlacement(2))
	}()
	<-disk.blocked
	// when a message for the first shard arrives,
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		s.Deliver(group.Envelope{Group: groupName(0)})
	}()
	// then it is delivered immediately.
	select {
	case <-delivered:
	case <-time.After(waitTimeout):
		t.Error("the message was not delivered while the disk stalled")
	}
	close(disk.release)
	<-placed
}

// TestApplyPlacement_OpenFails_IsRetried makes the disk fail while a placement is applied.
func TestApplyPlacement_OpenFails_IsRetried(t *testing.T) {
	disk := memorydisk.New()
	var retries []func()
	s := New(testContext(t), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(),
		Send: func(string, group.Envelope) {}, RunGroup: func(*group.Group) {}, AfterFunc: func(_ time.Duration, run func()) { retries = append(retries, run) }})
	disk.InjectFaults(func(memorydisk.Operation, string) error { return errors.New("the disk fails") })
	s.ApplyPlacement(4, selfPlacement(1))
	if s.shard(0) != nil || len(retries) != 1 {
		t.Fatalf("shard is open: %v, %d retries; want a closed shard and 1 retry", s.shard(0) != nil, len(retries))
	}

	// When the disk still fails, opening is retried again.
	retries[0]()
	if len(retries) != 2 {
		t.Fatalf("%d retries, want 2", len(retries))
	}

	// When it has recovered, the shard is opened.
	disk.InjectFaults(nil)
	retries[1]()
	if s.shard(0) == nil || len(retries) != 2 {
		t.Errorf("shard is open: %v, %d further retries; want an open shard and none", s.shard(0) != nil, len(retries)-2)
	}
}
