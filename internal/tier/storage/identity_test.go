package storage_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// random returns a source that repeats one byte, in place of random bytes.
func random(value byte) *bytes.Reader { return bytes.NewReader(bytes.Repeat([]byte{value}, 64)) }

// Given an empty disk, when a machine starts for the first time, then it creates an identity, and all later starts return the same one.
func TestIdentity_LaterStarts_FindTheSame(t *testing.T) {
	disk := memorydisk.New()
	first, created, err := storage.LoadOrCreateIdentity(disk, random(0xab))
	if err != nil || !created || first != strings.Repeat("ab", 16) {
		t.Fatalf("got identity %q, created %v and error %v, want a new identity", first, created, err)
	}
	for seed := range uint64(10) {
		disk.LosePower(seed)
		later, created, err := storage.LoadOrCreateIdentity(disk, random(0xcd))
		if err != nil || created || later != first {
			t.Fatalf("got identity %q, created %v and error %v, want %q again", later, created, err, first)
		}
	}
}

// Given a first start that crashes at any change, when the machine starts again, then its identity is durable, and is the one that
// the first start returned, if any.
func TestIdentity_CrashAtAnyChange_StaysOnceReturned(t *testing.T) {
	for change := range 6 {
		for seed := range uint64(powerLossSeeds) {
			disk := memorydisk.New()
			disk.CrashAt(change, memorydisk.Effect(seed%3))
			returned, _, err := storage.LoadOrCreateIdentity(disk, random(0xab))
			if seed%2 == 0 {
				disk.Kill()
			} else {
				disk.LosePower(seed)
			}
			second, _, secondErr := storage.LoadOrCreateIdentity(disk, random(0xcd))
			if secondErr != nil || (err == nil && returned != second) {
				t.Fatalf("change %d, seed %d: second start got identity %q and error %v, first start %q", change, seed, second, secondErr, returned)
			}
			disk.LosePower(seed)
			third, created, thirdErr := storage.LoadOrCreateIdentity(disk, random(0xef))
			if thirdErr != nil || created || third != second {
				t.Fatalf("change %d, seed %d: third start got identity %q and error %v, second start %q", change, seed, third, thirdErr, second)
			}
		}
	}
}

// Given an identity file with invalid content, when the machine starts, then it gets a CorruptError and creates no new identity.
func TestIdentity_FileDamaged_IsCorrupt(t *testing.T) {
	for _, content := range []string{"", "abcd", strings.Repeat("g", 32), strings.Repeat("a", 34)} {
		disk := memorydisk.New()
		if err := write(disk, "identity", []byte(content)); err != nil {
			t.Fatal(err)
		}
		_, created, err := storage.LoadOrCreateIdentity(disk, random(1))
		var corrupt *storage.CorruptError
		if !errors.As(err, &corrupt) || created {
			t.Errorf("content %q: got created %v and error %v, want a CorruptError", content, created, err)
		}
	}
}

// Given a source with too few random bytes, when an identity is created, then there is an error and no file on the disk.
func TestIdentity_TooLittleRandomness_WritesNothing(t *testing.T) {
	disk := memorydisk.New()
	_, created, err := storage.LoadOrCreateIdentity(disk, strings.NewReader("short"))
	names, _ := disk.List()
	if err == nil || created || len(names) > 0 {
		t.Fatalf("got created %v, error %v and files %q, want an error and no files", created, err, names)
	}
}
