package storage

import (
	"encoding/hex"
	"errors"
	"io"
	"io/fs"

	"github.com/gravitational/trace"
)

// The machine's identity lies in a file of its own, IdentityFile.
const (
	IdentityFile      = "identity"
	identityDraftName = "identity.new"
	identityBytes     = 16 // before they are written as hexadecimal digits
)

// LoadOrCreateIdentity returns the identity of a machine, which lies on its disk, and makes it out of random bytes if there is none.
// It returns once the identity lasts. A created identity says that the disk was empty; whether it may have been is known
// to the caller only.
func LoadOrCreateIdentity(disk Disk, random io.Reader) (id string, created bool, err error) {
	id, err = readIdentity(disk)
	if errors.Is(err, fs.ErrNotExist) {
		id, err = createIdentity(disk, random)
		return id, err == nil, trace.Wrap(err)
	}
	return id, false, trace.Wrap(err)
}

// readIdentity reads the identity. Its name may come from a process that was killed before it synced the folder.
func readIdentity(disk Disk) (string, error) {
	file, err := disk.Open(IdentityFile)
	if err != nil {
		return "", err
	}
	defer file.Close()
	data, err := file.ReadAll()
	if err != nil {
		return "", err
	}
	if decoded, err := hex.DecodeString(string(data)); err != nil || len(decoded) != identityBytes {
		return "", &CorruptError{File: IdentityFile, Reason: "it does not hold an identity"}
	}
	return string(data), disk.SyncDir()
}

// createIdentity writes a new identity under another name first, so that its own name never stands for half of it.
func createIdentity(disk Disk, random io.Reader) (string, error) {
	var bytes [identityBytes]byte
	if _, err := io.ReadFull(random, bytes[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(bytes[:])
	if err := writeDraft(disk, id); err != nil {
		return "", err
	}
	if err := disk.Rename(identityDraftName, IdentityFile); err != nil {
		return "", err
	}
	return id, disk.SyncDir()
}

// writeDraft writes the identity under its preliminary name and returns once the content lasts.
func writeDraft(disk Disk, id string) error {
	file, err := disk.Create(identityDraftName)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write([]byte(id)); err != nil {
		return err
	}
	return file.Sync()
}
