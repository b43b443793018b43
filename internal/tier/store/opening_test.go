package store

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// blockedDisk blocks the creation of one group's files until release is closed.
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
	// Given a store whose disk stands still while the second shard opens,
	disk := &blockedDisk{Disk: memorydisk.New(), group: groupName(1), blocked: make(chan struct{}, 1), release: make(chan struct{})}
	s := New(t.Context(), Options{ID: self.ID, Address: self.Address, Disk: disk, Logger: log.NewNopLogger(), Seed: 1,
		Now: time.Now, Send: func(string, group.Envelope) {}})
	s.ApplyPlacement(1, alone(1))
	placed := make(chan struct{})
	go func() {
		defer close(placed)
		s.ApplyPlacement(2, alone(2))
	}()
	<-disk.blocked
	// when a message for the first one comes,
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		s.Deliver(group.Envelope{Group: groupName(0)})
	}()
	// then it is delivered at once.
	select {
	case <-delivered:
	case <-time.After(waitTimeout):
		t.Error("the message waits for the disk")
	}
	close(disk.release)
	<-placed
}
