package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// checker watches a group from outside: messages that leave, entries that are applied, outcomes that are told. It knows
// nothing of the members' insides.
type checker struct {
	violation string
	owners    map[uint64]string            // who has sent appends in an epoch
	votes     map[string]map[uint64]string // whom a member has voted for
	log       []Entry                      // all entries that any member has applied; log[i] has index i+1
	checksums []uint64                     // of the state machine after each entry
	position  map[uint64]uint64            // of a command's token in log
	group     []Member                     // of the last committed list
	floor     uint64                       // latest entry that anybody outside has seen the effect of
	open      map[uint64]invocation
	never     map[uint64]bool
	done      int
	reads     int
	groups    int
}

// invocation is a proposal or a read that has no outcome yet.
type invocation struct {
	node  string
	floor uint64
	read  bool
}

func newChecker(initial []Member) *checker {
	return &checker{
		owners:   map[uint64]string{},
		votes:    map[string]map[uint64]string{},
		position: map[uint64]uint64{},
		group:    initial,
		open:     map[uint64]invocation{},
		never:    map[uint64]bool{},
	}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// sentSinceHeartbeat looks at a message that leaves a member.
func (c *checker) sent(message Message) {
	switch message.Kind {
	case AppendEntries, InstallSnapshot:
		known := c.owners[message.Term]
		if known != "" && known != message.From {
			c.fail("epoch %d has the owners %s and %s", message.Term, known, message.From)
		}
		c.owners[message.Term] = message.From
	case RequestVoteResponse:
		if message.Reject || message.PreVote {
			return
		}
		if c.votes[message.From] == nil {
			c.votes[message.From] = map[uint64]string{}
		}
		known := c.votes[message.From][message.Term]
		if known != "" && known != message.To {
			c.fail("%s votes for %s and %s in epoch %d", message.From, known, message.To, message.Term)
		}
		c.votes[message.From][message.Term] = message.To
	}
}

// discardBefore looks at an entry that a member is about to apply.
func (c *checker) committed(n *node, entry Entry) {
	if entry.Index != n.machine.Index+1 {
		c.fail("%s applies entry %d after entry %d", n.id, entry.Index, n.machine.Index)
		return
	}
	if entry.Index <= uint64(len(c.log)) {
		known := c.log[entry.Index-1]
		if known.Term != entry.Term || known.Kind != entry.Kind || !bytes.Equal(known.Data, entry.Data) {
			c.fail("%s applies %s in place of %s", n.id, describe(entry), describe(known))
		}
		return
	}
	c.extend(entry)
}

func describe(entry Entry) string {
	return fmt.Sprintf("entry %d of epoch %d (kind %d, %.60s)", entry.Index, entry.Term, entry.Kind, entry.Data)
}

// extend adds an entry that is applied for the first time.
func (c *checker) extend(entry Entry) {
	checksum := uint64(0)
	if len(c.checksums) > 0 {
		checksum = c.checksums[len(c.checksums)-1]
		if last := c.log[len(c.log)-1]; last.Term > entry.Term {
			c.fail("entry %d of epoch %d follows epoch %d", entry.Index, entry.Term, last.Term)
		}
	}
	c.log = append(c.log, entry)
	c.checksums = append(c.checksums, fold(checksum, entry))
	switch entry.Kind {
	case Command:
		token, _ := strconv.ParseUint(string(entry.Data), 10, 64)
		if c.position[token] != 0 {
			c.fail("command %d is at %d and at %d", token, c.position[token], entry.Index)
		}
		if c.never[token] {
			c.fail("command %d was reported as never proposed and is at %d", token, entry.Index)
		}
		c.position[token] = entry.Index
	case ConfChange:
		c.changed(entry)
	}
}

// changed looks at a committed list of members.
func (c *checker) changed(entry Entry) {
	var members []Member
	if err := json.Unmarshal(entry.Data, &members); err != nil {
		c.fail("entry %d: %v", entry.Index, err)
	}
	if difference := votersApart(c.group, members); difference > 1 {
		c.fail("entry %d changes %d votes at once: %v to %v", entry.Index, difference, c.group, members)
	}
	c.group = members
	c.groups++
}

func votersApart(a, b []Member) int {
	votes := map[string]int{}
	for _, member := range a {
		if !member.Learner {
			votes[member.ID]++
		}
	}
	for _, member := range b {
		if !member.Learner {
			votes[member.ID]--
		}
	}
	apart := 0
	for _, difference := range votes {
		apart += difference * difference
	}
	return apart
}

// installedSnapshot looks at a state machine that was set to a snapshot.
func (c *checker) installed(n *node, before uint64, snapshot *Snapshot) {
	if snapshot.Index <= before {
		c.fail("%s goes back from entry %d to a snapshot at %d", n.id, before, snapshot.Index)
	}
	if snapshot.Index > uint64(len(c.log)) {
		c.fail("%s installs a snapshot at %d, and only %d entries were applied", n.id, snapshot.Index, len(c.log))
		return
	}
	want := machine{Index: snapshot.Index, Checksum: c.checksums[snapshot.Index-1]}
	if n.machine != want {
		c.fail("%s installs the state %v instead of %v", n.id, n.machine, want)
	}
}

// invoked notes that a proposal or a read begins.
func (c *checker) invoked(n *node, token uint64, read bool) {
	c.open[token] = invocation{node: n.id, floor: c.floor, read: read}
}

// outcome looks at what a member tells its clients.
func (c *checker) outcome(n *node, outcome Outcome) {
	begun, known := c.open[outcome.Token]
	if !known {
		c.fail("%s tells a second outcome of %d", n.id, outcome.Token)
		return
	}
	delete(c.open, outcome.Token)
	switch {
	case !outcome.Done:
		c.refused(outcome, begun)
	case begun.read:
		c.confirmed(n, outcome, begun)
	default:
		c.acknowledged(n, outcome, begun)
	}
}

func (c *checker) refused(outcome Outcome, begun invocation) {
	if !outcome.Dropped || begun.read {
		return
	}
	c.never[outcome.Token] = true
	if at := c.position[outcome.Token]; at != 0 {
		c.fail("command %d is at %d and reported as never proposed", outcome.Token, at)
	}
}

// confirmed demands that a read sees all that was seen or acknowledged before it began.
func (c *checker) confirmed(n *node, outcome Outcome, begun invocation) {
	c.reads++
	if n.machine.Index < begun.floor {
		c.fail("read %d at %s sees entry %d, entry %d was known when it began", outcome.Token, n.id, n.machine.Index, begun.floor)
	}
	c.floor = max(c.floor, n.machine.Index)
}

// acknowledged demands that a command has its place, after all that was known when it began.
func (c *checker) acknowledged(n *node, outcome Outcome, begun invocation) {
	c.done++
	at := c.position[outcome.Token]
	if at == 0 {
		c.fail("command %d is acknowledged by %s and was never applied", outcome.Token, n.id)
		return
	}
	if at <= begun.floor {
		c.fail("command %d is at %d, and entry %d was known when it began", outcome.Token, at, begun.floor)
	}
	c.floor = max(c.floor, at)
}

// forget drops what a member that was killed will never tell.
func (c *checker) forget(id string) {
	for token, begun := range c.open {
		if begun.node == id {
			delete(c.open, token)
		}
	}
}
