package storage

import (
	"encoding/hex"
	"errors"
	"io"
	"io/fs"

	"github.com/gravitational/trace"
)

// IdentityFile is the name of the file that holds the machine's identity.
const IdentityFile = "identity"

const (
	identityTempFile = "identity.new"
	identityBytes    = 16 // before hexadecimal encoding
)

// LoadOrCreateIdentity returns the machine's identity, which is stored on its disk, or creates it from random bytes if there is none.
// It returns once the identity is durable. Created reports that the disk had no identity; the caller must know whether that is
// expected. The error is a CorruptError if the file's content is no identity, or else that of the disk or of random.
func LoadOrCreateIdentity(disk Disk, random io.Reader) (id string, created bool, err error) {
	id, err = loadIdentity(disk)
	if errors.Is(err, fs.ErrNotExist) {
		id, err = createIdentity(disk, random)
		return id, err == nil, trace.Wrap(err)
	}
	return id, false, trace.Wrap(err)
}

// loadIdentity reads the identity. It syncs the directory, because an earlier process may have been killed between renaming the file
// and syncing the directory.
func loadIdentity(disk Disk) (string, error) {
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
		return "", &CorruptError{File: IdentityFile, Reason: "content is not an identity of 32 hexadecimal digits"}
	}
	return string(data), disk.SyncDir()
}

// createIdentity writes a new identity to a temporary file and then renames the file, so that IdentityFile is never incomplete.
func createIdentity(disk Disk, random io.Reader) (string, error) {
	var bytes [identityBytes]byte
	if _, err := io.ReadFull(random, bytes[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(bytes[:])
	if err := writeIdentityTemp(disk, id); err != nil {
		return "", err
	}
	if err := disk.Rename(identityTempFile, IdentityFile); err != nil {
		return "", err
	}
	return id, disk.SyncDir()
}

// writeIdentityTemp writes the temporary file and returns once its content is durable.
func writeIdentityTemp(disk Disk, id string) error {
	file, err := disk.Create(identityTempFile)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write([]byte(id)); err != nil {
		return err
	}
	return file.Sync()
}
