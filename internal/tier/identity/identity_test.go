package identity_test

import (
	"testing"

	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

const address = "10.0.0.1:7380"

// vote saves a vote in a group.
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

// used is a disk with an identity and two groups that have voted.
func used(t *testing.T) (*memorydisk.Disk, string) {
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
	_, first := used(t)
	later, err := identity.LoadOrCreate(memorydisk.New(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	// then others can name the first one, and not the second.
	if first != identity.BootstrapID(address) || later == first {
		t.Errorf("the identities are %s at the first start and %s later", first, later)
	}
}

func TestLoadOrCreate_AddressChanged_KeepsTheIdentity(t *testing.T) {
	// Given a disk that has been used at one address, when its machine starts again at another,
	disk, id := used(t)
	disk.LosePower(1)
	got, err := identity.LoadOrCreate(disk, "10.0.0.9:7380", false)
	// then it is the same member.
	if err != nil || got != id {
		t.Errorf("the identity is %s (%v), want %s", got, err, id)
	}
}

// TestLoadOrCreate_PowerLossDuringErasure_ForgetsNoVoteUnderTheOldIdentity loses power at each change while a damaged disk gets a
// new identity.
func TestLoadOrCreate_PowerLossDuringErasure_ForgetsNoVoteUnderTheOldIdentity(t *testing.T) {
	for change := 0; change < 40; change++ {
		for seed := range uint64(24) {
			// Given a disk of which one group is damaged,
			disk, id := used(t)
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
			// then no group that has forgotten its vote is there under the old identity.
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
				t.Fatalf("crash at change %d, power lost by seed %d: the vote is forgotten under the old identity", change, seed)
			}
		}
	}
}

func TestLoadOrCreate_ErasureInterrupted_LeavesNoGroups(t *testing.T) {
	// Given a disk that was being erased when its process ended,
	disk, _ := used(t)
	if err := disk.Remove("identity"); err != nil {
		t.Fatal(err)
	}
	// when its machine starts again,
	if _, err := identity.LoadOrCreate(disk, address, false); err != nil {
		t.Fatal(err)
	}
	// then it holds no group.
	if names, err := storage.ListGroups(disk); err != nil || len(names) > 0 {
		t.Errorf("it holds %v (%v)", names, err)
	}
}

func TestLoadOrCreate_GroupDamaged_NewIdentityWithoutGroups(t *testing.T) {
	// Given a disk of which one group is damaged, when its machine starts again,
	disk, id := used(t)
	if err := disk.Corrupt("configuration.log-0", 20); err != nil {
		t.Fatal(err)
	}
	got, err := identity.LoadOrCreate(disk, address, false)
	if err != nil {
		t.Fatal(err)
	}
	// then it is another member, without any group.
	if got == id {
		t.Error("it is the same member, though it may have forgotten its votes")
	}
	if names, err := storage.ListGroups(disk); err != nil || len(names) > 0 {
		t.Errorf("it holds %v (%v)", names, err)
	}
}
