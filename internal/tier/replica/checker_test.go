package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// checker checks a group from outside, by the messages it sends, the entries it applies and the outcomes it reports. It does
// not look at the members' internal state.
type checker struct {
	violation   string
	leaders     map[uint64]string            // ID of the member that sent appends or snapshots, by term
	votes       map[string]map[uint64]string // candidate by voter and term
	log         []Entry                      // all entries that any member has applied; log[i] has index i+1
	checksums   []uint64                     // checksums of the state machine after each entry
	indexOf     map[uint64]uint64            // index of a command in log, by token
	members     []Member                     // of the last committed configuration
	observed    uint64                       // newest entry that a finished request has shown to be committed
	pending     map[uint64]invocation
	dropped     map[uint64]bool
	commands    int
	reads       int
	confChanges int
}

// invocation is a proposal or a read without an outcome yet.
type invocation struct {
	node     string
	observed uint64
	read     bool
}

func newChecker(initial []Member) *checker {
	return &checker{
		leaders: map[uint64]string{},
		votes:   map[string]map[uint64]string{},
		indexOf: map[uint64]uint64{},
		members: initial,
		pending: map[uint64]invocation{},
		dropped: map[uint64]bool{},
	}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// sent checks a message that a member sends.
func (c *checker) sent(message Message) {
	switch message.Kind {
	case AppendEntries, InstallSnapshot:
		known := c.leaders[message.Term]
		if known != "" && known != message.From {
			c.fail("term %d has two leaders, %s and %s", message.Term, known, message.From)
		}
		c.leaders[message.Term] = message.From
	case RequestVoteResponse:
		if message.Reject || message.PreVote {
			return
		}
		if c.votes[message.From] == nil {
			c.votes[message.From] = map[uint64]string{}
		}
		known := c.votes[message.From][message.Term]
		if known != "" && known != message.To {
			c.fail("%s votes for both %s and %s in term %d", message.From, known, message.To, message.Term)
		}
		c.votes[message.From][message.Term] = message.To
	}
}

// committed checks that an entry which a member is about to apply is the next one, and the same as on the other members.
func (c *checker) committed(n *node, entry Entry) {
	if entry.Index != n.machine.Index+1 {
		c.fail("%s applies entry %d after entry %d", n.id, entry.Index, n.machine.Index)
		return
	}
	if entry.Index <= uint64(len(c.log)) {
		known := c.log[entry.Index-1]
		if known.Term != entry.Term || known.Kind != entry.Kind || !bytes.Equal(known.Data, entry.Data) {
			c.fail("%s applies %s, but another member has applied %s", n.id, describe(entry), describe(known))
		}
		return
	}
	c.extend(entry)
}

func describe(entry Entry) string {
	return fmt.Sprintf("entry %d of term %d (kind %d, %.60s)", entry.Index, entry.Term, entry.Kind, entry.Data)
}

// extend adds an entry that a member is the first to apply.
func (c *checker) extend(entry Entry) {
	checksum := uint64(0)
	if len(c.checksums) > 0 {
		checksum = c.checksums[len(c.checksums)-1]
		if last := c.log[len(c.log)-1]; last.Term > entry.Term {
			c.fail("entry %d has term %d, lower than term %d of the entry before it", entry.Index, entry.Term, last.Term)
		}
	}
	c.log = append(c.log, entry)
	c.checksums = append(c.checksums, updateChecksum(checksum, entry))
	switch entry.Kind {
	case Command:
		token, _ := strconv.ParseUint(string(entry.Data), 10, 64)
		if c.indexOf[token] != 0 {
			c.fail("command %d is committed twice, at %d and at %d", token, c.indexOf[token], entry.Index)
		}
		if c.dropped[token] {
			c.fail("command %d was reported as dropped, but is committed at %d", token, entry.Index)
		}
		c.indexOf[token] = entry.Index
	case ConfChange:
		c.membersCommitted(entry)
	}
}

// membersCommitted checks a committed configuration: it may change the vote of at most one member.
func (c *checker) membersCommitted(entry Entry) {
	var members []Member
	if err := json.Unmarshal(entry.Data, &members); err != nil {
		c.fail("configuration entry %d cannot be decoded: %v", entry.Index, err)
	}
	if difference := votesChanged(c.members, members); difference > 1 {
		c.fail("entry %d changes the votes of %d members at once: %v to %v", entry.Index, difference, c.members, members)
	}
	c.members = members
	c.confChanges++
}

func votesChanged(a, b []Member) int {
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
	changed := 0
	for _, difference := range votes {
		changed += difference * difference
	}
	return changed
}

// installed checks a state machine that was restored from a snapshot.
func (c *checker) installed(n *node, before uint64, snapshot *Snapshot) {
	if snapshot.Index <= before {
		c.fail("%s has applied entry %d, but installs an older snapshot at %d", n.id, before, snapshot.Index)
	}
	if snapshot.Index > uint64(len(c.log)) {
		c.fail("%s installs a snapshot at %d, but only %d entries were ever applied", n.id, snapshot.Index, len(c.log))
		return
	}
	want := machine{Index: snapshot.Index, Checksum: c.checksums[snapshot.Index-1]}
	if n.machine != want {
		c.fail("%s installs the state %v, want %v", n.id, n.machine, want)
	}
}

// invoked records that a proposal or a read begins.
func (c *checker) invoked(n *node, token uint64, read bool) {
	c.pending[token] = invocation{node: n.id, observed: c.observed, read: read}
}

// outcome checks an outcome that a member reports.
func (c *checker) outcome(n *node, outcome Outcome) {
	call, known := c.pending[outcome.Token]
	if !known {
		c.fail("%s reports an outcome of request %d, which is not pending", n.id, outcome.Token)
		return
	}
	delete(c.pending, outcome.Token)
	switch {
	case !outcome.Done:
		c.notDone(outcome, call)
	case call.read:
		c.readDone(n, outcome, call)
	default:
		c.commandDone(n, outcome, call)
	}
}

func (c *checker) notDone(outcome Outcome, call invocation) {
	if !outcome.Dropped || call.read {
		return
	}
	c.dropped[outcome.Token] = true
	if at := c.indexOf[outcome.Token]; at != 0 {
		c.fail("command %d is reported as dropped, but is committed at %d", outcome.Token, at)
	}
}

// readDone checks that a read sees all entries that were seen or acknowledged before it began.
func (c *checker) readDone(n *node, outcome Outcome, call invocation) {
	c.reads++
	if n.machine.Index < call.observed {
		c.fail("read %d at %s sees entries up to %d, but entry %d was observed before it began", outcome.Token, n.id, n.machine.Index, call.observed)
	}
	c.observed = max(c.observed, n.machine.Index)
}

// commandDone checks that an acknowledged command is committed, after all entries that were observed before it began.
func (c *checker) commandDone(n *node, outcome Outcome, call invocation) {
	c.commands++
	at := c.indexOf[outcome.Token]
	if at == 0 {
		c.fail("command %d is acknowledged by %s, but was never applied", outcome.Token, n.id)
		return
	}
	if at <= call.observed {
		c.fail("command %d is committed at %d, but entry %d was observed before it began", outcome.Token, at, call.observed)
	}
	c.observed = max(c.observed, at)
}

// dropPending drops the pending requests of a member that was killed and will not report their outcomes.
func (c *checker) dropPending(id string) {
	for token, call := range c.pending {
		if call.node == id {
			delete(c.pending, token)
		}
	}
}
