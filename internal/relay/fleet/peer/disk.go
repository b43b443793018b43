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
	recordHead     = 8 // length, checksum
	maxRecordBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is who this relay is to its fleet.
type identity struct {
	Fleet      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"3,keyasint"` // how often it has been started
}

// logRecord is a record of the log. Whose log it is stands in it, so that both change in one step: a member that had only
// forgotten its log would vote again on what it has voted on.
type logRecord struct {
	Member uint64           `cbor:"1,keyasint,omitempty"` // 0: as before
	Image  *consensus.Image `cbor:"2,keyasint"`
}

// disk is the folder of a relay's member of the fleet. Every write is synced before anything that depends on it leaves.
type disk struct {
	dir    string
	id     identity
	member uint64
	file   *os.File
	size   int64
}

// errDamaged is a log in which something is wrong that no crash leaves behind.
var errDamaged = errors.New("the log of the fleet's agreement is damaged")

// openDisk reads what the folder holds and counts the start. Where the log can't be trusted why says so, the image is empty
// and the member a new one.
func openDisk(dir, fleet string, draw func() uint64) (d *disk, image *consensus.Image, why error, err error) {
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
		why = fmt.Errorf("%s can't be read, or is of another fleet", identityName)
		d.id = identity{}
	default:
		image, why = d.read()
	}
	d.id.Fleet = fleet
	d.id.Generation++
	if err = d.saveIdentity(); err != nil {
		return nil, nil, nil, err
	}
	if image == nil || d.member == 0 {
		image, d.member = &consensus.Image{}, draw()|1
		return d, image, why, d.rewrite(&consensus.Image{Complete: true})
	}
	if d.file, err = os.OpenFile(filepath.Join(dir, logName), os.O_WRONLY|os.O_APPEND, 0o600); err == nil {
		err = d.file.Truncate(d.size) // nothing that left depended on a torn tail
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("peer: %w", err)
	}
	return d, image, why, nil
}

// read gathers the log's records into one image.
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
	all := &consensus.Image{}
	for _, r := range complete {
		p := logRecord{Image: &consensus.Image{}}
		if err := cbor.Unmarshal(r, &p); err != nil || p.Image == nil {
			return nil, errDamaged
		}
		if p.Member != 0 {
			d.member = p.Member
		}
		one := p.Image
		if one.Complete {
			all = &consensus.Image{}
		}
		if len(one.HardState) > 0 {
			all.HardState = one.HardState
		}
		if len(one.Snapshot) > 0 {
			all.Snapshot = one.Snapshot
		}
		if one.Remembered != nil {
			all.Remembered = one.Remembered
		}
		all.Entries = append(all.Entries, one.Entries...)
		d.size += recordHead + int64(len(r))
	}
	return all, nil
}

// records splits a file. What is cut short at its end, or whose checksum is wrong there, is a torn tail; a wrong checksum
// with more behind it is damage.
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

func record(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli)), body...), nil
}

// save has an image on disk, synced, when it returns.
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

// rewrite replaces the log in one step.
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

func (d *disk) saveIdentity() error {
	b, err := record(&d.id)
	if err != nil {
		return err
	}
	return d.replace(identityName, b)
}

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

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
