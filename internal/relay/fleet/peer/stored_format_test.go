package peer

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/fleet/consensus"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/fleet/quota"
	"mastusher/internal/tools/filler"
)

const formatFile = "testdata/formats.txt"

var updateFormat = flag.Bool("update-format", false, "rewrite the golden files; only for an intended change of format")

// formats are all types that relays of a fleet send or store as CBOR. The golden file has a line for each.
var formats = []any{&frame{}, &identity{}, &logRecord{}, &node.Message{}, &node.AdminRequest{}, &node.Status{}, &consensus.Image{},
	&policy.State{}, &policy.Command{}, &quota.Request{}, &quota.Grant{}, &quota.Tally{}, &quota.Totals{}}

// goldenEncodings returns the golden encodings of formats, in hexadecimal.
func goldenEncodings(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile(formatFile)
	if err != nil {
		t.Fatal(err)
	}
	encodings := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(encodings) != len(formats) {
		t.Fatalf("the golden file has %d formats, want %d", len(encodings), len(formats))
	}
	return encodings
}

func TestCBORFormat_WritesAndReadsTheBytesOfEarlierVersions(t *testing.T) {
	if *updateFormat {
		var all strings.Builder
		for _, format := range formats {
			encoded, err := cbor.Marshal(filler.New(format))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&all, "%x\n", encoded)
		}
		if err := os.WriteFile(formatFile, []byte(all.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for i, line := range goldenEncodings(t) {
		t.Run(fmt.Sprintf("%d", i), func(t *testing.T) {
			golden, err := hex.DecodeString(line)
			if err != nil {
				t.Fatal(err)
			}
			want := filler.New(formats[i])
			encoded, err := cbor.Marshal(want)
			if err != nil || !bytes.Equal(encoded, golden) {
				t.Errorf("%T: written %x, want %x; %v", want, encoded, golden, err)
			}
			read := reflect.New(reflect.TypeOf(formats[i]).Elem()).Interface()
			if err = decoding.Unmarshal(golden, read); err != nil {
				t.Fatal(err)
			}
			reencoded, err := cbor.Marshal(read)
			if err != nil || !bytes.Equal(reencoded, golden) {
				t.Errorf("%T: read back as %x, want %x; %v", want, reencoded, golden, err)
			}
		})
	}
}

// TestStatusJSON_KeepsItsKeys: the output of `mastusher fleet --json` keeps its keys.
func TestStatusJSON_KeepsItsKeys(t *testing.T) {
	const file = "testdata/status.json"
	got, err := json.MarshalIndent(filler.New(&node.Status{}), "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if *updateFormat {
		if err = os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Error(diff)
	}
}

// TestStoredFormat_ReadsTheFolderOfEarlierVersions: a copy of a stored folder, whose log has two records, can be opened.
func TestStoredFormat_ReadsTheFolderOfEarlierVersions(t *testing.T) {
	const folder = "testdata/folder"
	image := &consensus.Image{HardState: []byte{8, 3, 16, 1, 24, 5}, Entries: [][]byte{{8, 0, 16, 3, 24, 5}}, Complete: true,
		Remembered: map[uint64]consensus.LogPosition{7: {Term: 3, LastIndex: 5}}}
	more := &consensus.Image{Entries: [][]byte{{8, 0, 16, 3, 24, 6}}}
	if *updateFormat {
		if err := os.RemoveAll(folder); err != nil {
			t.Fatal(err)
		}
		stored, _, damage, err := openDisk(folder, "fleet one", func() uint64 { return 40 })
		if err != nil || damage != nil {
			t.Fatal(err, damage)
		}
		if err := stored.rewrite(image); err != nil {
			t.Fatal(err)
		}
		if err := stored.save(more, 0); err != nil {
			t.Fatal(err)
		}
		_ = stored.file.Close()
	}
	dir := t.TempDir()
	for _, name := range []string{identityFile, logFile} {
		data, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, got, damage, err := openDisk(dir, "fleet one", func() uint64 { return 0 })
	if err != nil || damage != nil {
		t.Fatal(err, damage)
	}
	t.Cleanup(func() { _ = stored.file.Close() })
	if stored.id.Fleet != "fleet one" || stored.id.Generation != 2 || stored.member != 41 {
		t.Errorf("identity %+v, member %d", stored.id, stored.member)
	}
	want := &consensus.Image{HardState: image.HardState, Entries: append(image.Entries, more.Entries...), Complete: true,
		Remembered: image.Remembered}
	got.Complete = true
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
