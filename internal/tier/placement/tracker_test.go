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

// member is the store on machine NODE, with its GENERATION'th disk.
func member(node, generation int, state membership.State) membership.Member {
	store := machine(node, "zone", generation)
	return membership.Member{Name: store.Node + "/store", ID: store.ID, Role: membership.Store, Zone: store.Zone, Address: store.Address, State: state}
}

// observer hands a tracker its observations in steps, as a process does.
type observer struct {
	*placement.Tracker
	now  time.Time
	term uint64
}

func newObserver() *observer {
	return &observer{Tracker: placement.NewTracker(), now: time.UnixMilli(1_700_000_000_000), term: 1}
}

// observe shows the members for a while.
func (o *observer) observe(d time.Duration, members ...membership.Member) {
	const step = 250 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		o.Observe(o.now, members, o.term)
		o.now = o.now.Add(step)
	}
	o.Observe(o.now, members, o.term)
}

// lost tells whether a shard's replica on machine 1 is lost.
func (o *observer) lost() bool {
	placed := []view.ShardPlacement{{Replicas: []view.Replica{machine(1, "zone", 1), machine(2, "zone", 1)}}}
	return o.Lost(o.now, placed)[machine(1, "zone", 1).ID]
}

// lostController tells whether the only member of the controllers' group is lost.
func (o *observer) lostController(id, address string) bool {
	return o.LostHosts(o.now, membership.Controller, []placement.Host{{ID: id, Address: address}})[id]
}

// The store on machine 1 while it runs and after it has died, the same with another disk and address, and its neighbors.
var (
	firstAlive  = member(1, 1, membership.StateAlive)
	firstDead   = member(1, 1, membership.StateDead)
	secondAlive = member(2, 1, membership.StateAlive)
	firstMoved  = memberAt(member(1, 2, membership.StateAlive), "10.9.9.9:7002")
	otherAlive  = memberAt(member(7, 1, membership.StateAlive), firstAlive.Address)
)

func memberAt(moved membership.Member, address string) membership.Member {
	moved.Address = address
	return moved
}

var lostReplicaCases = []struct {
	name  string
	given func(o *observer)
	want  bool
}{
	{"it runs", func(o *observer) { o.observe(9*time.Second, firstAlive, secondAlive) }, false},
	{"it is suspected", func(o *observer) { o.observe(9*time.Second, member(1, 1, membership.StateSuspect), secondAlive) }, false},
	{"dead for a short while", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"dead for long", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(4500*time.Millisecond, firstDead, secondAlive)
	}, true},
	{"left for long", func(o *observer) { o.observe(4500*time.Millisecond, member(1, 1, membership.StateLeft), secondAlive) }, true},
	{"dead, back and dead again", func(o *observer) {
		o.observe(3*time.Second, firstDead, secondAlive)
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"dead while a store without replicas runs", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(1500*time.Millisecond, firstDead, secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"suspected while a store without replicas has just come", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(1500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"suspected for a short while", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(750*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"suspected while a store without replicas has run for long", func(o *observer) {
		o.observe(12*time.Second, firstAlive, secondAlive, member(3, 1, membership.StateAlive))
		o.observe(1500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"suspected, then dead, while a store without replicas has just come", func(o *observer) {
		o.observe(time.Second, firstAlive, secondAlive)
		o.observe(500*time.Millisecond, member(1, 1, membership.StateSuspect), secondAlive, member(3, 1, membership.StateAlive))
		o.observe(500*time.Millisecond, firstDead, secondAlive, member(3, 1, membership.StateAlive))
	}, true},
	{"never seen, shortly after the start", func(o *observer) { o.observe(3*time.Second, secondAlive) }, false},
	{"never seen, shortly after the start, while a store without replicas runs", func(o *observer) {
		o.observe(3*time.Second, secondAlive, member(3, 1, membership.StateAlive))
	}, false},
	{"never seen for long", func(o *observer) { o.observe(4500*time.Millisecond, secondAlive) }, true},
	{"wiped, at once", func(o *observer) { o.observe(0, member(1, 2, membership.StateAlive), secondAlive) }, true},
	{"wiped at another address", func(o *observer) { o.observe(0, firstMoved, secondAlive) }, true},
	{"wiped, and down again", func(o *observer) { o.observe(0, member(1, 2, membership.StateDead), secondAlive) }, true},
	{"another machine at its address", func(o *observer) { o.observe(0, otherAlive, secondAlive) }, true},
	{"seen again after a pause of the process", func(o *observer) {
		o.observe(2*time.Second, firstDead, secondAlive)
		o.now = o.now.Add(time.Minute)
		o.observe(3*time.Second, firstDead, secondAlive)
	}, false},
	{"never seen, and a pause of the process", func(o *observer) {
		o.observe(2*time.Second, secondAlive)
		o.now = o.now.Add(time.Minute)
		o.observe(3*time.Second, secondAlive)
	}, false},
}

func TestTracker_LostReplicas(t *testing.T) {
	for _, test := range lostReplicaCases {
		t.Run(test.name, func(t *testing.T) {
			o := newObserver()
			test.given(o)
			if got := o.lost(); got != test.want {
				t.Errorf("lost: %v, want %v", got, test.want)
			}
		})
	}
}

// TestTracker_ControllersByFormerNames_Lost checks a group that names its members by identity alone.
func TestTracker_ControllersByFormerNames_Lost(t *testing.T) {
	before := membership.Member{Name: "core-1/controller", ID: "old", Role: membership.Controller, Address: "10.0.0.1:7000"}
	after := before
	after.ID, after.Address = "new", "10.0.0.9:7000"
	o := newObserver()
	o.observe(time.Second, before)
	if o.lostController("old", "10.0.0.1:7000") {
		t.Error("a controller that runs is lost")
	}
	o.observe(0, after)
	if !o.lostController("old", "10.0.0.1:7000") {
		t.Error("a controller that came back with another identity isn't lost")
	}
	if o.lostController("new", "10.0.0.9:7000") {
		t.Error("its new identity is lost")
	}
}

// TestTracker_LostControllers checks that a controller that holds nothing counts as a successor, as a store does.
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
		{"dead for a while", 3 * time.Second, []membership.Member{dead}, false},
		{"dead for long", 4500 * time.Millisecond, []membership.Member{dead}, true},
		{"dead for a short while, and another runs", 500 * time.Millisecond, []membership.Member{dead, spare}, false},
		{"dead for a while, and another runs", 1500 * time.Millisecond, []membership.Member{dead, spare}, true},
		{"left a while ago, and another runs", 1500 * time.Millisecond, []membership.Member{left, spare}, true},
		{"dead for a while, and a store runs", 1500 * time.Millisecond, []membership.Member{dead, member(1, 1, membership.StateAlive)}, false},
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
		t.Error("a member that doesn't own the group is sure")
	}
	// A leader is sure once the members on both sides of a partition have found each other, in the term that it leads.
	o.term = 4
	o.observe(9*time.Second, alive)
	if o.HasCompleteView(o.now, 4) {
		t.Error("it is sure 9 s after its election")
	}
	o.observe(4*time.Second, alive)
	if !o.HasCompleteView(o.now, 4) || o.HasCompleteView(o.now, 5) {
		t.Error("it isn't sure in its own term alone")
	}
	// One that stood still, or was elected anew, begins anew.
	o.now = o.now.Add(3 * time.Second)
	o.observe(time.Second, alive)
	if o.HasCompleteView(o.now, 4) {
		t.Error("it is sure after it stood still")
	}
	o.observe(13*time.Second, alive)
	o.term = 6
	o.observe(time.Second, alive)
	if o.HasCompleteView(o.now, 6) {
		t.Error("it is sure after another election")
	}
}

func TestTracker_ReadyForInitial_OnceStoresAreKnown(t *testing.T) {
	o := newObserver()
	o.term = 0
	o.observe(9*time.Second, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("a member that doesn't own the group may begin")
	}
	o.term = 4
	o.observe(time.Second, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("may begin a second after it became the leader")
	}
	o.observe(750*time.Millisecond, member(1, 1, membership.StateAlive))
	if !o.ReadyForInitial(o.now) {
		t.Error("may not begin")
	}
	o.term = 6 // it was not the leader in between
	o.observe(0, member(1, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("may begin at once in a later term")
	}
}

func TestTracker_ReadyForInitial_WaitsForStoresThatComeLate(t *testing.T) {
	o := newObserver()
	o.term = 4
	o.observe(1200*time.Millisecond, member(1, 1, membership.StateAlive))
	o.observe(400*time.Millisecond, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive))
	if o.ReadyForInitial(o.now) {
		t.Error("may begin 0.4 s after a store came")
	}
	o.observe(750*time.Millisecond, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive))
	if !o.ReadyForInitial(o.now) {
		t.Error("may not begin though no store has come for 0.75 s")
	}
	// It doesn't wait for ever.
	for number := 4; number < 12; number++ {
		o.observe(400*time.Millisecond, member(number, 1, membership.StateAlive))
	}
	if !o.ReadyForInitial(o.now) {
		t.Error("may not begin 5 s after it became the leader")
	}
}

func TestTracker_Stores(t *testing.T) {
	agent := membership.Member{Name: "edge-1/agent", ID: "x", Role: membership.Agent}
	o := newObserver()
	o.observe(time.Second, agent, member(3, 1, membership.StateAlive), member(1, 1, membership.StateSuspect), member(2, 1, membership.StateAlive), member(4, 1, membership.StateDead))
	want := []placement.Store{machine(2, "zone", 1), machine(3, "zone", 1)}
	if diff := cmp.Diff(want, o.Stores()); diff != "" {
		t.Errorf("stores (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]placement.Store{machine(1, "zone", 1), machine(4, "zone", 1)}, o.Missing(o.now)); diff != "" {
		t.Errorf("missing stores (-want +got):\n%s", diff)
	}
	o.observe(5*time.Second, agent, member(1, 1, membership.StateSuspect), member(4, 1, membership.StateDead))
	if diff := cmp.Diff([]placement.Store{machine(1, "zone", 1)}, o.Missing(o.now)); diff != "" {
		t.Errorf("missing stores, of which one is only suspected (-want +got):\n%s", diff)
	}
	for _, node := range []int{1, 4} {
		if got, known := o.Store(fmt.Sprint("storage-", node)); !known || got.ID != machine(node, "zone", 1).ID {
			t.Errorf("storage-%d is %v", node, got)
		}
	}
	if _, known := o.Store("edge-1"); known {
		t.Error("a machine without a store is known as one")
	}
}

// TestTracker_OneSpare_ReplacesOneMissing has two machines missing and one that has just come: only the machine that has been missing for
// longer counts as lost, since the other one may come back.
func TestTracker_OneSpare_ReplacesOneMissing(t *testing.T) {
	first, second, third := member(1, 1, membership.StateSuspect), member(2, 1, membership.StateSuspect), member(4, 1, membership.StateAlive)
	placed := []view.ShardPlacement{{Replicas: []view.Replica{machine(2, "zone", 1), machine(1, "zone", 1), machine(4, "zone", 1)}}}
	o := newObserver()
	o.observe(time.Second, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive), third)
	o.observe(500*time.Millisecond, first, member(2, 1, membership.StateAlive), third)
	o.observe(2*time.Second, first, second, third, member(3, 1, membership.StateAlive))
	want := map[string]bool{machine(1, "zone", 1).ID: true}
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}

	// Where two have come, both are.
	o.observe(time.Second, first, second, third, member(3, 1, membership.StateAlive), member(5, 1, membership.StateAlive))
	want[machine(2, "zone", 1).ID] = true
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
}

// TestTracker_Lost_StaysLostUntilBack has two machines missing and two that have just come. Once those hold replicas of the first loss, no machine is
// empty any more; the second loss isn't forgotten for that.
func TestTracker_Lost_StaysLostUntilBack(t *testing.T) {
	missing := []membership.Member{member(1, 1, membership.StateSuspect), member(2, 1, membership.StateSuspect), member(4, 1, membership.StateAlive)}
	placed := []view.ShardPlacement{{Replicas: []view.Replica{machine(1, "zone", 1), machine(2, "zone", 1), machine(4, "zone", 1)}}}
	o := newObserver()
	o.observe(time.Second, member(1, 1, membership.StateAlive), member(2, 1, membership.StateAlive), missing[2])
	all := append(missing, member(3, 1, membership.StateAlive), member(5, 1, membership.StateAlive))
	o.observe(1500*time.Millisecond, all...)
	if lost := o.Lost(o.now, placed); len(lost) != 2 {
		t.Fatalf("lost %v, want two", lost)
	}

	// When both newcomers hold replicas.
	placed[0].Replicas = []view.Replica{machine(2, "zone", 1), machine(3, "zone", 1), machine(4, "zone", 1)}
	placed = append(placed, view.ShardPlacement{Replicas: []view.Replica{machine(4, "zone", 1), machine(5, "zone", 1)}})
	want := map[string]bool{machine(2, "zone", 1).ID: true}
	if diff := cmp.Diff(want, o.Lost(o.now, placed)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}

	// It is lost no more when it is back.
	all[1].State = membership.StateAlive
	o.observe(0, all...)
	if lost := o.Lost(o.now, placed); len(lost) != 0 {
		t.Errorf("lost %v after its return", lost)
	}
}
