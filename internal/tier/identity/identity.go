// Package identity provides the identity under which a machine's replicas vote. It is stored on the machine's disk, and a disk that is
// empty or damaged gets a new one. So no member votes twice in a term after it has lost its first vote (Raft figure 2: term and vote are
// persistent state). LoadOrCreate must be called once, at the start of a process, before anything else uses the disk.
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

// identityBytes is the length of an identity before hexadecimal encoding.
const identityBytes = 16

// BootstrapID returns the identity of a machine at the first start of the whole system. It is derived from the machine's address
// (host:port), so that the other machines know it as an initial member before they have heard from it.
func BootstrapID(address string) string {
	sum := sha256.Sum256([]byte("first start " + address))
	return hex.EncodeToString(sum[:identityBytes])
}

// LoadOrCreate returns the identity on the disk. If there is none, it creates one: the BootstrapID if bootstrap says that the whole system
// starts for the first time, and a random one otherwise. It opens each group once. If anything on the disk is damaged, it erases the
// disk and creates a random identity, and it completes an erasure that was interrupted. Errors are those of the disk.
func LoadOrCreate(disk storage.Disk, address string, bootstrap bool) (string, error) {
	if err := finishErasure(disk); err != nil {
		return "", err
	}
	id, _, err := storage.LoadOrCreateIdentity(disk, idSource(address, bootstrap))
	if err == nil {
		err = checkGroups(disk)
	}
	if !errors.Is(err, storage.ErrCorrupt) {
		return id, err
	}
	if err = erase(disk); err != nil {
		return "", err
	}
	id, _, err = storage.LoadOrCreateIdentity(disk, rand.Reader)
	return id, err
}

// finishErasure removes the groups of a disk without an identity, whose erasure was interrupted.
func finishErasure(disk storage.Disk) error {
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
	return erase(disk)
}

// idSource returns a reader of the bytes for a new identity.
func idSource(address string, bootstrap bool) io.Reader {
	if !bootstrap {
		return rand.Reader
	}
	id, err := hex.DecodeString(BootstrapID(address))
	if err != nil {
		return rand.Reader
	}
	return bytes.NewReader(id)
}

// checkGroups opens and closes each group, so that damage is found before any peer learns the identity.
func checkGroups(disk storage.Disk) error {
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

// erase removes all files. It first removes the identity durably. If power is lost later, files may reappear, but then no group that has
// lost data is left under its old identity.
func erase(disk storage.Disk) error {
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
