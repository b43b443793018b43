package store

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// storedLimits are large enough for all files of testdata/*.store.
var storedLimits = Limits{Bytes: 1 << 10, Entries: 9, KeySize: 40, ValueSize: 100}

// storedEntries has the entries of each file of testdata/*.store. The files were saved at t0 by the plug-in "demo".
var storedEntries = map[string]map[string]entry{
	"one.store": {"expires": {value: []byte("after a minute"), expiresAt: t0.Add(time.Minute)}},
	"several.store": {
		"expires": {value: []byte("after a minute"), expiresAt: t0.Add(time.Minute)},
		"stays":   {value: []byte{0, 1, 255}},
		"empty":   {value: []byte{}},
	},
}

// saveStored sets entries as a plug-in's calls do, and returns the saved snapshot.
func saveStored(t *testing.T, entries map[string]entry) []byte {
	t.Helper()
	s := New(storedLimits)
	for key, e := range entries {
		ttl := time.Duration(0)
		if !e.expiresAt.IsZero() {
			ttl = e.expiresAt.Sub(t0)
		}
		put(t, s, t0, key, string(e.value), ttl)
	}
	file := File(t.TempDir(), "demo")
	if err := s.Save(file, "demo", t0); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFormat_ReadsFilesOfEarlierVersions: a snapshot that an earlier version saved is read with all values and expiry times. A
// snapshot of one entry is still written as the same bytes; with several entries only the size is compared, because the format does
// not fix their order.
func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	for name, entries := range storedEntries {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", name)
			s := New(storedLimits)
			if err := s.Load(file, "demo", t0.Add(20*time.Second)); err != nil {
				t.Fatal(err)
			}
			got := map[string]string{}
			for key, e := range s.entries {
				got[key] = string(e.value) + " until " + e.expiresAt.String()
			}
			want := map[string]string{}
			for key, e := range entries {
				want[key] = string(e.value) + " until " + e.expiresAt.String()
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("entries (-want +got)\n%s", d)
			}
			stored, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			written := saveStored(t, maps.Clone(entries))
			if len(written) != len(stored) || len(entries) == 1 && !bytes.Equal(written, stored) {
				t.Errorf("the entries are written as\n%q\nwant\n%q", written, stored)
			}
		})
	}
}
