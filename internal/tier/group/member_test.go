package group_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

const (
	heartbeat = 20 * time.Millisecond
	election  = 80 * time.Millisecond
	step      = 5 * time.Millisecond
)

// list is a state machine that keeps all commands.
type list struct{ Commands []string }

func (l *list) Apply(_ uint64, command json.RawMessage) any {
	l.Commands = append(l.Commands, string(command))
	return len(l.Commands)
}

func (l *list) Snapshot() (json.RawMessage, error) { return json.Marshal(l) }

func (l *list) Restore(state json.RawMessage) error { return json.Unmarshal(state, l) }

// cluster is a group in virtual time whose messages arrive with the next step.
type cluster struct {
	t       *testing.T
	now     time.Duration
	members []replica.Member
	groups  map[string]*group.Group // by address
	silent  map[string]bool         // addresses that neither send nor receive
	sent    []func()

	disks        map[string]*memorydisk.Disk // by address
	machines     map[string]group.StateMachine
	newMachine   func() group.StateMachine
	compactBytes int64
	drop         func(to string, message replica.Message) bool // nil: nothing is dropped on purpose
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := emptyCluster(t)
	c.begin(names...)
	return c
}

// emptyCluster is one without members, to be set up otherwise than usual.
func emptyCluster(t *testing.T) *cluster {
	return &cluster{t: t, groups: map[string]*group.Group{}, silent: map[string]bool{}, disks: map[string]*memorydisk.Disk{},
		machines: map[string]group.StateMachine{}, newMachine: func() group.StateMachine { return &list{} }}
}

// writeInitialSnapshot starts the first members.
func (c *cluster) begin(names ...string) {
	for _, name := range names {
		c.members = append(c.members, member(name))
	}
	for i, name := range names {
		c.open(name, uint64(i), c.members)
	}
}

func member(name string) replica.Member {
	return replica.Member{ID: "id-" + name, Address: "address-" + name}
}

func (c *cluster) open(name string, seed uint64, initial []replica.Member) {
	c.t.Helper()
	own := member(name)
	machine := c.newMachine()
	if c.disks[own.Address] == nil {
		c.disks[own.Address] = memorydisk.New()
	}
	opened, err := group.Open(group.Options{
		Name:         "g",
		Disk:         c.disks[own.Address],
		StateMachine: machine,
		Logger:       log.NewNopLogger(),
		Clock:        func() time.Duration { return c.now },
		Replica:      replica.Options{ID: own.ID, Address: own.Address, InitialMembers: initial, HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: seed},

		CompactionBytes: c.compactBytes,
		Send: func(address string, envelope group.Envelope) {
			if c.drop != nil && c.drop(address, envelope.Message) {
				return
			}
			c.sent = append(c.sent, func() {
				if to := c.groups[address]; to != nil && !c.silent[address] && !c.silent[own.Address] {
					to.Deliver(envelope.Message)
				}
			})
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.groups[own.Address], c.machines[own.Address] = opened, machine
}

// until plays until the condition holds.
func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		c.now += step
		sent := c.sent
		c.sent = nil
		for _, deliver := range sent {
			deliver()
		}
		for _, address := range c.addresses() {
			if _, err := c.groups[address].RunOnce(); err != nil {
				c.t.Fatal(err)
			}
		}
	}
	c.t.Fatalf("it doesn't come to hold that %s", what)
}

func (c *cluster) addresses() []string {
	var addresses []string
	for address := range c.groups {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// owner is the address of the member that owns the group and is heard.
func (c *cluster) owner() string {
	for _, address := range c.addresses() {
		if !c.silent[address] && c.groups[address].Status().IsLeader {
			return address
		}
	}
	return ""
}

func (c *cluster) change(members ...replica.Member) {
	c.groups[c.owner()].SetTargetMembers(members)
}

// isVoter tells whether a member's own list gives it a vote.
func (c *cluster) isVoter(m replica.Member) bool {
	return slices.Contains(c.groups[m.Address].Status().Members, m)
}

func TestAnEmptyMemberTakesAnothersPlace(t *testing.T) {
	// Given a group with an owner,
	c := newCluster(t, "a", "b", "c")
	c.until("there is an owner", func() bool { return c.owner() != "" })
	// when a member that knows nobody is to take the place of one that is gone,
	gone := c.members[0]
	if gone.Address == c.owner() {
		gone = c.members[1]
	}
	c.silent[gone.Address] = true
	c.open("d", 9, nil)
	wanted := append(slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m == gone }), member("d"))
	c.change(wanted...)
	// then it gets a vote.
	c.until("the new member has a vote", func() bool { return c.isVoter(member("d")) })
}

func TestAMemberThatIsBehindVotesForOneThatItDoesNotKnow(t *testing.T) {
	// Given a group of which one member doesn't learn that a new one takes the place of another,
	c := newCluster(t, "a", "b", "c")
	c.until("there is an owner", func() bool { return c.owner() != "" })
	rest := slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m.Address == c.owner() })
	owner, behind, leaving := c.owner(), rest[0], rest[1]
	ownerMember := c.members[slices.IndexFunc(c.members, func(m replica.Member) bool { return m.Address == owner })]
	c.silent[behind.Address] = true
	c.open("d", 9, nil)
	c.change(ownerMember, behind, member("d"))
	c.until("the new member has a vote", func() bool { return c.isVoter(member("d")) })
	c.until("the old one has none", func() bool { return !slices.Contains(c.groups[owner].Status().Members, leaving) })
	c.until("the new member knows that", func() bool { return !slices.Contains(c.groups[member("d").Address].Status().Members, leaving) })
	// when only that one and the new one are left,
	c.silent[owner], c.silent[leaving.Address] = true, true
	c.silent[behind.Address] = false
	// then the new one becomes the owner.
	c.until("there is an owner", func() bool { return c.owner() != "" })
}
