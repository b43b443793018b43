package fleettest

import (
	"encoding/hex"
	"errors"
	"io"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/storage"
)

const identityBytes = 16

// seededReader returns random bytes of the run's generator.
type seededReader struct{ loop *loop }

// Read implements io.Reader.
func (r seededReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = byte(r.loop.random.Uint32())
	}
	return len(buffer), nil
}

// randomIdentity returns a new random identity.
func randomIdentity(l *loop) string {
	var bytes [identityBytes]byte
	_, _ = seededReader{l}.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// bootstrapReader returns the bytes of the identity that is derived from a machine's address, then EOF.
type bootstrapReader struct{ rest []byte }

// Read implements io.Reader.
func (r *bootstrapReader) Read(buffer []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// machineIdentity returns the identity on a machine's disk, and creates one if there is none. It replaces a damaged disk by an empty one.
func machineIdentity(p *process) (string, error) {
	m := p.machine
	id, err := readOrMakeIdentity(p, m.firstBoot)
	if !errors.Is(err, storage.ErrCorrupt) {
		return id, err
	}
	m.fleet.trace("%s: the disk is damaged: %v", m.name, err)
	m.fleet.report("DISK", "%s: %v", m.name, err)
	m.wipe()
	return readOrMakeIdentity(p, false)
}

// readOrMakeIdentity loads or creates the identity, and opens the log of each group to find damage. At the first boot, a new identity is
// derived from the address.
func readOrMakeIdentity(p *process, first bool) (string, error) {
	m := p.machine
	var random io.Reader = seededReader{m.fleet.loop}
	if first {
		bytes, err := hex.DecodeString(identity.BootstrapID(p.address))
		if err != nil {
			return "", err
		}
		random = &bootstrapReader{bytes}
	}
	id, _, err := storage.LoadOrCreateIdentity(m.disk, random)
	if err != nil {
		return "", err
	}
	groups, err := storage.ListGroups(m.disk)
	if err != nil {
		return "", err
	}
	for _, name := range groups {
		opened, _, err := storage.Open(m.disk, name)
		if err != nil {
			return "", err
		}
		if err := opened.Close(); err != nil {
			return "", err
		}
	}
	return id, nil
}
