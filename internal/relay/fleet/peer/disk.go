package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/consensus"
)

const (
	identityFile      = "fleet.id"
	logFile           = "fleet.log"
	recordHeaderBytes = 8       // length, checksum
	maxRecordBytes    = 1 << 20 // a larger length means damage
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is the content of the identity file.
type identity struct {
	Fleet      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"3,keyasint"` // number of starts of this relay
}

// logRecord is a record of the log. It has the id of the member that owns the log, so that both are replaced in one step: a member that
// lost only its log could vote twice in a term.
type logRecord struct {
	Member uint64           `cbor:"1,keyasint,omitempty"` // 0: unchanged
	Image  *consensus.Image `cbor:"2,keyasint"`
}

// disk is the folder with a relay's identity and consensus log. Every write is synced before it returns. It is used by the goroutine of
// Fleet.run only.
type disk struct {
	dir    string
	id     identity
	member uint64   // this relay's id in the voter group; never reused for another log
	file   *os.File // the log, open for appending
	size   int64    // size of the complete records in the log, in bytes
}

// errDamaged is returned for a log with damage that a crash can't cause.
var errDamaged = errors.New("the consensus log is damaged")

// openDisk reads the folder and increments the generation. If the identity or the log is damaged, damage is the reason, image is empty, and
// the relay becomes a new member with a random id from draw. err is set if the folder can't be read or written.
func openDisk(dir, fleet string, draw func() uint64) (d *disk, image *consensus.Image, damage error, err error) {
	d = &disk{dir: dir}
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	b, err := os.ReadFile(filepath.Join(dir, identityFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	complete, bad := splitRecords(b)
	switch {
	case len(b) == 0:
		image = &consensus.Image{}
	case len(complete) != 1 || bad != nil || cbor.Unmarshal(complete[0], &d.id) != nil || d.id.Fleet != fleet:
		damage = fmt.Errorf("%s is damaged, or belongs to another fleet", identityFile)
		d.id = identity{}
	default:
		image, damage = d.read()
	}
	d.id.Fleet = fleet
	d.id.Generation++
	if err = d.saveIdentity(); err != nil {
		return nil, nil, nil, err
	}
	if image == nil || d.member == 0 {
		image, d.member = &consensus.Image{}, draw()|1
		return d, image, damage, d.rewrite(emptyImage())
	}
	if d.file, err = os.OpenFile(filepath.Join(dir, logFile), os.O_WRONLY|os.O_APPEND, 0o600); err == nil {
		err = d.file.Truncate(d.size) // an incomplete last record never took effect
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	return d, image, damage, nil
}

// read merges the log's records into one image. It returns errDamaged for a log that is missing or damaged.
func (d *disk) read() (*consensus.Image, error) {
	b, err := os.ReadFile(filepath.Join(d.dir, logFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, errDamaged // there is an identity, so the log was lost
	}
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	complete, bad := splitRecords(b)
	if bad != nil {
		return nil, bad
	}
	image := &consensus.Image{}
	for _, encoded := range complete {
		decoded := logRecord{Image: &consensus.Image{}}
		if err := cbor.Unmarshal(encoded, &decoded); err != nil || decoded.Image == nil {
			return nil, errDamaged
		}
		if decoded.Member != 0 {
			d.member = decoded.Member
		}
		image = merge(image, decoded.Image)
		d.size += recordHeaderBytes + int64(len(encoded))
	}
	return image, nil
}

// merge returns the image of a log after the record next.
func merge(image, next *consensus.Image) *consensus.Image {
	if next.Complete {
		image = &consensus.Image{}
	}
	if len(next.HardState) > 0 {
		image.HardState = next.HardState
	}
	if len(next.Snapshot) > 0 {
		image.Snapshot = next.Snapshot
	}
	if next.Remembered != nil {
		image.Remembered = next.Remembered
	}
	image.Entries = append(image.Entries, next.Entries...)
	return image
}

// emptyImage returns the image that replaces a log by an empty one.
func emptyImage() *consensus.Image { return &consensus.Image{Complete: true} }

// splitRecords splits a file into its records, which share b's memory. It drops a last record that is incomplete or has a wrong checksum,
// as a crash may leave it. A wrong checksum before that is errDamaged.
func splitRecords(b []byte) (complete [][]byte, err error) {
	for len(b) >= recordHeaderBytes {
		n := int(binary.LittleEndian.Uint32(b))
		if n == 0 || n > maxRecordBytes {
			if len(complete) == 0 || n > maxRecordBytes {
				return complete, errDamaged
			}
			return complete, nil // zeros, which a file system may leave at the end after a crash
		}
		if len(b)-recordHeaderBytes < n {
			return complete, nil
		}
		r := b[recordHeaderBytes : recordHeaderBytes+n]
		if crc32.Checksum(r, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
			if len(b)-recordHeaderBytes > n {
				return complete, errDamaged
			}
			return complete, nil
		}
		complete, b = append(complete, r), b[recordHeaderBytes+n:]
	}
	return complete, nil
}

// encodeRecord encodes a value as a record.
func encodeRecord(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli)), body...), nil
}

// save appends an image to the log, or replaces the log by a complete image, and syncs it. A member other than 0 becomes the owner of the
// log.
func (d *disk) save(image *consensus.Image, member uint64) error {
	if member != 0 {
		d.member = member
	}
	if image.Complete {
		return d.rewrite(image)
	}
	b, err := encodeRecord(&logRecord{Image: image})
	if err != nil {
		return err
	}
	err = simulatedDiskError()
	if err == nil {
		var n int
		n, err = d.file.Write(b)
		d.size += int64(n)
	}
	if err == nil {
		err = d.file.Sync()
		time.Sleep(extraSyncDelay)
	}
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// rewrite atomically replaces the log by an image.
func (d *disk) rewrite(image *consensus.Image) error {
	b, err := encodeRecord(&logRecord{d.member, image})
	if err != nil {
		return err
	}
	if err = d.replace(logFile, b); err != nil {
		return err
	}
	if d.file != nil {
		_ = d.file.Close()
	}
	if d.file, err = os.OpenFile(filepath.Join(d.dir, logFile), os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	d.size = int64(len(b))
	return nil
}

// saveIdentity atomically replaces the identity file.
func (d *disk) saveIdentity() error {
	b, err := encodeRecord(&d.id)
	if err != nil {
		return err
	}
	return d.replace(identityFile, b)
}

// replace atomically replaces a file in the folder: after a crash the file has either the old or the new content.
func (d *disk) replace(name string, b []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+".next", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if err = simulatedDiskError(); err == nil {
		_, err = f.Write(b)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(path+".next", path)
	}
	if err == nil {
		err = syncDir(d.dir)
	}
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// syncDir syncs a folder, so that renames in it survive a crash.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
