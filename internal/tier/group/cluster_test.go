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

// commandList is a state machine that stores all commands.
type commandList struct{ Commands []string }

func (l *commandList) Apply(_ uint64, command json.RawMessage) any {
	l.Commands = append(l.Commands, string(command))
	return len(l.Commands)
}

func (l *commandList) Snapshot() (json.RawMessage, error) { return json.Marshal(l) }

func (l *commandList) Restore(state json.RawMessage) error { return json.Unmarshal(state, l) }

// cluster is a replica group in virtual time, in which messages arrive at the next step.
type cluster struct {
	t        *testing.T
	now      time.Duration
	members  []replica.Member
	groups   map[string]*group.Group // by address
	isolated map[string]bool         // addresses that neither send nor receive
	sent     []func()

	disks           map[string]*memorydisk.Disk // by address
	machines        map[string]group.StateMachine
	newMachine      func() group.StateMachine
	compactionBytes int64
	drop            func(to string, message replica.Message) bool // returns true for messages to drop; may be nil
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := emptyCluster(t)
	c.begin(names...)
	return c
}

// emptyCluster returns a cluster without members, whose fields can be changed before begin.
func emptyCluster(t *testing.T) *cluster {
	t.Helper()
	return &cluster{t: t, groups: map[string]*group.Group{}, isolated: map[string]bool{}, disks: map[string]*memorydisk.Disk{},
		machines: map[string]group.StateMachine{}, newMachine: func() group.StateMachine { return &commandList{} }}
}

// begin starts the first members.
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

		CompactionBytes: c.compactionBytes,
		Send: func(address string, envelope group.Envelope) {
			if c.drop != nil && c.drop(address, envelope.Message) {
				return
			}
			c.sent = append(c.sent, func() {
				if to := c.groups[address]; to != nil && !c.isolated[address] && !c.isolated[own.Address] {
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

// runUntil delivers messages and runs iterations until the condition holds, for 2000 steps at most.
func (c *cluster) runUntil(what string, condition func() bool) {
	c.t.Helper()
	for range 2000 {
		if condition() {
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
	c.t.Fatalf("still not true after 2000 steps: %s", what)
}

func (c *cluster) addresses() []string {
	var addresses []string
	for address := range c.groups {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// leader returns the address of the leader that is not isolated, or an empty string if there is none.
func (c *cluster) leader() string {
	for _, address := range c.addresses() {
		if !c.isolated[address] && c.groups[address].Status().IsLeader {
			return address
		}
	}
	return ""
}

func (c *cluster) setTargetMembers(members ...replica.Member) {
	c.groups[c.leader()].SetTargetMembers(members)
}

// isVoter reports whether a member is a voter according to its own configuration.
func (c *cluster) isVoter(m replica.Member) bool {
	return slices.Contains(c.groups[m.Address].Status().Members, m)
}
