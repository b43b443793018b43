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

// powerLossSeeds is the number of simulated power losses per case.
const powerLossSeeds = 300

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// create creates a file and writes text to it.
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

// contents returns the content of each file, by name.
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

// outcomes returns the different contents of a prepared disk after power losses with different seeds. It also checks that a second
// power loss changes nothing.
func outcomes(t *testing.T, prepare func(disk *memorydisk.Disk)) []map[string]string {
	t.Helper()
	var found []map[string]string
	for seed := range uint64(powerLossSeeds) {
		disk := memorydisk.New()
		prepare(disk)
		disk.LosePower(seed)
		left := contents(t, disk)
		if !slices.ContainsFunc(found, func(other map[string]string) bool { return maps.Equal(left, other) }) {
			found = append(found, left)
		}
		disk.LosePower(seed + 1)
		if text := cmp.Diff(left, contents(t, disk)); text != "" {
			t.Fatalf("seed %d: a second power loss changed the files (-first +second):\n%s", seed, text)
		}
	}
	return found
}

// Given synced files and names, when power is lost, then they are kept.
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

// Given writes since the last sync, when power is lost, then each is applied, lost or torn, and the synced content is kept.
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
			t.Fatalf("the synced content is lost: %q", text)
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
			t.Errorf("no power loss had the outcome %q", kind)
		}
	}
}

// Given names that were created, renamed and removed since the directory's last sync, when power is lost, then each change is
// independently applied or lost.
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

// Given a renamed file whose old and new name both exist after a power loss, when one of them is written, then the content under the
// other name does not change.
func TestLosePower_BothNamesOfARenamedFile_AreSeparateFiles(t *testing.T) {
	for seed := range uint64(powerLossSeeds) {
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
	t.Fatal("no power loss kept both names")
}

// Given a failed sync, when a later one succeeds and power is lost, then the writes before the failed sync are lost.
func TestLosePower_AfterFailedSync_LosesItsWrites(t *testing.T) {
	found := outcomes(t, func(disk *memorydisk.Disk) {
		file := create(t, disk, "a", "1")
		must(t, file.Sync())
		must(t, disk.SyncDir())
		write(t, file, "2")
		disk.InjectFaults(func(memorydisk.Operation, string) error { return syscall.EIO })
		if err := file.Sync(); !errors.Is(err, syscall.EIO) {
			t.Fatalf("Sync returned %v, want EIO", err)
		}
		disk.InjectFaults(nil)
		write(t, file, "3")
		must(t, file.Sync())
		if got := contents(t, disk)["a"]; got != "123" {
			t.Fatalf("before the power loss, the file holds %q, want 123", got)
		}
	})
	if text := cmp.Diff([]map[string]string{{"a": "1\x003"}}, found); text != "" {
		t.Fatal(text)
	}
}

// Given a killed process, then all that it wrote is kept, and its open files are unusable.
func TestKill_UnsyncedWrites_Stay(t *testing.T) {
	disk := memorydisk.New()
	file := create(t, disk, "a", "text")
	disk.Kill()
	if _, err := file.Write([]byte("late")); !errors.Is(err, memorydisk.ErrCrashed) {
		t.Fatalf("got %v, want ErrCrashed", err)
	}
	if text := cmp.Diff(map[string]string{"a": "text"}, contents(t, disk)); text != "" {
		t.Fatal(text)
	}
}

// Given a process that crashes at a write, then the write has the given effect, and all later operations fail.
func TestCrashAt_EachEffect_StopsTheProcess(t *testing.T) {
	for effect, want := range map[memorydisk.Effect]string{memorydisk.NotApplied: "", memorydisk.Torn: "te", memorydisk.Applied: "text"} {
		disk := memorydisk.New()
		disk.CrashAt(1, effect)
		file, err := disk.Create("a")
		must(t, err)
		if _, err := file.Write([]byte("text")); !errors.Is(err, memorydisk.ErrCrashed) || !disk.Crashed() {
			t.Fatalf("effect %d: got %v, want ErrCrashed", effect, err)
		}
		for _, late := range []func() error{file.Sync, disk.SyncDir, func() error { return disk.Remove("a") }} {
			if err := late(); !errors.Is(err, memorydisk.ErrCrashed) {
				t.Fatalf("effect %d: got %v after the crash, want ErrCrashed", effect, err)
			}
		}
		disk.Kill()
		if got := contents(t, disk)["a"]; got != want {
			t.Errorf("effect %d: got %q, want %q", effect, got, want)
		}
	}
}

// Given a disk with a capacity, then a write beyond it is short, and freed space can be used again.
func TestSetCapacity_FullDisk_ShortWrite(t *testing.T) {
	disk := memorydisk.New()
	disk.SetCapacity(5)
	file := create(t, disk, "a", "123")
	if written, err := file.Write([]byte("456")); written != 2 || !storage.IsDiskFull(err) {
		t.Fatalf("got %d bytes written and error %v, want 2 and a full disk", written, err)
	}
	must(t, file.Truncate(1))
	create(t, disk, "b", "4567")
	must(t, disk.Remove("b"))
	write(t, file, "4567")
	if got := disk.Size("a"); got != 5 {
		t.Fatalf("the file has %d bytes, want 5", got)
	}
}

// Given some operations, then Counts returns their numbers.
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

// Given names that don't exist, then operations on them return fs.ErrNotExist.
func TestDisk_FileMissing_IsNotExist(t *testing.T) {
	disk := memorydisk.New()
	_, err := disk.Open("a")
	for _, err := range []error{err, disk.Remove("a"), disk.Rename("a", "b")} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("got %v, want fs.ErrNotExist", err)
		}
	}
	if disk.Corrupt("a", 0) == nil || disk.Size("a") != 0 {
		t.Error("a missing file was corrupted without an error, or has a size")
	}
}
