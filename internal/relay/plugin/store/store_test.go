package store

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

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

func has(s *Store, now time.Time, key string) string {
	v, ok := s.Begin(now).Get(key)
	return fmt.Sprintf("%s %t", v, ok)
}

var lim = Limits{Bytes: 400, Entries: 5, KeySize: 10, ValueSize: 100}

func TestTx_CommitsAllOrNothing(t *testing.T) {
	s := New(lim)
	tx := s.Begin(t0)
	_ = tx.Set("a", []byte("1"), 0)
	if has(s, t0, "a") != " false" {
		t.Error("seen before it was committed")
	}
	tx.Delete("a")
	if _, ok := tx.Get("a"); ok {
		t.Error("seen after it was deleted")
	}
	_ = tx.Set("a", []byte("2"), time.Second)
	_ = tx.Commit()
	if has(s, t0, "a") != "2 true" || has(s, t0.Add(time.Second), "a") != " false" {
		t.Error("want it for a second")
	}
	for _, c := range []struct {
		key, value string
		want       error
	}{{"", "x", ErrKey}, {"12345678901", "x", ErrKey}, {"b", strings.Repeat("x", 101), ErrValue}} {
		if err := s.Begin(t0).Set(c.key, []byte(c.value), 0); err != c.want {
			t.Errorf("%v, want %v", err, c.want)
		}
	}
	// What is out of date makes room; what another call took first does not.
	one, two := s.Begin(t0.Add(time.Minute)), s.Begin(t0.Add(time.Minute))
	for i := range 5 {
		if err := one.Set(fmt.Sprint(i), []byte("x"), 0); err != nil {
			t.Error(err)
		}
	}
	_ = two.Set("z", []byte("x"), 0)
	if one.Commit() != nil || two.Commit() != ErrFull {
		t.Error("want the second refused")
	}
	if n, size := s.Len(); n != 5 || size != 5*(2+entryOverhead) {
		t.Errorf("%d entries of %d bytes", n, size)
	}
}

// TestStore_AnyCalls_KeepQuota: no run of calls takes a store over its quota, and its size is that of what is in it.
func TestStore_AnyCalls_KeepQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(lim), t0
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
			for k, e := range s.entries {
				counted += cost(k, e)
			}
			if n > lim.Entries || size > lim.Bytes || size != counted {
				t.Fatalf("%d entries, %d bytes, in truth %d", n, size, counted)
			}
		}
	})
}

func TestStore_SaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "p.store")
	s := New(lim)
	put(t, s, t0, "good", "1", 0)
	put(t, s, t0, "empty", "", 0)
	put(t, s, t0, "minute", "2", time.Minute)
	if err := s.Save(file, "p", t0.Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(file)
	load := func(text []byte, now time.Time) (*Store, error) {
		_ = os.WriteFile(file, text, 0o600)
		s := New(lim)
		return s, s.Load(file, "p", now)
	}
	for _, c := range []struct {
		name  string
		after time.Duration
		want  string // whether "minute" is there
	}{{"while it is good", 59 * time.Second, "2 true"}, {"aged by the time between", 60 * time.Second, " false"},
		{"the clock went backwards: its age is unknown", 9 * time.Second, " false"}} {
		s, err := load(whole, t0.Add(c.after))
		if err != nil || has(s, t0.Add(c.after), "minute") != c.want || has(s, t0, "good") != "1 true" || has(s, t0, "empty") != " true" {
			t.Errorf("%s: %v, minute %s", c.name, err, has(s, t0.Add(c.after), "minute"))
		}
	}
	for i := range whole { // cut anywhere, or any byte another: never loaded
		if s, err := load(whole[:i], t0); err == nil || has(s, t0, "good") != " false" {
			t.Errorf("cut at %d: %v", i, err)
		}
		bad := append([]byte{}, whole...)
		bad[i] ^= 0x10
		if s, err := load(bad, t0); err == nil || has(s, t0, "good") != " false" {
			t.Errorf("byte %d another: %v", i, err)
		}
	}
	later := append([]byte{}, whole...)
	later[3] = 2
	if _, err := load(later, t0); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("a later version: %v", err)
	}
	_ = os.WriteFile(file, whole, 0o600)
	if err := New(lim).Load(file, "q", t0); err == nil {
		t.Error("another plug-in's snapshot is taken")
	}
	if err := New(lim).Load(file+"none", "p", t0); err != nil {
		t.Errorf("no file: %v", err)
	}
}
