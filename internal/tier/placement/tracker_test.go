package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/view"
)

// member returns the member of the store that newStore returns for a machine and a generation.
func member(node, generation int, state membership.State) membership.Member {
	store := newStore(node, "zone", generation)
	return membership.Member{Name: store.Node + "/store", ID: store.ID, Role: membership.Store, Zone: store.Zone, Address: store.Address, State: state}
}

// observer feeds a tracker with observations at intervals of its own clock.
type observer struct {
	*placement.Tracker
	now  time.Time
	term uint64
}

func newObserver() *observer {
	return &observer{Tracker: placement.NewTracker(), now: time.UnixMilli(1_700_000_000_000), term: 1}
}

// observe lets the tracker observe the same members for a duration.
func (o *observer) observe(d time.Duration, members ...membership.Member) {
	const step = 250 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		o.Observe(o.now, members, o.term)
		o.now = o.now.Add(step)
	}
	o.Observe(o.now, members, o.term)
}

// lost reports whether the replica on machine 1 is lost, of a shard with replicas on machines 1 and 2.
func (o *observer) lost() bool {
	placed := []view.ShardPlacement{{Replicas: []view.Replica{newStore(1, "zone", 1), newStore(2, "zone", 1)}}}
	return o.Lost(o.now, placed)[newStore(1, "zone", 1).ID]
}

// lostController reports whether a controller is lost that is the only member of its group.
func (o *observer) lostController(id, address string) bool {
	return o.LostHosts(o.now, membership.Controller, []placement.Host{{ID: id, Address: address}})[id]
}

// The store on machine 1 while it runs, when it is dead, and after a wipe at another address; the store on machine 2; and a store on
// another machine at the first one's address.
var (
	firstAlive  = member(1, 1, membership.StateAlive)
	firstDead   = member(1, 1, membership.StateDead)
	secondAlive = member(2, 1, membership.StateAlive)
	firstMoved  = memberAt(member(1, 2, membership.StateAlive), "10.9.9.9:7002")
	otherAlive  = memberAt(member(7, 1, membership.StateAlive), firstAlive.Address)
)

// memberAt returns a member with another address.
func memberAt(m membership.Member, address string) membership.Member {
	m.Address = address
	return m
}

var lostReplicaCases = []struct {
	name  string
	setup func(o *observer)
	want  bool
}{
	{"it runs", func(o *observer) { o.observe(9*time.Second, firstAlive, secondAlive) }, false},
	{"it is suspected", func(o *observer) { o.observe(9*time.Second, member(1, 1, membership.StateSuspect), secondAlive) }, false},
	{"dead for less than lostTimeout", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"dead for longer than lostTimeout", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(4500*time.Millisecond, firstDead, secondAlive)
	}, true},
	{"left for longer than lostTimeout", func(o *observer) { o.observe(4500*time.Millisecond, member(1, 1, membership.StateLeft), secondAlive) }, true},
	{"dead, back and dead again", func(o *observer) {
		o.observe(3*time.Second, firstDead, secondAlive)
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"dead for longer than replacedTimeout while a store without replicas runs", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(1500*time.Millisecond, firstDead, secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"suspected for longer than replacedTimeout while a new store without replicas runs", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(1500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"suspected for less than replacedTimeout while a new store without replicas runs", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(750*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"suspected while a store without replicas runs that isn't new", func(o *observer) {
		o.observe(12*time.Second, firstAlive, secondAlive, member(3, 1, membership.StateAlive))
		o.observe(1500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"suspected, then dead, while a new store without replicas runs", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
		o.observe(500*time.Millisecond, firstDead, secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"never seen, for less than lostTimeout", func(o *observer) { o.observe(3*time.Second, secondAlive) }, false},
	{"never seen, for less than lostTimeout, while a store without replicas runs", func(o *observer) {
		o.observe(3*time.Second, secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"never seen, for longer than lostTimeout", func(o *observer) { o.observe(4500*time.Millisecond, secondAlive) }, true},
	{"wiped: lost at once", func(o *observer) { o.observe(0, member(1, 2, membership.StateAlive), secondAlive) }, true},
	{"wiped at another address", func(o *observer) { o.observe(0, firstMoved, secondAlive) }, true},
	{"wiped, and dead again", func(o *observer) { o.observe(0, member(1, 2, membership.StateDead), secondAlive) }, true},
	{"another machine runs at its address", func(o *observer) { o.observe(0, otherAlive, secondAlive) }, true},
	{"dead before and after a pause of the observing process", func(o *observer) {
		o.observe(2*time.Second, firstDead, secondAlive)
		o.now = o.now.Add(time.Minute)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"never seen before and after a pause of the observing process", func(o *observer) {
		o.observe(2*time.Second, secondAlive)
		o.now = o.now.Add(time.Minute)
		o.observe(3*time.Second, secondAlive)
	}, false},
}

func TestTracker_LostReplicas(t *testing.T) {
	for _, test := range lostReplicaCases {
		t.Run(test.name, func(t *testing.T) {
			o := newObserver()
			test.setup(o)
			if got := o.lost(); got != test.want {
				t.Errorf("lost: %v, want %v", got, test.want)
			}
		})
	}
}

// TestTracker_ControllersByFormerNames_Lost checks that a controller that came back with another identity and address is found lost
// by its last known name, since its group lists identities without names.
func TestTracker_ControllersByFormerNames_Lost(t *testing.T) {
	before := membership.Member{Name: "core-1/controller", ID: "old", Role: membership.Controller, Address: "10.0.0.1:7000"}
	after := before
	after.ID, after.Address = "new", "10.0.0.9:7000"
	o := newObserver()
	o.observe(time.Second, before)
	if o.lostController("old", "10.0.0.1:7000") {
		t.Error("a running controller counts as lost")
	}
	o.observe(0, after)
	if !o.lostController("old", "10.0.0.1:7000") {
		t.Error("a controller that came back with another identity doesn't count as lost under its old one")
	}
	if o.lostController("new", "10.0.0.9:7000") {
		t.Error("a running controller counts as lost under its new identity")
	}
}

// TestTracker_LostControllers checks that a controller outside of the group counts as a spare, as a store without replicas does.
func TestTracker_LostControllers(t *testing.T) {
	running := membership.Member{Name: "core-1/controller", ID: "first", Role: membership.Controller, Address: "10.0.0.1:7000"}
	dead, left, spare := running, running, running
	dead.State, left.State = membership.StateDead, membership.StateLeft
	spare.Name, spare.ID, spare.Address = "core-4/controller", "spare", "10.0.0.4:7000"
	tests := []struct {
		name    string
		missing time.Duration
		members []membership.Member
		want    bool
	}{
		{"dead for less than lostTimeout", 3 * time.Second, []membership.Member{dead}, false},
		{"dead for longer than lostTimeout", 4500 * time.Millisecond, []membership.Member{dead}, true},
		{"dead for less than replacedTimeout, and a spare runs", 500 * time.Millisecond, []membership.Member{dead, spare}, false},
		{"dead for longer than replacedTimeout, and a spare runs", 1500 * time.Millisecond, []membership.Member{dead, spare}, true},
		{"left for longer than replacedTimeout, and a spare runs", 1500 * time.Millisecond, []membership.Member{left, spare}, true},
		{"dead for longer than replacedTimeout, and a store runs", 1500 * time.Millisecond, []membership.Member{dead, member(1, 1, membership.StateAlive)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newObserver()
			o.observe(time.Second, running)
			o.observe(test.missing, test.members...)
			if got := o.lostController("first", "10.0.0.1:7000"); got != test.want {
				t.Errorf("lost: %v, want %v", got, test.want)
			}
		})
	}
}

func TestTracker_CompleteView_OnlyLongAfterElection(t *testing.T) {
	alive := member(1, 1, membership.StateAlive)
	o := newObserver()
	o.term = 0
	o.observe(20*time.Second, alive)
	if o.HasCompleteView(o.now, 0) || o.HasCompleteView(o.now, 4) {
		t.Error("a process that isn't the leader has a complete view")
	}
	// A leader has a complete view in its own term, completeViewDelay after its election.
	o.term = 4
	o.observe(9*time.Second, alive)
	if o.HasCompleteView(o.now, 4) {
		t.Error("the leader has a complete view 9 s after its election")
	}
	o.observe(4*time.Second, alive)
	if !o.HasCompleteView(o.now, 4) || o.HasCompleteView(o.now, 5) {
		t.Error("13 s after its election, the leader should have a complete view in term 4 and in no other")
	}
	// The delay starts again after a gap in the observations, and after another election.
	o.now = o.now.Add(3 * time.Second)
	o.observe(time.Second, alive)
	if o.HasCompleteView(o.now, 4) {
		t.Error("the leader has a complete view 1 s after a gap in its observations")
	}
	o.observe(13*time.Second, alive)
	o.term = 6
	o.observe(time.Second, alive)
	if o.HasCompleteView(o.now, 6) {
		t.Error("the leader has a complete view 1 s after another election")
	}
}

func TestTracker_ReadyForInitial_OnceStoresAreKnown(t *testing.T) {
	o := newObserver()
	o.term = 0
	o.observe(9*time.Second, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("a process that isn't the leader is ready for the initial placement")
	}
	o.term = 4
	o.observe(time.Second, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("the leader is ready 1 s after its election")
	}
	o.observe(750*time.Millisecond, member(1, 1, membership.StateAlive))
	if !o.ReadyForInitial(o.now) {
		t.Error("the leader isn't ready 1.75 s after its election, though no new store was seen since")
	}
	o.term = 6 // another process has led term 5
	o.observe(0, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("the leader is ready right after its election in a later term")
	}
}

func TestTracker_ReadyForInitial_WaitsForStoresThatComeLate(t *testing.T) {
	o := newObserver()
	o.term = 4
	o.observe(1200*time.Millisecond, member(1, 1, membership.StateAlive))
	o.observe(400*time.Millisecond, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("the leader is ready 0.4 s after a new store was seen")
	}
	o.observe(750*time.Millisecond, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive))
	if !o.ReadyForInitial(o.now) {
		t.Error("the leader isn't ready though no new store was seen for 0.75 s")
	}
	// It waits for new stores no longer than maxInitialDelay.
	for number := 4; number < 12; number++ {
		o.observe(400*time.Millisecond, member(number, 1, membership.StateAlive))
	}
	if !o.ReadyForInitial(o.now) {
		t.Error("the leader isn't ready 5 s after its election")
	}
}

func TestTracker_Stores(t *testing.T) {
	agent := membership.Member{Name: "edge-1/agent", ID: "x", Role: membership.Agent}
	o := newObserver()
	o.observe(time.Second, agent, member(3, 1, membership.StateAlive), member(1, 1, membership.StateSuspect), member(2, 1, membership.StateAlive), member(4, 1, membership.StateDead))
	want := []placement.Store{newStore(2, "zone", 1), newStore(3, "zone", 1)}
	if diff := cmp.Diff(want, o.Stores()); diff != "" {
		t.Errorf("stores (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]placement.Store{newStore(1, "zone", 1), newStore(4, "zone", 1)}, o.Missing(o.now)); diff != "" {
		t.Errorf("missing stores (-want +got):\n%s", diff)
	}
	o.observe(5*time.Second, agent, member(1, 1, membership.StateSuspect), member(4, 1, membership.StateDead))
	if diff := cmp.Diff([]placement.Store{newStore(1, "zone", 1)}, o.Missing(o.now)); diff != "" {
		t.Errorf("missing stores after one has been dead for lostTimeout (-want +got):\n%s", diff)
	}
	for _, node := range []int{1, 4} {
		if got, known := o.Store(fmt.Sprint("storage-", node)); !known || got.ID != newStore(node, "zone", 1).ID {
			t.Errorf("Store of storage-%d returned %v", node, got)
		}
	}
	if _, known := o.Store("edge-1"); known {
		t.Error("Store found a store on a machine that has none")
	}
}

// TestTracker_OneSpare_ReplacesOneMissing checks that, with two stores missing and one new spare, only the store that has been missing
// for longer counts as lost, since the other one may come back.
func TestTracker_OneSpare_ReplacesOneMissing(t *testing.T) {
	first, second, third := member(1, 1, membership.StateSuspect), member(2, 1, membership.StateSuspect), member(4, 1, membership.StateAlive)
	placed := []view.ShardPlacement{{Replicas: []view.Replica{newStore(2, "zone", 1), newStore(1, "zone", 1), newStore(4, "zone", 1)}}}
	o := newObserver()
	o.observe(time.Second, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive), third)
	o.observe(500*time.Millisecond, first, member(2, 1, membership.StateAlive), third)
	o.observe(2*time.Second, first, second, third, member(3, 1, membership.StateAlive))
	want := map[string]bool{newStore(1, "zone", 1).ID: true}
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}

	// With two spares, both count as lost.
	o.observe(time.Second, first, second, third, member(3, 1, membership.StateAlive), member(5, 1, membership.StateAlive))
	want[newStore(2, "zone", 1).ID] = true
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
}

// TestTracker_Lost_StaysLostUntilBack checks that of two lost stores the second stays lost once both spares hold replicas, when no
// spare is left to replace it.
func TestTracker_Lost_StaysLostUntilBack(t *testing.T) {
	missing := []membership.Member{member(1, 1, membership.StateSuspect), member(2, 1, membership.StateSuspect), member(4, 1, membership.StateAlive)}
	placed := []view.ShardPlacement{{Replicas: []view.Replica{newStore(1, "zone", 1), newStore(2, "zone", 1), newStore(4, "zone", 1)}}}
	o := newObserver()
	o.observe(time.Second, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive), missing[2])
	all := append(missing, member(3, 1, membership.StateAlive), member(5, 1, membership.StateAlive))
	o.observe(1500*time.Millisecond, all...)
	if lost := o.Lost(o.now, placed); len(lost) != 2 {
		t.Fatalf("lost stores are %v, want two", lost)
	}

	// Both new stores hold replicas now, and the replica on machine 1 has been replaced.
	placed[0].Replicas = []view.Replica{newStore(2, "zone", 1), newStore(3, "zone", 1), newStore(4, "zone", 1)}
	placed = append(placed, view.ShardPlacement{Replicas: []view.Replica{newStore(4, "zone", 1), newStore(5, "zone", 1)}})
	want := map[string]bool{newStore(2, "zone", 1).ID: true}
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}

	// The store is no longer lost when it runs again.
	all[1].State = membership.StateAlive
	o.observe(0, all...)
	if lost := o.Lost(o.now, placed); len(lost) != 0 {
		t.Errorf("lost stores are %v after the second came back, want none", lost)
	}
}
