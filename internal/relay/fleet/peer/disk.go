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
	identityName   = "fleet.id"
	logName        = "fleet.log"
	recordHead     = 8       // bytes: length, checksum
	maxRecordBytes = 1 << 20 // bytes; a larger length is damage
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is who this relay is to its fleet.
type identity struct {
	Fleet      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"3,keyasint"` // how often it has been started
}

// logRecord is a record of the log. It names the member whose log it is, so that both change in one step: a member that had only lost its
// log would vote again in a term in which it has voted.
type logRecord struct {
	Member uint64           `cbor:"1,keyasint,omitempty"` // 0: as before
	Image  *consensus.Image `cbor:"2,keyasint"`
}

// disk is the folder of a relay's member of the fleet. Every write is synced before anything that depends on it leaves. It belongs to the
// Fleet's goroutine.
type disk struct {
	dir    string
	id     identity
	member uint64   // this relay's id among the voters; never given to another log
	file   *os.File // the log, open for appending
	size   int64    // bytes of the log's complete records
}

// errDamaged is a log with damage that no crash leaves behind.
var errDamaged = errors.New("the log of the fleet's agreement is damaged")

// openDisk reads the folder and increments the generation. Where the log can't be trusted damage says why, the image is empty and the member a
// new one, drawn by draw. It fails where the folder can't be read or written.
func openDisk(dir, fleet string, draw func() uint64) (d *disk, image *consensus.Image, damage error, err error) {
	d = &disk{dir: dir}
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	b, err := os.ReadFile(filepath.Join(dir, identityName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	complete, bad := records(b)
	switch {
	case len(b) == 0:
		image = &consensus.Image{}
	case len(complete) != 1 || bad != nil || cbor.Unmarshal(complete[0], &d.id) != nil || d.id.Fleet != fleet:
		damage = fmt.Errorf("%s can't be read, or is of another fleet", identityName)
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
	if d.file, err = os.OpenFile(filepath.Join(dir, logName), os.O_WRONLY|os.O_APPEND, 0o600); err == nil {
		err = d.file.Truncate(d.size) // a torn tail was never acted on
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	return d, image, damage, nil
}

// read merges the log's records into one image. It returns errDamaged for a log that is missing or damaged.
func (d *disk) read() (*consensus.Image, error) {
	b, err := os.ReadFile(filepath.Join(d.dir, logName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, errDamaged // an identity whose log is gone
	}
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	complete, bad := records(b)
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
		d.size += recordHead + int64(len(encoded))
	}
	return image, nil
}

// merge returns the image of a log after one more record.
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

// emptyImage is the image that replaces a log by an empty one.
func emptyImage() *consensus.Image { return &consensus.Image{Complete: true} }

// records splits a file into its records. A last record that is incomplete, or whose checksum is wrong, is a torn tail and left out; a wrong
// checksum with more behind it is errDamaged. The records share b's memory.
func records(b []byte) (complete [][]byte, err error) {
	for len(b) >= recordHead {
		n := int(binary.LittleEndian.Uint32(b))
		if n == 0 || n > maxRecordBytes {
			if len(complete) == 0 || n > maxRecordBytes {
				return complete, errDamaged
			}
			return complete, nil // zeros, as a file system may leave them at the end
		}
		if len(b)-recordHead < n {
			return complete, nil
		}
		r := b[recordHead : recordHead+n]
		if crc32.Checksum(r, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
			if len(b)-recordHead > n {
				return complete, errDamaged
			}
			return complete, nil
		}
		complete, b = append(complete, r), b[recordHead+n:]
	}
	return complete, nil
}

// record encodes a value as one record.
func record(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli)), body...), nil
}

// save adds an image to the log, or replaces the log by a complete one; it is synced when save returns. A member other than 0 is the new owner
// of the log.
func (d *disk) save(image *consensus.Image, member uint64) error {
	if member != 0 {
		d.member = member
	}
	if image.Complete {
		return d.rewrite(image)
	}
	b, err := record(&logRecord{Image: image})
	if err != nil {
		return err
	}
	err = fullDisk()
	if err == nil {
		var n int
		n, err = d.file.Write(b)
		d.size += int64(n)
	}
	if err == nil {
		err = d.file.Sync()
		time.Sleep(slowDisk)
	}
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// rewrite replaces the log by an image in one step.
func (d *disk) rewrite(image *consensus.Image) error {
	b, err := record(&logRecord{d.member, image})
	if err != nil {
		return err
	}
	if err = d.replace(logName, b); err != nil {
		return err
	}
	if d.file != nil {
		_ = d.file.Close()
	}
	if d.file, err = os.OpenFile(filepath.Join(d.dir, logName), os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	d.size = int64(len(b))
	return nil
}

// saveIdentity replaces the identity file in one step.
func (d *disk) saveIdentity() error {
	b, err := record(&d.id)
	if err != nil {
		return err
	}
	return d.replace(identityName, b)
}

// replace replaces a file of the folder in one step: after a crash it has the old content or the new one.
func (d *disk) replace(name string, b []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+".next", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if err = fullDisk(); err == nil {
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

// syncDir has the names in a folder outlast a crash.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
