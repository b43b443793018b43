// Package identity gives a machine with a disk the identity under which its replicas vote. The identity lies on the disk: a disk
// that comes back empty or damaged gets a new one, so that no member votes twice in a term after it has forgotten its first vote
// (Raft figure 2: the term and the vote are persistent). It is called once, at the start of a process, before anything
// else uses the disk.
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

// BootstrapID returns the identity of a machine at the first start of the whole system. It follows from the machine's address
// (host:port), so that the others can name it as an initial member before they have heard from it.
func BootstrapID(address string) string {
	sum := sha256.Sum256([]byte("first start " + address))
	return hex.EncodeToString(sum[:identityBytes])
}

// LoadOrCreate returns the identity on the disk, and creates one if there is none: that of BootstrapID where bootstrap says that
// the whole system starts for the first time, otherwise a random one. It opens each group once, and erases a disk on which
// something is damaged, which then gets a random identity; so does a disk whose erasure was interrupted. Errors are the disk's.
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

// finishErasure removes the groups of a disk without an identity: its erasure was interrupted.
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

// idSource returns the bytes that a new identity is made of.
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

// erase removes all files. The identity must go first, and durably: whatever else a loss of power in between brings back, no
// group that has forgotten something is then left under the identity that it had.
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
