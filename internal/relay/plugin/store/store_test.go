package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

// put sets a value in a transaction of its own.
func put(t testing.TB, s *Store, now time.Time, key, value string, ttl time.Duration) {
	t.Helper()
	tx := s.Begin(now)
	if err := tx.Set(key, []byte(value), ttl); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
}

// lookup returns what a new transaction reads for a key, as text: the value, and whether there is one.
func lookup(s *Store, now time.Time, key string) string {
	value, ok := s.Begin(now).Get(key)
	return fmt.Sprintf("%s %t", value, ok)
}

// testLimits are small enough for random transactions to reach them.
var testLimits = Limits{Bytes: 400, Entries: 5, KeySize: 10, ValueSize: 100}

func TestTx_BeforeCommit_SeenByItselfOnly(t *testing.T) {
	s := New(testLimits)
	tx := s.Begin(t0)
	_ = tx.Set("a", []byte("1"), 0)
	if got := lookup(s, t0, "a"); got != " false" {
		t.Errorf("another transaction reads %q before the commit, want no value", got)
	}
	if value, ok := tx.Get("a"); !ok || string(value) != "1" {
		t.Errorf("the transaction itself reads %q, %t, want 1", value, ok)
	}
	tx.Delete("a")
	if _, ok := tx.Get("a"); ok {
		t.Error("the transaction reads a key that it has deleted")
	}
}

func TestTx_ValueForATime_Expires(t *testing.T) {
	s := New(testLimits)
	put(t, s, t0, "a", "2", time.Second)
	if lookup(s, t0, "a") != "2 true" || lookup(s, t0.Add(time.Second), "a") != " false" {
		t.Error("want the value 2 at first, and none after a second")
	}
}

func TestTx_InvalidEntry_IsRefused(t *testing.T) {
	s := New(testLimits)
	for name, c := range map[string]struct {
		key, value string
		want       error
	}{
		"empty key":      {"", "x", ErrKey},
		"key too long":   {"12345678901", "x", ErrKey},
		"value too long": {"b", strings.Repeat("x", 101), ErrValue},
	} {
		t.Run(name, func(t *testing.T) {
			if err := s.Begin(t0).Set(c.key, []byte(c.value), 0); err != c.want {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// TestTx_StoreFull_ExpiredMakesRoomFirstCommitWins: expired entries are removed to free space. Of two transactions that together exceed
// the quota, the second commit fails.
func TestTx_StoreFull_ExpiredMakesRoomFirstCommitWins(t *testing.T) {
	s := New(testLimits)
	put(t, s, t0, "expired", "2", time.Second)
	later := t0.Add(time.Minute)
	first, second := s.Begin(later), s.Begin(later)
	for i := range testLimits.Entries {
		if err := first.Set(fmt.Sprint(i), []byte("x"), 0); err != nil {
			t.Error(err)
		}
	}
	if err := second.Set("z", []byte("x"), 0); err != nil {
		t.Error(err)
	}
	if first.Commit() != nil || second.Commit() != ErrFull {
		t.Error("want the first commit to succeed, and the second to fail with ErrFull")
	}
	if n, size := s.Len(); n != 5 || size != 5*(2+entryOverhead) {
		t.Errorf("%d entries of %d bytes in all, want the first transaction's 5 entries only", n, size)
	}
}

// TestTx_SetOverQuota_KeepsEarlierChange: after a Set that fails for the quota, earlier changes of the transaction are unchanged.
func TestTx_SetOverQuota_KeepsEarlierChange(t *testing.T) {
	s := New(testLimits)
	put(t, s, t0, "a", strings.Repeat("x", 100), 0)
	put(t, s, t0, "b", strings.Repeat("x", 100), 0)
	put(t, s, t0, "c", strings.Repeat("x", 60), 0)
	tx := s.Begin(t0)
	if err := tx.Set("d", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"d", "e"} {
		if err := tx.Set(key, make([]byte, testLimits.ValueSize), 0); !errors.Is(err, ErrFull) {
			t.Errorf("%s: %v, want %v", key, err, ErrFull)
		}
	}
	if value, ok := tx.Get("d"); !ok || string(value) != "1" {
		t.Errorf("the earlier value is %q, %t, want 1", value, ok)
	}
	if _, ok := tx.Get("e"); ok {
		t.Error("a value whose Set failed is read")
	}
}

// TestStore_AnyCalls_KeepQuota: no sequence of transactions exceeds the quota, and the store's size is the sum of its entries' sizes.
func TestStore_AnyCalls_KeepQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(testLimits), t0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)
			tx := s.Begin(now)
			for range rapid.IntRange(1, 4).Draw(t, "sets") {
				key := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))
				if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
					tx.Delete(key)
				} else {
					_ = tx.Set(key, make([]byte, rapid.IntRange(0, 120).Draw(t, "size")), time.Duration(rapid.IntRange(0, 5).Draw(t, "ttl"))*time.Second)
				}
			}
			if rapid.Bool().Draw(t, "commit") {
				_ = tx.Commit()
			}
			n, size := s.Len()
			counted := 0
			for key, e := range s.entries {
				counted += entrySize(key, e)
			}
			if n > testLimits.Entries || size > testLimits.Bytes || size != counted {
				t.Fatalf("%d entries, %d bytes; the entries take %d", n, size, counted)
			}
		}
	})
}

// savedStore returns the snapshot, saved ten seconds after t0, of a store with a value that never expires, an empty value, and one that
// expires a minute after t0.
func savedStore(t *testing.T) []byte {
	t.Helper()
	s := New(testLimits)
	put(t, s, t0, "good", "1", 0)
	put(t, s, t0, "empty", "", 0)
	put(t, s, t0, "minute", "2", time.Minute)
	file := filepath.Join(t.TempDir(), "p.store")
	if err := s.Save(file, "p", t0.Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	snapshot, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// loadStore loads a snapshot into a new store.
func loadStore(t *testing.T, snapshot []byte, plugin string, now time.Time) (*Store, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "p.store")
	if err := os.WriteFile(file, snapshot, 0o600); err != nil {
		t.Fatal(err)
	}
	s := New(testLimits)
	return s, s.Load(file, plugin, now)
}

func TestStore_Loaded_HasAged(t *testing.T) {
	snapshot := savedStore(t)
	for name, c := range map[string]struct {
		after time.Duration
		want  string // of "minute"
	}{
		"before it expires":            {59 * time.Second, "2 true"},
		"when it expires":              {60 * time.Second, " false"},
		"after the clock was set back": {9 * time.Second, " false"}, // the age is unknown
	} {
		t.Run(name, func(t *testing.T) {
			now := t0.Add(c.after)
			s, err := loadStore(t, snapshot, "p", now)
			if err != nil {
				t.Fatal(err)
			}
			for key, want := range map[string]string{"minute": c.want, "good": "1 true", "empty": " true"} {
				if got := lookup(s, now, key); got != want {
					t.Errorf("%s: %q, want %q", key, got, want)
				}
			}
		})
	}
}

// TestLoad_DamagedSnapshot_LeavesStoreEmpty: a snapshot that is truncated anywhere, or in which any byte is changed, is not loaded.
func TestLoad_DamagedSnapshot_LeavesStoreEmpty(t *testing.T) {
	snapshot := savedStore(t)
	for i := range snapshot {
		if s, err := loadStore(t, snapshot[:i], "p", t0); err == nil || lookup(s, t0, "good") != " false" {
			t.Errorf("truncated to %d bytes: error %v; want one, and an empty store", i, err)
		}
		damaged := bytes.Clone(snapshot)
		damaged[i] ^= 0x10
		if s, err := loadStore(t, damaged, "p", t0); err == nil || lookup(s, t0, "good") != " false" {
			t.Errorf("byte %d changed: error %v; want one, and an empty store", i, err)
		}
	}
}

func TestLoad_UnusableSnapshot_SaysWhy(t *testing.T) {
	snapshot := savedStore(t)
	later, damaged := bytes.Clone(snapshot), bytes.Clone(snapshot)
	later[versionOffset] = 2
	damaged[len(damaged)-1] ^= 1
	for name, c := range map[string]struct {
		snapshot []byte
		plugin   string
		want     string
	}{
		"another file":       {[]byte("{}"), "p", "store: the file is not a snapshot"},
		"damaged":            {damaged, "p", "store: the snapshot's checksum does not match"},
		"of a later version": {later, "p", "store: the snapshot has format version 2, want 1"},
		"of another plug-in": {snapshot, "q", `store: the snapshot belongs to plug-in "p"`},
		"without CBOR value": {emptyBody(), "p", "store: EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := loadStore(t, c.snapshot, c.plugin, t0); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

// emptyBody returns a snapshot file that has a correct checksum but no CBOR value.
func emptyBody() []byte { return binary.LittleEndian.AppendUint64([]byte(magic), xxhash.Sum64(nil)) }

func TestLoad_MissingFile_IsNoError(t *testing.T) {
	if err := New(testLimits).Load(filepath.Join(t.TempDir(), "none"), "p", t0); err != nil {
		t.Error(err)
	}
}
