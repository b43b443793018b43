package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// A sender's whole state as plain data: what is kept is written down, and nothing is decided here. Pointers have become
// numbers: endpoints and messages go by their ids, calls and what has left the list by their places in a list.

// SnapshotVersion changes with the meaning of a Snapshot.
const SnapshotVersion = 1

// Snapshot is all that a Sender has learned and holds, between two Steps. Settings are not part of it.
type Snapshot struct {
	Version  int            `cbor:"1,keyasint"`
	Rng      uint64         `cbor:"2,keyasint"`
	Now      time.Duration  `cbor:"3,keyasint"`
	Steps    uint64         `cbor:"4,keyasint"`
	Seq      uint64         `cbor:"5,keyasint"`
	Slots    int            `cbor:"6,keyasint,omitempty"`
	Open     int            `cbor:"7,keyasint,omitempty"`
	Sick     int            `cbor:"8,keyasint,omitempty"`
	Budget   float64        `cbor:"9,keyasint"`
	Again    [2]float64     `cbor:"10,keyasint"`
	Starved  bool           `cbor:"11,keyasint,omitempty"`
	Wake     time.Duration  `cbor:"12,keyasint,omitempty"`
	AskAt    time.Duration  `cbor:"13,keyasint,omitempty"`
	AskGap   time.Duration  `cbor:"14,keyasint,omitempty"`
	All      TableState     `cbor:"15,keyasint"`
	Kinds    []KindState    `cbor:"16,keyasint"`
	Nodes    []NodeState    `cbor:"17,keyasint,omitempty"` // in the sender's order
	Active   []int          `cbor:"18,keyasint,omitempty"` // ids of nodes, in order
	Linked   []uint32       `cbor:"19,keyasint,omitempty"` // ids of endpoints, in order
	Ghosts   []GhostState   `cbor:"20,keyasint,omitempty"` // endpoints off the list that a message has run at
	Calls    []CallState    `cbor:"21,keyasint,omitempty"`
	Messages []MessageState `cbor:"22,keyasint,omitempty"` // in the order in which they were taken
	KeyLines []KeyState     `cbor:"23,keyasint,omitempty"`
	Quotas   []QuotaState   `cbor:"24,keyasint,omitempty"` // by tenant; older snapshots have none
	Rights   *RightsState   `cbor:"25,keyasint,omitempty"` // nil: nothing is shared
}

// TableState is a table of call times.
type TableState struct {
	N     []float64     `cbor:"1,keyasint"`
	Total float64       `cbor:"2,keyasint"`
	Lost  float64       `cbor:"3,keyasint"`
	At    time.Duration `cbor:"4,keyasint"`
}

// MeterState is a decayed rate.
type MeterState struct {
	N     float64       `cbor:"1,keyasint"`
	At    time.Duration `cbor:"2,keyasint"`
	Since time.Duration `cbor:"3,keyasint"`
}

// KindState is what was seen of a kind of destination.
type KindState struct {
	Short time.Duration `cbor:"1,keyasint"`
	Gap   float64       `cbor:"2,keyasint"`
}

// QuotaState is what is left of a tenant's share.
type QuotaState struct {
	Left  float64       `cbor:"1,keyasint"`
	At    time.Duration `cbor:"2,keyasint"`
	Extra float64       `cbor:"3,keyasint,omitempty"`
	Asked MeterState    `cbor:"4,keyasint,omitempty"`
	Rate  float64       `cbor:"5,keyasint,omitempty"` // 0 in older ones: as the settings have it
	Total float64       `cbor:"6,keyasint,omitempty"`
}

// RightsState is what a sender may spend of what all share.
type RightsState struct {
	Floor float64       `cbor:"1,keyasint,omitempty"`
	Until time.Duration `cbor:"2,keyasint,omitempty"`
	Stays bool          `cbor:"3,keyasint,omitempty"`
}

// NodeState is a destination of messages, with its endpoints and limits.
type NodeState struct {
	ID        int             `cbor:"1,keyasint"`
	Endpoints []EndpointState `cbor:"2,keyasint,omitempty"`
	Held      []uint64        `cbor:"3,keyasint,omitempty"` // ids of messages, in order
	Calls     int             `cbor:"4,keyasint,omitempty"`
	Active    bool            `cbor:"5,keyasint,omitempty"`
	Dests     []DestState     `cbor:"6,keyasint,omitempty"`
	Asked     MeterState      `cbor:"7,keyasint"`
	T         TableState      `cbor:"8,keyasint"`
	Plan      []float64       `cbor:"9,keyasint,omitempty"`
	Stale     bool            `cbor:"10,keyasint,omitempty"`
	At        time.Duration   `cbor:"11,keyasint,omitempty"`
	Solved    uint64          `cbor:"12,keyasint,omitempty"`
	Most      float64         `cbor:"13,keyasint,omitempty"`
}

// EndpointState is one endpoint that is on the list, or was lately.
type EndpointState struct {
	ID     uint32        `cbor:"1,keyasint"`
	Zone   int           `cbor:"2,keyasint"`
	KindNo int           `cbor:"3,keyasint"`
	Kind   Kind          `cbor:"4,keyasint"`
	Dest   int           `cbor:"5,keyasint"` // place in its node's list
	State  State         `cbor:"6,keyasint"`
	T      TableState    `cbor:"7,keyasint"`
	Mix    TableState    `cbor:"8,keyasint"`
	Out    []uint64      `cbor:"9,keyasint,omitempty"` // ids of messages, the oldest first
	Turn   uint64        `cbor:"10,keyasint,omitempty"`
	Call   int           `cbor:"11,keyasint"` // place in Calls; -1: none
	Linked bool          `cbor:"12,keyasint,omitempty"`
	GoneAt time.Duration `cbor:"13,keyasint,omitempty"`
}

// DestState is what has one limit, one wait and one health.
type DestState struct {
	ID       uint32        `cbor:"1,keyasint"`
	Health   uint8         `cbor:"2,keyasint"`
	Failed   time.Duration `cbor:"3,keyasint"`
	Since    time.Duration `cbor:"4,keyasint"`
	Wait     time.Duration `cbor:"5,keyasint"`
	Streak   int           `cbor:"6,keyasint"`
	Refused  int           `cbor:"7,keyasint"`
	Resets   int           `cbor:"8,keyasint"`
	RanNot   bool          `cbor:"9,keyasint"`
	Good     MeterState    `cbor:"10,keyasint"`
	Sent     MeterState    `cbor:"11,keyasint"`
	Base     float64       `cbor:"12,keyasint"`
	Tokens   float64       `cbor:"13,keyasint"`
	Limit    float64       `cbor:"14,keyasint"`
	TokensAt time.Duration `cbor:"15,keyasint"`
	Newest   time.Duration `cbor:"16,keyasint"`
	CutAt    time.Duration `cbor:"17,keyasint"`
	ToldAt   time.Duration `cbor:"18,keyasint"`
	Again    time.Duration `cbor:"20,keyasint"`
	InFlight int           `cbor:"21,keyasint"`
	Late     int           `cbor:"22,keyasint"`
	Total    float64       `cbor:"23,keyasint,omitempty"`
	Share    float64       `cbor:"24,keyasint,omitempty"`
	Rest     time.Duration `cbor:"25,keyasint,omitempty"`
	Extra    float64       `cbor:"26,keyasint,omitempty"`
	Flags    uint8         `cbor:"27,keyasint,omitempty"` // down, try, heard, from the lowest bit
}

// GhostState is an endpoint that has left the list.
type GhostState struct {
	ID   uint32 `cbor:"1,keyasint"`
	Zone int    `cbor:"2,keyasint"`
	Node int    `cbor:"3,keyasint"`
}

// CallState is one slot in use, or one that a turn has left room in.
type CallState struct {
	Left int `cbor:"1,keyasint"`
	Room int `cbor:"2,keyasint"`
}

// MessageState is one message.
type MessageState struct {
	ID       uint64        `cbor:"1,keyasint"`
	Seq      uint64        `cbor:"2,keyasint"`
	Key      uint64        `cbor:"3,keyasint,omitempty"`
	Class    int           `cbor:"4,keyasint"`
	Node     int           `cbor:"5,keyasint"`
	Deadline time.Duration `cbor:"6,keyasint"`
	Due      time.Duration `cbor:"7,keyasint"`
	Attempts int           `cbor:"8,keyasint"`
	RanAt    time.Duration `cbor:"9,keyasint,omitempty"`
	RanIn    int64         `cbor:"10,keyasint"` // id of an endpoint; below 0: -1 none, -2 the first of Ghosts
	On       int64         `cbor:"11,keyasint"` // id of an endpoint; -1: none
	SentAt   time.Duration `cbor:"12,keyasint,omitempty"`
	Call     int           `cbor:"13,keyasint"` // place in Calls; -1: none
	Flags    uint8         `cbor:"14,keyasint"` // ended, called, planned, resend, refused, from the lowest bit
	Expected float64       `cbor:"15,keyasint,omitempty"`
	Worth    float64       `cbor:"16,keyasint"`
	Rank     float64       `cbor:"17,keyasint"`
}

// KeyState is the line of one key.
type KeyState struct {
	Key  uint64        `cbor:"1,keyasint"`
	Line []uint64      `cbor:"2,keyasint"`
	Rest time.Duration `cbor:"3,keyasint"`
}

func (t *table) export() TableState {
	return TableState{slices.Clone(t.n), t.total, t.lost, t.at}
}

func (t TableState) restore() table { return table{slices.Clone(t.N), t.Total, t.Lost, t.At} }

func (m meter) export() MeterState  { return MeterState{m.n, m.at, m.since} }
func (m MeterState) restore() meter { return meter{m.N, m.At, m.Since} }
func bit(b bool, bit uint8) uint8   { return map[bool]uint8{true: 1 << bit}[b] }
func ids(list []*message) (all []uint64) {
	for _, m := range list {
		all = append(all, m.id)
	}
	return all
}

// Snapshot returns the sender's state, which shares nothing with it. It must not be called during a Step.
func (s *Sender) Snapshot() *Snapshot {
	x := &Snapshot{Version: SnapshotVersion, Rng: s.rng, Now: s.now, Steps: s.steps, Seq: s.seq, Slots: s.slots, Open: s.open,
		Sick: s.sick, Budget: s.budget, Again: s.again, Starved: s.starved, Wake: s.wake, AskAt: s.askAt, AskGap: s.askGap,
		All: s.all.export()}
	for _, k := range s.kinds {
		x.Kinds = append(x.Kinds, KindState{k.short, k.gap})
	}
	for _, q := range s.quotas {
		x.Quotas = append(x.Quotas, QuotaState{q.left, q.at, q.extra, q.asked.export(), q.rate, q.total})
	}
	if r := s.rights; r != nil {
		x.Rights = &RightsState{r.floor, r.until, r.stays}
	}
	calls, ghosts := map[*call]int{}, map[*endpoint]int64{}
	place := func(c *call) int {
		if c == nil {
			return -1
		}
		n, ok := calls[c]
		if !ok {
			n = len(x.Calls)
			calls[c] = n
			x.Calls = append(x.Calls, CallState{c.left, c.room})
		}
		return n
	}
	for _, n := range s.order {
		ns := NodeState{ID: n.id, Held: ids(n.held), Calls: n.calls, Active: n.active, Asked: n.asked.export(), T: n.t.export(),
			Plan: slices.Clone(n.p.least), Stale: n.stale, At: n.at, Solved: n.solved, Most: n.most}
		for _, d := range n.dests {
			ns.Dests = append(ns.Dests, DestState{d.id, uint8(d.health), d.failed, d.since, d.wait, d.streak, d.refused, d.resets,
				d.ranNot, d.good.export(), d.sent.export(), d.base, d.tokens, d.limit, d.tokensAt, d.newest, d.cutAt, d.toldAt,
				d.again, d.inFlight, d.lateCalls, d.total, d.share, d.rest, d.extra,
				bit(d.down, 0) | bit(d.try, 1) | bit(d.heard, 2)})
		}
		for _, e := range n.eps {
			ns.Endpoints = append(ns.Endpoints, EndpointState{e.id, e.zone, e.kindNo, e.kind, slices.Index(n.dests, e.dest),
				e.state, e.t.export(), e.mix.export(), ids(e.out), e.turn, place(e.call), e.linked, e.goneAt})
		}
		x.Nodes = append(x.Nodes, ns)
	}
	for _, n := range s.active {
		x.Active = append(x.Active, n.id)
	}
	for _, e := range s.linked {
		x.Linked = append(x.Linked, e.id)
	}
	at := func(e *endpoint) int64 {
		if e == nil {
			return -1
		}
		if s.eps[e.id] == e {
			return int64(e.id)
		}
		n, ok := ghosts[e]
		if !ok {
			n = -2 - int64(len(x.Ghosts))
			ghosts[e] = n
			x.Ghosts = append(x.Ghosts, GhostState{e.id, e.zone, e.node.id})
		}
		return n
	}
	all := make([]*message, 0, len(s.msgs))
	for _, m := range s.msgs {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range all {
		class := 0
		for i := range s.set.Classes {
			if m.class == &s.set.Classes[i] {
				class = i
			}
		}
		x.Messages = append(x.Messages, MessageState{m.id, m.seq, m.key, class, m.node.id, m.deadline, m.due, m.attempts, m.ranAt,
			at(m.ranIn), at(m.on), m.sentAt, place(m.call),
			bit(m.ended, 0) | bit(m.called, 1) | bit(m.planned, 2) | bit(m.resend, 3) | bit(m.refused, 4), m.expected, m.worth, m.rank})
	}
	for key, k := range s.keys {
		x.KeyLines = append(x.KeyLines, KeyState{key, ids(k.line), k.rest})
	}
	slices.SortFunc(x.KeyLines, func(a, b KeyState) int { return cmp.Compare(a.Key, b.Key) })
	return x
}

// Restore returns a sender that goes on from a snapshot under the settings that it was taken under. A snapshot of
// another version, or one that does not hold together, is an error.
func Restore(set Settings, x *Snapshot) (*Sender, error) {
	if x.Version != SnapshotVersion {
		return nil, fmt.Errorf("control: a snapshot of version %d, this program reads %d", x.Version, SnapshotVersion)
	}
	s, err := New(set, x.Rng)
	if err != nil {
		return nil, err
	}
	bad := func(t TableState) bool { return len(t.N) != len(s.edges) }
	if bad(x.All) || len(x.Kinds) != len(s.kinds) {
		return nil, errors.New("control: a snapshot under other settings")
	}
	s.now, s.steps, s.seq, s.slots, s.open, s.sick = x.Now, x.Steps, x.Seq, x.Slots, x.Open, x.Sick
	s.budget, s.again, s.starved, s.wake, s.askAt, s.askGap = x.Budget, x.Again, x.Starved, x.Wake, x.AskAt, x.AskGap
	s.all = x.All.restore()
	for i, k := range x.Kinds {
		s.kinds[i] = kindSeen{k.Short, k.Gap}
	}
	for i := range min(len(x.Quotas), len(s.quotas)) {
		q, o := &s.quotas[i], x.Quotas[i]
		q.left, q.at, q.extra, q.asked = o.Left, o.At, o.Extra, o.Asked.restore()
		if o.Rate > 0 || o.Total > 0 {
			q.rate, q.total = o.Rate, o.Total
		}
	}
	if r := x.Rights; r != nil {
		s.rights = &rights{r.Floor, r.Until, r.Stays}
	}
	fault := errors.New("control: a snapshot that does not hold together")
	var calls []*call
	for _, c := range x.Calls {
		calls = append(calls, &call{c.Left, c.Room})
	}
	callAt := func(n int) *call {
		if n < 0 || n >= len(calls) {
			return nil
		}
		return calls[n]
	}
	for _, ns := range x.Nodes {
		n := s.nodeOf(ns.ID)
		n.calls, n.active, n.asked, n.t = ns.Calls, ns.Active, ns.Asked.restore(), ns.T.restore()
		n.p.least, n.stale, n.at, n.solved, n.most = slices.Clone(ns.Plan), ns.Stale, ns.At, ns.Solved, ns.Most
		for _, d := range ns.Dests {
			n.dests = append(n.dests, &destination{id: d.ID, node: n, health: health(d.Health), failed: d.Failed, since: d.Since,
				wait: d.Wait, streak: d.Streak, refused: d.Refused, resets: d.Resets, ranNot: d.RanNot, good: d.Good.restore(),
				sent: d.Sent.restore(), base: d.Base, tokens: d.Tokens, limit: d.Limit, tokensAt: d.TokensAt, newest: d.Newest,
				cutAt: d.CutAt, toldAt: d.ToldAt, again: d.Again, inFlight: d.InFlight, lateCalls: d.Late,
				total: d.Total, share: d.Share, rest: d.Rest, extra: d.Extra, down: d.Flags&1 != 0, try: d.Flags&2 != 0, heard: d.Flags&4 != 0})
		}
		for _, e := range ns.Endpoints {
			if e.Dest < 0 || e.Dest >= len(n.dests) || bad(e.T) || e.KindNo < 0 || e.KindNo >= len(s.kinds) {
				return nil, fault
			}
			o := &endpoint{id: e.ID, zone: e.Zone, kind: e.Kind, kindNo: e.KindNo, node: n, dest: n.dests[e.Dest], state: e.State,
				t: e.T.restore(), mix: e.Mix.restore(), turn: e.Turn, call: callAt(e.Call), linked: e.Linked, goneAt: e.GoneAt}
			n.eps = append(n.eps, o)
			s.eps[e.ID] = o
		}
	}
	for _, id := range x.Active {
		n := s.nodes[id]
		if n == nil {
			return nil, fault
		}
		s.active = append(s.active, n)
	}
	for _, id := range x.Linked {
		e := s.eps[id]
		if e == nil {
			return nil, fault
		}
		s.linked = append(s.linked, e)
	}
	var ghosts []*endpoint
	for _, g := range x.Ghosts {
		n := s.nodes[g.Node]
		if n == nil {
			n = &node{id: g.Node}
		}
		ghosts = append(ghosts, &endpoint{id: g.ID, zone: g.Zone, node: n})
	}
	at := func(n int64) *endpoint {
		if i := int(-2 - n); n <= -2 && i < len(ghosts) {
			return ghosts[i]
		}
		if n < 0 {
			return nil
		}
		return s.eps[uint32(n)]
	}
	for _, m := range x.Messages {
		n := s.nodes[m.Node]
		if n == nil || m.Class < 0 || m.Class >= len(s.set.Classes) {
			return nil, fault
		}
		has := func(bit uint8) bool { return m.Flags>>bit&1 != 0 }
		s.msgs[m.ID] = &message{id: m.ID, seq: m.Seq, key: m.Key, class: &s.set.Classes[m.Class], node: n, deadline: m.Deadline,
			due: m.Due, attempts: m.Attempts, ranAt: m.RanAt, ranIn: at(m.RanIn), on: at(m.On), sentAt: m.SentAt, call: callAt(m.Call),
			ended: has(0), called: has(1), planned: has(2), resend: has(3), refused: has(4), expected: m.Expected, worth: m.Worth, rank: m.Rank}
	}
	list := func(ids []uint64) (all []*message) {
		for _, id := range ids {
			m := s.msgs[id]
			if m == nil {
				err = fault
				return nil
			}
			all = append(all, m)
		}
		return all
	}
	for _, ns := range x.Nodes {
		s.nodes[ns.ID].held = list(ns.Held)
		for i, e := range ns.Endpoints {
			s.nodes[ns.ID].eps[i].out = list(e.Out)
		}
	}
	for _, k := range x.KeyLines {
		s.keys[k.Key] = &keyLine{list(k.Line), k.Rest}
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}
