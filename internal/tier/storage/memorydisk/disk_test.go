package memorydisk_test

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// seeds is how many losses of power are tried.
const seeds = 300

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// create makes a file that holds text.
func create(t *testing.T, disk *memorydisk.Disk, name, text string) storage.File {
	t.Helper()
	file, err := disk.Create(name)
	must(t, err)
	write(t, file, text)
	return file
}

func write(t *testing.T, file storage.File, text string) {
	t.Helper()
	_, err := file.Write([]byte(text))
	must(t, err)
}

// contents returns what each file holds.
func contents(t *testing.T, disk *memorydisk.Disk) map[string]string {
	t.Helper()
	names, err := disk.List()
	must(t, err)
	all := map[string]string{}
	for _, name := range names {
		file, err := disk.Open(name)
		must(t, err)
		data, err := file.ReadAll()
		must(t, err)
		all[name] = string(data)
	}
	return all
}

// outcomes returns all that losses of power leave of a disk.
func outcomes(t *testing.T, prepare func(disk *memorydisk.Disk)) []map[string]string {
	t.Helper()
	var found []map[string]string
	for seed := range uint64(seeds) {
		disk := memorydisk.New()
		prepare(disk)
		disk.LosePower(seed)
		left := contents(t, disk)
		if !slices.ContainsFunc(found, func(other map[string]string) bool { return maps.Equal(left, other) }) {
			found = append(found, left)
		}
		disk.LosePower(seed + 1)
		if text := cmp.Diff(left, contents(t, disk)); text != "" {
			t.Fatalf("seed %d: what was left once did not stay:\n%s", seed, text)
		}
	}
	return found
}

// Given synced files and names, when power is lost, then they stay.
func TestLosePower_SyncedContent_Stays(t *testing.T) {
	found := outcomes(t, func(disk *memorydisk.Disk) {
		file := create(t, disk, "a", "hello")
		must(t, file.Truncate(4))
		write(t, file, "p")
		must(t, file.Sync())
		must(t, disk.SyncDir())
	})
	if text := cmp.Diff([]map[string]string{{"a": "hellp"}}, found); text != "" {
		t.Fatal(text)
	}
}

// Given writes and truncations since the last sync, when power is lost, then each is there, missing or torn, and what was synced
// stays.
func TestLosePower_UnsyncedWrites_AreThereMissingOrTorn(t *testing.T) {
	long := strings.Repeat("x", 200)
	found := outcomes(t, func(disk *memorydisk.Disk) {
		file := create(t, disk, "a", "synced")
		must(t, file.Sync())
		must(t, disk.SyncDir())
		write(t, file, long)
		write(t, file, "end")
	})
	kinds := map[string]bool{}
	for _, left := range found {
		text := left["a"]
		if !strings.HasPrefix(text, "synced") {
			t.Fatalf("what was synced is gone: %q", text)
		}
		kinds["complete"] = kinds["complete"] || text == "synced"+long+"end"
		kinds["none"] = kinds["none"] || text == "synced"
		kinds["first only"] = kinds["first only"] || text == "synced"+long
		kinds["second only"] = kinds["second only"] || text == "synced"+strings.Repeat("\x00", len(long))+"end"
		kinds["beginning"] = kinds["beginning"] || (len(text) > 6 && len(text) < 206 && strings.Trim(text[6:], "x") == "")
		kinds["sectors"] = kinds["sectors"] || strings.Contains(text, "\x00x")
	}
	for _, kind := range []string{"complete", "none", "first only", "second only", "beginning", "sectors"} {
		if !kinds[kind] {
			t.Errorf("no loss of power left %s", kind)
		}
	}
}

// Given names that were created, renamed and removed since the directory's last sync, when power is lost, then each is as it was
// or as it became, by itself.
func TestLosePower_UnsyncedNames_AreKeptOrLost(t *testing.T) {
	found := outcomes(t, func(disk *memorydisk.Disk) {
		must(t, create(t, disk, "removed", "1").Sync())
		must(t, create(t, disk, "from", "2").Sync())
		must(t, disk.SyncDir())
		must(t, create(t, disk, "made", "3").Sync())
		must(t, disk.Remove("removed"))
		must(t, disk.Rename("from", "to"))
	})
	const names = 4
	if len(found) != 1<<names {
		t.Fatalf("got %d outcomes, want %d", len(found), 1<<names)
	}
}

// Given a file that both its names outlived, when one of them is written, then the other does not change.
func TestLosePower_BothNamesOfARenamedFile_AreSeparateFiles(t *testing.T) {
	for seed := range uint64(seeds) {
		disk := memorydisk.New()
		must(t, create(t, disk, "from", "text").Sync())
		must(t, disk.SyncDir())
		must(t, disk.Rename("from", "to"))
		disk.LosePower(seed)
		if names, _ := disk.List(); len(names) != 2 {
			continue
		}
		create(t, disk, "to", "other")
		if text := cmp.Diff(map[string]string{"from": "text", "to": "other"}, contents(t, disk)); text != "" {
			t.Fatal(text)
		}
		return
	}
	t.Fatal("no loss of power kept both names")
}

// Given a failed sync, when a later one succeeds and power is lost, then the writes before the failed one are gone.
func TestLosePower_AfterFailedSync_LosesItsWrites(t *testing.T) {
	found := outcomes(t, func(disk *memorydisk.Disk) {
		file := create(t, disk, "a", "1")
		must(t, file.Sync())
		must(t, disk.SyncDir())
		write(t, file, "2")
		disk.InjectFaults(func(memorydisk.Operation, string) error { return syscall.EIO })
		if err := file.Sync(); !errors.Is(err, syscall.EIO) {
			t.Fatalf("got %v", err)
		}
		disk.InjectFaults(nil)
		write(t, file, "3")
		must(t, file.Sync())
		if got := contents(t, disk)["a"]; got != "123" {
			t.Fatalf("before the loss: got %q", got)
		}
	})
	if text := cmp.Diff([]map[string]string{{"a": "1\x003"}}, found); text != "" {
		t.Fatal(text)
	}
}

// Given a killed process, then all that was written stays, and its files are closed.
func TestKill_UnsyncedWrites_Stay(t *testing.T) {
	disk := memorydisk.New()
	file := create(t, disk, "a", "text")
	disk.Kill()
	if _, err := file.Write([]byte("late")); !errors.Is(err, memorydisk.ErrCrashed) {
		t.Fatalf("got %v, want that the process has ended", err)
	}
	if text := cmp.Diff(map[string]string{"a": "text"}, contents(t, disk)); text != "" {
		t.Fatal(text)
	}
}

// Given a process that is stopped at a write, then the write has the effect that was asked for and nothing comes after it.
func TestCrashAt_EachEffect_StopsTheProcess(t *testing.T) {
	for effect, want := range map[memorydisk.Effect]string{memorydisk.NotApplied: "", memorydisk.Torn: "te", memorydisk.Applied: "text"} {
		disk := memorydisk.New()
		disk.CrashAt(1, effect)
		file, err := disk.Create("a")
		must(t, err)
		if _, err := file.Write([]byte("text")); !errors.Is(err, memorydisk.ErrCrashed) || !disk.Crashed() {
			t.Fatalf("effect %d: got %v", effect, err)
		}
		for _, late := range []func() error{file.Sync, disk.SyncDir, func() error { return disk.Remove("a") }} {
			if err := late(); !errors.Is(err, memorydisk.ErrCrashed) {
				t.Fatalf("effect %d: got %v after the stop", effect, err)
			}
		}
		disk.Kill()
		if got := contents(t, disk)["a"]; got != want {
			t.Errorf("effect %d: got %q, want %q", effect, got, want)
		}
	}
}

// Given a bound on the space, then a write beyond it is short, and space that is freed can be used.
func TestSetCapacity_FullDisk_ShortWrite(t *testing.T) {
	disk := memorydisk.New()
	disk.SetCapacity(5)
	file := create(t, disk, "a", "123")
	if written, err := file.Write([]byte("456")); written != 2 || !storage.IsDiskFull(err) {
		t.Fatalf("got %d and %v", written, err)
	}
	must(t, file.Truncate(1))
	create(t, disk, "b", "4567")
	must(t, disk.Remove("b"))
	write(t, file, "4567")
	if got := disk.Size("a"); got != 5 {
		t.Fatalf("got %d bytes", got)
	}
}

// Given some operations, then they are counted.
func TestCounts_SomeOperations_AreCounted(t *testing.T) {
	disk := memorydisk.New()
	file := create(t, disk, "a", "123")
	must(t, file.Sync())
	must(t, disk.SyncDir())
	contents(t, disk)
	want := memorydisk.Counts{Writes: 1, BytesWritten: 3, Syncs: 1, DirSyncs: 1, Changes: 4}
	if text := cmp.Diff(want, disk.Counts()); text != "" {
		t.Fatal(text)
	}
}

// Given names that are not there, then there are errors that say so.
func TestDisk_FileMissing_IsNotExist(t *testing.T) {
	disk := memorydisk.New()
	_, err := disk.Open("a")
	for _, err := range []error{err, disk.Remove("a"), disk.Rename("a", "b")} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("got %v, want that it does not exist", err)
		}
	}
	if disk.Corrupt("a", 0) == nil || disk.Size("a") != 0 {
		t.Error("a missing file was damaged or has a size")
	}
}
