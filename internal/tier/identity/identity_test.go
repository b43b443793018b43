package identity_test

import (
	"testing"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

const address = "10.0.0.1:7380"

// vote stores a vote in a group.
func vote(t *testing.T, disk storage.Disk, group string) {
	t.Helper()
	opened, _, err := storage.Open(disk, group)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Save(&replica.Ready{HardState: &replica.HardState{Term: 3, Vote: "b"}}); err != nil {
		t.Fatal(err)
	}
	if err := opened.Save(&replica.Ready{Entries: []replica.Entry{{Index: 1, Term: 3}}}); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
}

// usedDisk returns a disk with an identity and two groups that have voted.
func usedDisk(t *testing.T) (*memorydisk.Disk, string) {
	t.Helper()
	disk := memorydisk.New()
	id, err := identity.LoadOrCreate(disk, address, true)
	if err != nil {
		t.Fatal(err)
	}
	vote(t, disk, "configuration")
	vote(t, disk, "shard-1")
	return disk, id
}

func TestLoadOrCreate_EmptyDisk_BootstrapIDAtTheFirstStartOnly(t *testing.T) {
	// Given an empty disk at the first start, and one later,
	_, first := usedDisk(t)
	later, err := identity.LoadOrCreate(memorydisk.New(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	// then other machines can derive the first identity from the address, but not the second one.
	if first != identity.BootstrapID(address) || later == first {
		t.Errorf("got identity %s at the first start and %s later, want the BootstrapID only at the first start", first, later)
	}
}

func TestLoadOrCreate_AddressChanged_KeepsTheIdentity(t *testing.T) {
	// Given a disk that has been used at one address, when its machine starts again at another,
	disk, id := usedDisk(t)
	disk.LosePower(1)
	got, err := identity.LoadOrCreate(disk, "10.0.0.9:7380", false)
	// then its identity is the same.
	if err != nil || got != id {
		t.Errorf("got identity %s (%v), want %s", got, err, id)
	}
}

// TestLoadOrCreate_PowerLossDuringErasure_ForgetsNoVoteUnderTheOldIdentity loses power at each disk operation of the start that erases a
// damaged disk.
func TestLoadOrCreate_PowerLossDuringErasure_ForgetsNoVoteUnderTheOldIdentity(t *testing.T) {
	for change := 0; change < 40; change++ {
		for seed := range uint64(24) {
			// Given a disk of which one group is damaged,
			disk, id := usedDisk(t)
			if err := disk.Corrupt("configuration.log-0", 20); err != nil {
				t.Fatal(err)
			}
			// when the start that notices it is interrupted by a loss of power,
			disk.CrashAt(change, memorydisk.Applied)
			_, _ = identity.LoadOrCreate(disk, address, false)
			disk.LosePower(seed)
			got, err := identity.LoadOrCreate(disk, address, false)
			if err != nil {
				t.Fatal(err)
			}
			// then no group without its vote exists under the old identity.
			if got != id {
				continue
			}
			opened, recovered, err := storage.Open(disk, "shard-1")
			if err != nil {
				t.Fatal(err)
			}
			if err := opened.Close(); err != nil {
				t.Fatal(err)
			}
			if recovered.HardState.Term != 3 {
				t.Fatalf("crash at change %d, power lost by seed %d: the vote is lost under the old identity", change, seed)
			}
		}
	}
}

func TestLoadOrCreate_ErasureInterrupted_LeavesNoGroups(t *testing.T) {
	// Given a disk that was being erased when its process ended,
	disk, _ := usedDisk(t)
	if err := disk.Remove("identity"); err != nil {
		t.Fatal(err)
	}
	// when its machine starts again,
	if _, err := identity.LoadOrCreate(disk, address, false); err != nil {
		t.Fatal(err)
	}
	// then it has no groups.
	if names, err := storage.ListGroups(disk); err != nil || len(names) > 0 {
		t.Errorf("the disk has groups %v (%v), want none", names, err)
	}
}

func TestLoadOrCreate_GroupDamaged_NewIdentityWithoutGroups(t *testing.T) {
	// Given a disk of which one group is damaged, when its machine starts again,
	disk, id := usedDisk(t)
	if err := disk.Corrupt("configuration.log-0", 20); err != nil {
		t.Fatal(err)
	}
	got, err := identity.LoadOrCreate(disk, address, false)
	if err != nil {
		t.Fatal(err)
	}
	// then it has another identity and no groups.
	if got == id {
		t.Error("the identity is the same, though votes may be lost")
	}
	if names, err := storage.ListGroups(disk); err != nil || len(names) > 0 {
		t.Errorf("the disk has groups %v (%v), want none", names, err)
	}
}
