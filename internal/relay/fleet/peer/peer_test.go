package peer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/node"
)

// lastDrawn is the last number that uniqueNumbers returned.
var lastDrawn uint64

// uniqueNumbers returns a generator of numbers that are unique within the tests.
func uniqueNumbers() func() uint64 {
	return func() uint64 { lastDrawn += 2; return lastDrawn }
}

// openAt opens the disk of a relay of fleet "f" in a folder. The error is the damage that openDisk found there; other errors fail the test.
func openAt(t *testing.T, dir string) (*disk, *consensus.Image, error) {
	t.Helper()
	d, image, damage, err := openDisk(dir, "f", uniqueNumbers())
	if err != nil {
		t.Fatal(err)
	}
	return d, image, damage
}

// filledDisk opens an empty folder and saves three images to it.
func filledDisk(t *testing.T, dir string) *disk {
	t.Helper()
	d, image, damage := openAt(t, dir)
	if damage != nil || !image.Empty() {
		t.Fatal(damage, image)
	}
	for _, s := range []*consensus.Image{{HardState: []byte("h1"), Entries: [][]byte{[]byte("e1")}}, {Complete: true, Snapshot: []byte("s"),
		HardState: []byte("h2")}, {Entries: [][]byte{[]byte("e2")}, Remembered: map[uint64]consensus.LogPosition{7: {Term: 1,
		LastIndex: 2}}}} {
		if err := d.save(s, 0); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// TestDisk_TruncatedOrDamagedLog_RecoversOrBecomesNewMember: a log is read as saved, and without its last record if it is truncated in
// that. After damage that a crash can't cause the relay is a new member.
func TestDisk_TruncatedOrDamagedLog_RecoversOrBecomesNewMember(t *testing.T) {
	dir := t.TempDir()
	original := filledDisk(t, dir)
	complete, err := os.ReadFile(filepath.Join(dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	want := &consensus.Image{Snapshot: []byte("s"), HardState: []byte("h2"), Entries: [][]byte{[]byte("e2")},
		Remembered: map[uint64]consensus.LogPosition{7: {Term: 1, LastIndex: 2}}}
	reopened, image, damage := openAt(t, dir)
	if diff := cmp.Diff(want, image); diff != "" || damage != nil || reopened.member != original.member ||
		reopened.id.Generation != original.id.Generation+1 {
		t.Fatal(diff, damage, reopened.member, original.member, reopened.id.Generation)
	}
	records, _ := splitRecords(complete)
	last := len(complete) - recordHeaderBytes - len(records[len(records)-1])
	for size := range len(complete) {
		if err := os.WriteFile(filepath.Join(dir, logFile), complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		got, image, damage := openAt(t, dir)
		switch {
		case size >= last && (damage != nil || len(image.Entries) != 0 || got.member != original.member):
			t.Fatalf("truncated at %d of %d: %v %+v", size, len(complete), damage, image)
		case size < last && got.member == original.member:
			t.Fatalf("truncated at %d, before the last record: the member is unchanged, want a new one", size)
		}
		if err := got.save(&consensus.Image{HardState: []byte("h3")}, 0); err != nil { // the log may end in an incomplete record
			t.Fatal(err)
		}
		if _, image, damage = openAt(t, dir); damage != nil || string(image.HardState) != "h3" {
			t.Fatalf("truncated at %d: the image saved after that is lost: %v %+v", size, damage, image)
		}
	}
	for i := range last {
		bad := bytes.Clone(complete)
		bad[i] ^= 1
		if err := os.WriteFile(filepath.Join(dir, logFile), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, image, _ := openAt(t, dir); got.member == original.member && cmp.Diff(want, image) != "" {
			t.Fatalf("byte %d of %d is wrong, but the member is unchanged with %+v", i, len(complete), image)
		}
	}
}

// TestDisk_NewMember_ReplacesLogAndMemberAtOnce: the member id and its log are replaced together, so that a member whose log is lost does
// not continue.
func TestDisk_NewMember_ReplacesLogAndMemberAtOnce(t *testing.T) {
	dir := t.TempDir()
	d := filledDisk(t, dir)
	if err := d.save(&consensus.Image{Complete: true}, 99); err != nil {
		t.Fatal(err)
	}
	if reopened, image, damage := openAt(t, dir); reopened.member != 99 || !image.Empty() || damage != nil {
		t.Fatal(reopened.member, image, damage)
	}
	if err := os.Remove(filepath.Join(dir, logFile)); err != nil {
		t.Fatal(err)
	}
	if reopened, image, damage := openAt(t, dir); reopened.member == 99 || !image.Empty() || damage == nil {
		t.Fatal("the member is unchanged although its log is missing")
	}
}

// TestDisk_WriteFails_ErrorAndOldStateStays: a save that fails returns an error, and the folder keeps the image saved before.
func TestDisk_WriteFails_ErrorAndOldStateStays(t *testing.T) {
	dir := t.TempDir()
	d := filledDisk(t, dir)
	_ = d.file.Close()
	if err := d.save(&consensus.Image{HardState: []byte("h9")}, 0); err == nil {
		t.Fatal("saving to a closed file returned no error")
	}
	if _, image, damage := openAt(t, dir); damage != nil || string(image.HardState) != "h2" {
		t.Fatal(damage, image)
	}
}

func TestUnpack_DamagedFrame_IsRejected(t *testing.T) {
	good, err := (&frame{Fleet: "f", From: "a", To: "b", Generation: 3, Message: &node.Message{LeaseRequest: &node.LeaseRequest{From: "a",
		Seq: 7}}}).pack(nil, kindPeer)
	if err != nil {
		t.Fatal(err)
	}
	if f, kind, err := unpack(good); err != nil || kind != kindPeer || f.Message.LeaseRequest.Seq != 7 {
		t.Fatal(f, kind, err)
	}
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 0x40
		if _, _, err := unpack(bad); err == nil {
			t.Errorf("frame with wrong byte %d is accepted", i)
		}
		if _, _, err := unpack(good[:i]); err == nil {
			t.Errorf("frame truncated at %d is accepted", i)
		}
	}
	if _, err := (&frame{Message: &node.Message{Raft: &node.Raft{Data: make([]byte, maxFrameBytes)}}}).pack(nil, kindPeer); err == nil {
		t.Error("frame above maxFrameBytes is packed")
	}
}

func FuzzUnpack(f *testing.F) {
	good, _ := (&frame{Fleet: "f", Message: &node.Message{LeaseGrant: &node.LeaseGrant{To: "a"}}}).pack(nil, kindPeer)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, _, err := unpack(b); err == nil && fr == nil {
			t.Fatal("no frame and no error")
		}
	})
}
