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

// lastDrawn is the last number of uniqueNumbers.
var lastDrawn uint64

// uniqueNumbers draws numbers that are never the same twice within the tests.
func uniqueNumbers() func() uint64 {
	return func() uint64 { lastDrawn += 2; return lastDrawn }
}

// openAt opens a folder of the fleet "f"; the error is the damage that was found.
func openAt(t *testing.T, dir string) (*disk, *consensus.Image, error) {
	t.Helper()
	d, image, why, err := openDisk(dir, "f", uniqueNumbers())
	if err != nil {
		t.Fatal(err)
	}
	return d, image, why
}

// filled opens an empty folder and saves three images to it.
func filled(t *testing.T, dir string) *disk {
	t.Helper()
	d, image, why := openAt(t, dir)
	if why != nil || !image.Empty() {
		t.Fatal(why, image)
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

// TestDisk_TruncatedOrDamagedLog_RecoversOrBecomesNewMember: what was saved is read back, truncated anywhere in its last record it is read back
// but for that record, and damage that no crash leaves behind makes a new member.
func TestDisk_TruncatedOrDamagedLog_RecoversOrBecomesNewMember(t *testing.T) {
	dir := t.TempDir()
	original := filled(t, dir)
	complete, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	want := &consensus.Image{Snapshot: []byte("s"), HardState: []byte("h2"), Entries: [][]byte{[]byte("e2")},
		Remembered: map[uint64]consensus.LogPosition{7: {Term: 1, LastIndex: 2}}}
	reopened, image, why := openAt(t, dir)
	if diff := cmp.Diff(want, image); diff != "" || why != nil || reopened.member != original.member ||
		reopened.id.Generation != original.id.Generation+1 {
		t.Fatal(diff, why, reopened.member, original.member, reopened.id.Generation)
	}
	records, _ := records(complete)
	last := len(complete) - recordHead - len(records[len(records)-1])
	for size := range len(complete) {
		if err := os.WriteFile(filepath.Join(dir, logName), complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		got, image, why := openAt(t, dir)
		switch {
		case size >= last && (why != nil || len(image.Entries) != 0 || got.member != original.member):
			t.Fatalf("truncated at %d of %d: %v %+v", size, len(complete), why, image)
		case size < last && got.member == original.member:
			t.Fatalf("truncated at %d, before what was replaced in one step: still the same member", size)
		}
		if err := got.save(&consensus.Image{HardState: []byte("h3")}, 0); err != nil { // behind a torn tail
			t.Fatal(err)
		}
		if _, image, why = openAt(t, dir); why != nil || string(image.HardState) != "h3" {
			t.Fatalf("truncated at %d: what was saved after is not there: %v %+v", size, why, image)
		}
	}
	for i := range last {
		bad := bytes.Clone(complete)
		bad[i] ^= 1
		if err := os.WriteFile(filepath.Join(dir, logName), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, image, _ := openAt(t, dir); got.member == original.member && cmp.Diff(want, image) != "" {
			t.Fatalf("byte %d of %d is wrong, and the same member goes on with %+v", i, len(complete), image)
		}
	}
}

// TestDisk_NewMember_ReplacesLogAndMemberAtOnce: a new member and its log are there together, or the old ones.
func TestDisk_NewMember_ReplacesLogAndMemberAtOnce(t *testing.T) {
	dir := t.TempDir()
	d := filled(t, dir)
	if err := d.save(&consensus.Image{Complete: true}, 99); err != nil {
		t.Fatal(err)
	}
	if reopened, image, why := openAt(t, dir); reopened.member != 99 || !image.Empty() || why != nil {
		t.Fatal(reopened.member, image, why)
	}
	if err := os.Remove(filepath.Join(dir, logName)); err != nil {
		t.Fatal(err)
	}
	if reopened, image, why := openAt(t, dir); reopened.member == 99 || !image.Empty() || why == nil {
		t.Fatal("a log is missing, and its member goes on")
	}
}

// TestDisk_WriteFails_ErrorAndOldStateStays: what can't be saved is said to be so, and nothing later pretends otherwise.
func TestDisk_WriteFails_ErrorAndOldStateStays(t *testing.T) {
	dir := t.TempDir()
	d := filled(t, dir)
	_ = d.file.Close()
	if err := d.save(&consensus.Image{HardState: []byte("h9")}, 0); err == nil {
		t.Fatal("saved to a closed file")
	}
	if _, image, why := openAt(t, dir); why != nil || string(image.HardState) != "h2" {
		t.Fatal(why, image)
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
			t.Errorf("byte %d is wrong, and the frame is read", i)
		}
		if _, _, err := unpack(good[:i]); err == nil {
			t.Errorf("truncated at %d, and the frame is read", i)
		}
	}
	if _, err := (&frame{Message: &node.Message{Raft: &node.Raft{Data: make([]byte, maxFrameBytes)}}}).pack(nil, kindPeer); err == nil {
		t.Error("a frame too large for a datagram is packed")
	}
}

func FuzzUnpack(f *testing.F) {
	good, _ := (&frame{Fleet: "f", Message: &node.Message{LeaseGrant: &node.LeaseGrant{To: "a"}}}).pack(nil, kindPeer)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, _, err := unpack(b); err == nil && fr == nil {
			t.Fatal("nothing, and no error")
		}
	})
}
