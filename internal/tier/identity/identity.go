// Package identity gives a machine with a disk the identity under which its replicas vote. The identity lies on the disk:
// a disk that comes back empty gets a new one, so that nothing the lost disk promised is taken for known.
package identity

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"

	"mastusher/internal/tier/storage"
)

// BootstrapID returns the identity of a machine at the first start of the whole system. It follows from its address, so that
// the others can name it before they have heard of it.
func BootstrapID(address string) string {
	sum := sha256.Sum256([]byte("first start " + address))
	return hex.EncodeToString(sum[:identityBytes])
}

// identityBytes is the length of an identity before it is written as hexadecimal digits.
const identityBytes = 16

// LoadOrCreate returns the identity on the disk and makes one if there is none: that of BootstrapID at the first start of the whole
// system, else a random one. A damaged disk is emptied and gets a new one, and so does one that was being emptied when its
// process ended.
func LoadOrCreate(disk storage.Disk, address string, firstStart bool) (string, error) {
	if err := finishEmptying(disk); err != nil {
		return "", err
	}
	id, _, err := storage.LoadOrCreateIdentity(disk, source(address, firstStart))
	if err == nil {
		err = check(disk)
	}
	var damage *storage.CorruptError
	if !errors.As(err, &damage) {
		return id, err
	}
	if err := empty(disk); err != nil {
		return "", err
	}
	id, _, err = storage.LoadOrCreateIdentity(disk, rand.Reader)
	return id, err
}

// finishEmptying removes the groups of a disk without an identity.
func finishEmptying(disk storage.Disk) error {
	file, err := disk.Open(storage.IdentityFile)
	if err == nil {
		return file.Close()
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	names, err := storage.ListGroups(disk)
	if err != nil || len(names) == 0 {
		return err
	}
	return empty(disk)
}

func source(address string, firstStart bool) io.Reader {
	if !firstStart {
		return rand.Reader
	}
	first, err := hex.DecodeString(BootstrapID(address))
	if err != nil {
		return rand.Reader
	}
	return bytes.NewReader(first)
}

// check opens and closes each group, to find damage before the identity is told to anyone.
func check(disk storage.Disk) error {
	names, err := storage.ListGroups(disk)
	if err != nil {
		return err
	}
	for _, name := range names {
		opened, _, err := storage.Open(disk, name)
		if err != nil {
			return err
		}
		if err := opened.Close(); err != nil {
			return err
		}
	}
	return nil
}

// empty removes everything. The identity goes first, and for good: whatever else a loss of power in between brings back, no
// groups that have forgotten something are there under the identity that they had.
func empty(disk storage.Disk) error {
	if err := disk.Remove(storage.IdentityFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := disk.SyncDir(); err != nil {
		return err
	}
	names, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := disk.Remove(name); err != nil {
			return err
		}
	}
	return disk.SyncDir()
}
