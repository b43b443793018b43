package control // The interface, with all its types, is in api.go; every decision is here.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Tuned values. None is taken from one deployment; times in the rules come from Settings.
const (
	firstBucket = 0.010                   // s; call times under it share one bucket
	bucketRatio = 1.25                    // of one bucket's time to the next
	halfLife    = 20 * time.Second        // of a count in a table
	enough      = 4.0                     // decayed calls that make a table
	queueCharge = 0.5                     // of the expectation, added by each call in flight ahead
	loadCharge  = 0.1                     // s more for each
	budgetShare = 0.2                     // resends earned by a delivery
	budgetMost  = 10.0                    // resends saved up
	overrun     = 2.5                     // x the 90th percentile: older calls overrun
	overrunMin  = 1.0                     // s; pauses shorter than this are no sign
	hangs       = 3.0                     // x that age at a stopped destination: a safe call is called off
	lingers     = 1.5                     // x that age, and newer calls answered: this one is lost
	overrunSeen = 2500 * time.Millisecond // overrunning for so long is an outage
	tripStreak  = 2                       // failures in a row that stop a destination
	tripResets  = 4                       // resets in a row from which on each is such a failure
	tripRefused = 2                       // refusals in a row, limitRest apart, that do
	tripAfter   = 3 * time.Second         // with nothing delivered for so long
	tripWait    = 2500 * time.Millisecond // a told wait of this length means that it is shut
	rampPush    = 0.9                     // of the multiple that pushes a cold destination over
	rateSpan    = 10 * time.Second
	againPrior  = 4.0  // x the expectation: what a resent message is taken to need at first
	againWeight = 2.0  // s of expectation that this counts for
	againKeep   = 0.95 // of the older resends, with each new one
	gapFirst    = 2.0  // s before the next try after a refusal, in the mean, to begin with
	gapLess     = 0.93 // of it, after a try again that was let in
	gapMore     = 1.05 // after one that was refused again
	gapLeast    = 0.3  // and its bounds
	gapMost     = 6.0
	backMost    = 5                      // refusals in a row up to which that doubles
	limitRest   = 500 * time.Millisecond // between cuts
	limitCut    = 0.85                   // of the learnt limit, or an equal part, after a refusal
	limitGrow   = 0.05                   // of it, each second
	fairMore    = 0.05                   // of the pace, added by a call let in while plenty was left
	fairCut     = 0.5                    // of the own pace, after a refusal there
	askSpan     = 100 * time.Millisecond // left to each sender to ask for the list
	firstCalls  = 30                     // of all to a new destination, until an answer tells its limit
	firstSpan   = 0.010                  // s for each, in which more than that begin with it
	itemWeight  = 0.25                   // of a call, what one more message in it asks of a cold destination
	wakeEvery   = 25 * time.Millisecond
	lastMoment  = 60 * time.Millisecond // less time left than this is none
	capNormal   = 0.75                  // of the slots, for one destination
	capSick     = 0.5                   // of them, for one that is not steady, and for all suspect ones
)

// decay ages the counts to now.
func (t *table) decay(now time.Duration) {
	if now > t.at {
		f := math.Exp2(-float64(now-t.at) / float64(halfLife))
		for i := range t.n {
			t.n[i] *= f
		}
		t.total, t.lost, t.at = t.total*f, t.lost*f, now
	}
}

// add counts a call that took x seconds.
func (t *table) add(now time.Duration, edges []float64, x float64) {
	t.decay(now)
	t.n[min(sort.SearchFloat64s(edges, x), len(edges)-1)]++
	t.total++
}

// addLost counts a call that failed.
func (t *table) addLost(now time.Duration) {
	t.decay(now)
	t.lost, t.total = t.lost+1, t.total+1
}

// addLonger counts a call that was cut off at x: its one count is spread over the slower buckets as
// these stand, or enters the next slower one where they are empty.
func (t *table) addLonger(now time.Duration, edges []float64, x float64) {
	t.decay(now)
	from, tail := min(sort.SearchFloat64s(edges, x)+2, len(edges)-1), 0.0
	for _, v := range t.n[from:] {
		tail += v
	}
	for i := from; i < len(edges) && tail > 0.01; i++ {
		t.n[i] += t.n[i] / tail
	}
	if tail <= 0.01 {
		t.n[from]++
	}
	t.total++
}

// quantile is the time of the bucket in which the share q of the answered calls is reached: failures must
// not make a message look hopeless, or a destination that was down would get no trial any more.
func (t *table) quantile(edges []float64, q float64) float64 {
	sum := 0.0
	for i, v := range t.n {
		if sum += v; sum >= q*(t.total-t.lost) {
			return edges[i]
		}
	}
	return edges[len(edges)-1]
}

// restart is the inner minimum of the paper's recursion for one endpoint, with the time spent charged as
// in its eq. (5): the least over s of sum_{j<=s} c_j p_j + (1 - sum_{j<=s} p_j)(c_s + next), and its s.
// Lost calls cost the slowest time, but no time-out waits for them.
func (t *table) restart(edges []float64, next float64) (best float64, s int) {
	last := len(edges) - 1
	done := t.lost / t.total
	sum := done * edges[last]
	best, s = math.Inf(1), last
	for j, c := range edges {
		p := t.n[j] / t.total
		sum, done = sum+c*p, done+p
		if p == 0 && j < last {
			continue
		}
		cost := sum
		if j < last && done < 1-1e-9 {
			cost += (1 - done) * (c + next)
		}
		// Ties go to the longer wait: a restart that gains nothing costs the destination work.
		if cost <= best+1e-12 {
			best, s = min(best, cost), j
		}
	}
	if sum <= best+1e-12 {
		s = last
	}
	return best, s
}

// plan is E*_l for l = 1.. over the endpoints of one destination; level 0 stands for no attempt left.
type plan struct{ least []float64 }

// solve leaves out the endpoints that take nothing now: a call must not be cut for the sake of one that is
// faster, but shut. It hurts where that one opens again in the meantime.
func (p *plan) solve(edges []float64, eps []*endpoint, levels int, penalty float64, now time.Duration) {
	p.least = append(p.least[:0], math.Inf(1))
	takes := func(e *endpoint) bool {
		return e.known() && e.state == Ready && e.dest.wait <= now && e.dest.again <= now
	}
	all := !slices.ContainsFunc(eps, takes) // none does: as if all did
	for l := 1; l <= levels; l++ {
		best := math.Inf(1)
		for _, e := range eps {
			if takes(e) || all && e.known() && e.state == Ready {
				c, _ := e.mix.restart(edges, penalty*p.least[l-1])
				best = min(best, c)
			}
		}
		p.least = append(p.least, best)
	}
}

func (e *endpoint) known() bool { return e.mix.total >= enough-1e-6 }

// pool is the one rule for evidence from near to far: an endpoint's own calls, then those of its destination,
// then all calls of this sender as a shape at that destination's pace. What is farther fills up only what the
// nearer lacks of a table: the recursion decides also where an endpoint is called once an hour.
func (s *Sender) pool(n *node) {
	n.t.decay(s.now)
	shift := 0
	if s.all.total >= enough {
		apart := math.Log(n.t.quantile(s.edges, 0.5)/s.all.quantile(s.edges, 0.5)) / math.Log(bucketRatio)
		shift = int(math.Round(apart * n.t.total / (n.t.total + enough)))
	}
	for _, e := range n.eps {
		e.t.decay(s.now)
		lack := max(0, enough-e.t.total)
		near := min(1, lack/max(n.t.total, 1e-9))
		far := max(0, lack-n.t.total) / max(s.all.total, enough)
		e.mix = table{n: append(e.mix.n[:0], e.t.n...), lost: e.t.lost + near*n.t.lost,
			total: e.t.total + near*n.t.total + far*s.all.total}
		for i, v := range s.all.n {
			e.mix.n[i] += near * n.t.n[i]
			e.mix.n[min(max(i+shift, 0), len(s.edges)-1)] += far * v
		}
	}
}

func (m *meter) add(now time.Duration, k float64) {
	m.n = m.n*math.Exp(-float64(now-m.at)/float64(rateSpan)) + k
	m.at = now
}

func (m *meter) rate(now time.Duration) float64 {
	n := m.n * math.Exp(-float64(now-m.at)/float64(rateSpan))
	return n / (rateSpan.Seconds() * (1 - math.Exp(-float64(now-m.since+time.Second)/float64(rateSpan))))
}

// New returns a sender that knows nothing but its settings.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	longest := time.Second
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	s := &Sender{set: set, longest: longest, rng: seed, nodes: map[int]*node{}, eps: map[uint32]*endpoint{},
		msgs: map[uint64]*message{}, keys: map[uint64]*keyLine{},
		kinds: slices.Repeat([]kindSeen{{gap: gapFirst}}, len(set.Kinds)+1), budget: budgetMost / 2}
	for e := firstBucket; ; e *= bucketRatio {
		s.edges = append(s.edges, e)
		if e > longest.Seconds() {
			break
		}
	}
	s.all.n = make([]float64, len(s.edges))
	for _, t := range set.Tenants {
		s.quotas = append(s.quotas, quota{rate: t.Quota / float64(set.Peers), left: 1e18, total: t.Quota})
	}
	return s, nil
}

// Step takes what has happened by now and appends what is to be done to out. A clock that goes back is
// taken as standing still.
func (s *Sender) Step(now time.Duration, events []Event, out []Action) []Action {
	s.now, s.out, s.steps = max(s.now, now), out, s.steps+1
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case Listed:
			s.listed(ev)
		case ListFailed:
			s.askLater()
		case Arrived:
			s.arrived(ev)
		case Resolved:
			s.resolved(ev)
		case Withdrawn:
			s.gone(ev)
		case SharedLimitsUpdated:
			s.shared(ev.Shared)
		}
	}
	if s.steps == 1 && s.set.MustSubscribe { // what is listed now is known from before
		s.askLater()
	}
	if s.askAt > 0 && s.now+1 >= s.askAt { // askAt is one late, as 0 means none
		s.askAt = 0
		s.do(Action{Kind: Subscribe})
	}
	s.watch()
	s.dispatch()
	if (s.open > 0 || s.askAt > 0) && s.wake <= s.now {
		s.wake = s.now + wakeEvery
		s.do(Action{Kind: Wake, At: s.wake})
	}
	out, s.out = s.out, nil
	return out
}

// askLater puts off the request for the list. One service answers all senders, one by one, none in time if
// all ask at the event that makes them ask: each has its turn, and asks again when all have had theirs.
func (s *Sender) askLater() {
	most, peers := max(s.set.SubscribeWithin*3/4, time.Second), time.Duration(s.set.Peers)
	if all := min(askSpan*peers, most); s.askGap == 0 {
		s.askAt, s.askGap = s.now+1+all*time.Duration(s.set.Index)/peers, max(all, limitRest)
	} else {
		s.askAt, s.askGap = s.now+seconds(s.askGap.Seconds()*(0.9+s.rand()/10)), min(2*s.askGap, most)
	}
}

// listed takes over the list. What has left it is only marked at first, since calls to it may be out.
func (s *Sender) listed(ev *Event) {
	s.askAt, s.askGap = 0, 0
	if ev.Complete {
		for _, n := range s.order {
			for _, e := range n.eps {
				e.state = Removed
			}
		}
	}
	for _, l := range ev.Endpoints {
		e := s.eps[l.ID]
		if e == nil {
			e = s.learn(l)
		}
		e.state, e.node.stale, e.node.most = l.State, true, l.MaxRate
		if l.Weight > 0 && e.dest.toldAt == 0 { // known before the first report
			e.dest.total, e.dest.share = l.Weight, 1
		}
	}
	s.order = slices.DeleteFunc(s.order, func(n *node) bool {
		n.eps = slices.DeleteFunc(n.eps, s.left)
		n.dests = slices.DeleteFunc(n.dests, func(d *destination) bool {
			return !slices.ContainsFunc(n.eps, func(e *endpoint) bool { return e.dest == d })
		})
		if len(n.eps) > 0 || len(n.held) > 0 || n.active {
			return false
		}
		delete(s.nodes, n.id)
		return true
	})
}

// left calls back what is still on its way to an endpoint that is no longer ready, and tells whether the
// endpoint can be forgotten: it is long gone, no call to it is out and no wait binds.
func (s *Sender) left(e *endpoint) bool {
	if e.state != Ready {
		s.recall(e)
	}
	switch {
	case e.state != Removed:
		e.goneAt = 0
	case e.goneAt == 0:
		e.goneAt = s.now
	case s.now-e.goneAt > s.longest && len(e.out) == 0 && e.dest.wait <= s.now:
		delete(s.eps, e.id)
		s.linked = slices.DeleteFunc(s.linked, func(o *endpoint) bool { return o == e })
		return true
	}
	return false
}

// recall calls back what is on its way to e: a connection that comes up slowly must not carry a call to an
// endpoint that has meanwhile told to wait, or is to get nothing new.
func (s *Sender) recall(e *endpoint) {
	for _, m := range e.out {
		s.do(Action{Kind: Recall, ID: m.id})
	}
}

func (s *Sender) learn(l Endpoint) *endpoint {
	n := s.nodeOf(l.Destination)
	if len(n.eps) == 0 {
		n.asked.since = s.now
		n.t.n = make([]float64, len(s.edges))
	}
	e := &endpoint{id: l.ID, zone: l.Zone, kind: Kind{PerCall: 1}, node: n}
	if l.Kind >= 0 && l.Kind < len(s.set.Kinds) {
		e.kind, e.kindNo = s.set.Kinds[l.Kind], l.Kind
	}
	e.t = table{n: make([]float64, len(s.edges)), at: s.now}
	if e.kind.SeparateRoutes || len(n.eps) == 0 {
		e.dest = &destination{id: e.id, node: n, tokens: 1, good: meter{since: s.now}}
		e.dest.sent = e.dest.good
		if e.dest.tokensAt = s.now; s.set.Peers > firstCalls {
			e.dest.tokensAt += seconds(s.rand() * firstSpan * float64(s.set.Peers))
		}
		n.dests = append(n.dests, e.dest)
	} else {
		e.dest = n.eps[0].dest
	}
	n.eps = append(n.eps, e)
	s.eps[l.ID] = e
	return e
}

func (s *Sender) arrived(ev *Event) {
	if s.msgs[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(s.set.Classes) {
		return
	}
	n := s.nodeOf(ev.Destination)
	s.seq++
	m := &message{id: ev.ID, seq: s.seq, class: &s.set.Classes[ev.Class], key: ev.Key,
		node: n, deadline: ev.Deadline, worth: s.set.Classes[ev.Class].Value, attempts: ev.Attempt}
	m.due = m.deadline - m.class.Deadline + m.class.LatencyTarget
	if s.set.MarksResubmitted && !ev.Resubmitted { // a client with less patience than its class is not late yet
		m.due = max(m.due, min(s.now+m.class.LatencyTarget, m.deadline))
	}
	sent := min(s.now, m.deadline-m.class.Deadline) // what was held over a restart came long ago
	if ev.Tenant >= 0 && ev.Tenant < len(s.quotas) && !s.quotas[ev.Tenant].takes(sent) {
		m.worth *= s.set.OverQuotaValue
	}
	if ev.MayHaveRun {
		if m.ranAt, m.ranIn, m.resend = ev.RanAt, s.eps[ev.Endpoint], true; m.ranIn == nil {
			m.ranIn = &endpoint{id: ev.Endpoint, zone: -1, node: n}
		}
	}
	s.msgs[m.id] = m
	s.open++
	if m.class.InOrder && m.key != 0 {
		k := s.keys[m.key]
		if k == nil {
			k = &keyLine{}
			s.keys[m.key] = k
		}
		k.line = append(k.line, m)
	}
	n.held = append(n.held, m)
	n.asked.add(s.now, 1)
	if !n.active {
		n.active, s.active = true, append(s.active, n)
	}
	if s.set.MaxOpen > 0 && s.open > s.set.MaxOpen-1-s.set.MaxOpen/32 {
		s.shed()
	}
}

// takes tells whether a message sent at that time is within the share; clumps of a second's worth are.
func (q *quota) takes(at time.Duration) bool {
	at = max(at, q.at)
	q.asked.add(at, 1)
	q.left, q.at = min(max(1, q.rate), q.left+q.rate*(at-q.at).Seconds()), at
	if q.left < 1 {
		return false
	}
	q.left--
	return true
}

// shed refuses the held message that is worth least, so that the store never turns a better one away. Value
// counts at the deadline at the latest: a long wait would level all.
func (s *Sender) shed() {
	var least *message
	for _, n := range s.active {
		q := s.drainTime(n)
		for _, m := range n.held {
			m.rank = m.value(min(s.now+q, m.deadline), s.set.ValueHalves)
			if m.ranIn == nil && (least == nil || m.rank < least.rank) {
				least = m
			}
		}
	}
	if least != nil {
		s.unhold(least)
		s.end(least)
	}
}

// value is what a message earns if it is delivered at t.
func (m *message) value(t time.Duration, halves bool) float64 {
	c := m.class
	late := t - m.due
	switch {
	case t > m.deadline:
		return 0
	case late <= 0 || c.Deadline <= c.LatencyTarget:
		return m.worth
	case halves && c.LatencyTarget > 0:
		return m.worth * max(math.Exp2(-float64(late)/float64(c.LatencyTarget)), c.LateValue)
	}
	return m.worth * (1 - (1-c.LateValue)*float64(late)/float64(c.Deadline-c.LatencyTarget))
}

// drainTime is about how long what is held for n takes to leave.
func (s *Sender) drainTime(n *node) time.Duration {
	rate := 0.0
	for _, d := range n.dests {
		rate += max(d.good.rate(s.now), d.base)
	}
	return seconds(float64(len(n.held)+1) / max(rate, 0.5))
}

// perSlot is about how many messages for n a slot delivers in a second: where slots are short worth goes
// by it. A call that no later one has overtaken takes its age at least: what has just slowed down, whatever
// the cause, does not keep the slots from the others. It hurts those that are slow for good.
func (s *Sender) perSlot(n *node) float64 {
	took, room := 1.0, 1
	if len(n.p.least) > 1 && !math.IsInf(n.p.least[1], 1) {
		took = n.p.least[1]
	} else if s.all.total >= enough {
		took = s.all.quantile(s.edges, 0.5)
	}
	for _, e := range n.eps {
		if len(e.out) > 0 && e.out[0].sentAt >= e.dest.newest {
			took = max(took, (s.now - e.out[0].sentAt).Seconds())
		}
		room = e.kind.PerCall
	}
	return float64(max(1, min(room, len(n.held)))) / took
}

// end gives a message that has no attempt out its one final answer: a refusal where the rules allow it,
// with the time after which it is worth coming again, else a failure.
func (s *Sender) end(m *message) {
	if m.ranIn == nil || m.class.Effect == Safe || m.class.Effect == Keyed && m.class.Group == GroupAll {
		hold := s.drainTime(m.node)
		for _, d := range m.node.dests {
			hold = max(hold, d.wait-s.now)
		}
		s.do(Action{Kind: Refuse, ID: m.id, For: min(hold, s.set.MaxRetryAfter)})
	} else {
		s.do(Action{Kind: Fail, ID: m.id})
	}
	s.close(m)
}

// close marks a message as answered and forgets it once no attempt is out.
func (s *Sender) close(m *message) {
	if !m.ended {
		m.ended = true
		s.open--
	}
	if m.on != nil {
		return
	}
	delete(s.msgs, m.id)
	if k := s.keys[m.key]; k != nil && m.class.InOrder && m.key != 0 {
		if k.line = without(k.line, m); len(k.line) == 0 && k.rest <= s.now {
			delete(s.keys, m.key)
		}
	}
}

func (s *Sender) gone(ev *Event) {
	m := s.msgs[ev.ID]
	if m == nil || m.ended {
		return
	}
	s.unhold(m)
	if m.on != nil && s.set.Cancel {
		s.callOff(m)
	}
	s.close(m)
}

// resolved takes the outcome of an attempt: it frees its slot, teaches table and destination, and ends the
// message, holds it for another attempt, or forgets it.
func (s *Sender) resolved(ev *Event) {
	m := s.msgs[ev.ID]
	if m == nil || m.on == nil || ev.Attempt != m.attempts-1 {
		return
	}
	e, d := m.on, m.on.dest
	m.on = nil
	e.out = without(e.out, m)
	d.inFlight--
	if m.call.left--; m.call.left == 0 {
		s.slots--
		e.node.calls--
	}
	s.teach(m, e, ev)
	s.unlink(e)
	neverRan := ev.Result.NeverRan()
	if !neverRan && ev.Result != Delivered && m.ranIn == nil {
		m.ranAt, m.ranIn = m.sentAt, e
	}
	doubt := !neverRan && ev.Result != Delivered && ev.Result != Errored
	if k := s.keys[m.key]; k != nil && m.class.InOrder && doubt {
		k.rest = s.now + s.set.InDoubtDelay
	}
	if over := ev.Final || ev.Result == Delivered || m.ended; over || ev.Result == Rejected {
		if !over {
			s.do(Action{Kind: Fail, ID: m.id})
		}
		s.close(m)
		return
	}
	m.resend = !neverRan
	if m.attempts >= s.set.MaxAttempts || m.ranIn != nil && m.class.Effect == Unsafe || s.spent(m) {
		s.end(m)
		return
	}
	m.node.held = append(m.node.held, m)
}

// unlink closes an idle connection at a kind of which a connect has failed of late: idle connections of many
// senders fill an endpoint that takes few, and whoever is refused one takes it for an outage. It covers full
// tables at restarts too, and hurts by handshakes after a plain crash.
func (s *Sender) unlink(e *endpoint) {
	switch idle := s.set.ConnIdle.Seconds(); {
	case len(e.out) > 0 || idle == 0:
	case s.kinds[e.kindNo].short > s.now:
		s.do(Action{Kind: Close, Endpoint: e.id})
		e.linked = false
	case !e.linked:
		e.linked, s.linked = true, append(s.linked, e)
	}
}

// crowded notes a failed connect: what is idle at endpoints of that kind is closed at once.
func (s *Sender) crowded(e *endpoint) {
	s.kinds[e.kindNo].short = s.now + 2*s.set.ConnIdle
	s.linked = slices.DeleteFunc(s.linked, func(o *endpoint) bool {
		if o.linked && o.kindNo == e.kindNo {
			s.unlink(o)
		}
		return !o.linked
	})
}

// back counts a refusal of any sort, unless it belongs with the last, and puts off the next try at d: the
// time doubles with each refusal in a row, and chance keeps hundreds from coming back together.
func (s *Sender) back(d *destination, k *kindSeen) bool {
	if s.now-d.cutAt < limitRest {
		return false
	}
	d.cutAt = s.now
	d.refused++
	gap := min(k.gap, max(limitRest.Seconds(), 1/d.sent.rate(s.now)))
	d.again = s.now + seconds(gap*math.Exp2(float64(min(d.refused, backMost)-1))*(0.5+s.rand()))
	return true
}

// spent tells whether a held message's time or window leaves less than its fastest endpoint's median call.
func (s *Sender) spent(m *message) bool {
	best := 0.0
	for _, e := range m.node.eps {
		if q := e.mix.quantile(s.edges, 0.5); e.state == Ready && e.known() && (best == 0 || q < best) {
			best = q
		}
	}
	need, limit := max(lastMoment, seconds(best)), m.deadline
	if m.ranIn != nil && m.class.Effect == Keyed {
		limit = min(limit, m.ranAt+m.class.Memory)
	}
	return limit-s.now < need
}

// teach enters an outcome into the endpoint's table and into what is observed of its destination.
func (s *Sender) teach(m *message, e *endpoint, ev *Event) {
	d, took := e.dest, (s.now - m.sentAt).Seconds()
	if m.expected > 0 && (ev.Result == Delivered || ev.Result == TimedOut) {
		s.again[0], s.again[1] = s.again[0]*againKeep+took, s.again[1]*againKeep+m.expected
	}
	e.node.stale = true
	if ev.Reported && ev.Limit > 0 {
		s.report(d, ev)
	}
	// How soon a try again is let in tells whether refused calls use up the limit, and how many others try.
	if k := &s.kinds[e.kindNo]; m.refused && ev.Result == Throttled {
		k.gap = min(gapMost, k.gap*gapMore)
	} else if m.refused && ev.Result == Delivered {
		k.gap = max(gapLeast, k.gap*gapLess)
	}
	m.refused = ev.Result == Throttled
	switch ev.Result {
	case Delivered:
		if m.ranIn == nil || took >= e.mix.quantile(s.edges, 0.1) {
			// One that has run before may be answered at once when it comes again: no call takes so little.
			e.t.add(s.now, s.edges, took)
			e.node.t.add(s.now, s.edges, took)
			s.all.add(s.now, s.edges, took)
		}
		d.newest = max(d.newest, m.sentAt)
		d.good.add(s.now, 1)
		s.budget = min(budgetMost, s.budget+budgetShare)
		s.fine(d)
	case NotProcessed, Cancelled:
	case Rejected: // it answers, so it is up
		s.fine(d)
	case Malformed: // so it does here, in its usual time
		e.t.add(s.now, s.edges, took)
		e.node.t.add(s.now, s.edges, took)
		d.newest = max(d.newest, m.sentAt)
		s.fine(d)
	case Throttled:
		if d.wait = max(d.wait, s.now+ev.RetryAfter); ev.RetryAfter > 0 {
			d.rest = min(ev.RetryAfter, tripWait) // what it would have told others, too
			for _, o := range e.node.eps {
				if o.dest == d {
					s.recall(o)
				}
			}
		}
		s.cut(d, &s.kinds[e.kindNo])
		s.fail(d, true)
	case TimedOut:
		e.t.addLonger(s.now, s.edges, took)
		e.node.t.addLonger(s.now, s.edges, took)
		if took >= s.overrunAt(e) {
			d.streak++
			s.fail(d, false)
		}
	case NoConnection: // turned away at once it may be a full table of connections; one alone tells little
		e.t.addLost(s.now)
		if d.streak++; took < overrunMin {
			s.crowded(e)
			s.back(d, &s.kinds[e.kindNo])
		}
		s.fail(d, took < overrunMin)
		d.ranNot = true
	case Reset: // of one connection: where the destination is down the next fail to connect, or are reset too
		e.t.addLost(s.now)
		e.node.t.addLost(s.now)
		if d.resets++; d.resets >= tripResets {
			d.streak++
			s.fail(d, false)
		}
	default:
		e.t.addLost(s.now)
		e.node.t.addLost(s.now)
		d.streak++
		s.fail(d, false)
	}
}

// cut takes a refusal as the sign of a limit that is shared with peers: what this sender lately got
// accepted is its part, and it stays a little under that and probes upwards slowly. Where refused calls use
// up the limit, asking more gets less: of a reported limit all fall back to equal parts, then to what even a
// cold destination takes, each from a moment of its own after the wait, told to it or not.
func (s *Sender) cut(d *destination, k *kindSeen) {
	if !s.back(d, k) {
		return
	}
	had := min(d.sent.rate(s.now), cmp.Or(d.limit, math.Inf(1)))
	if fair := s.fair(d, d.total); fair > 0 { // it may be shut, and come back cold
		cold := rampPush * s.set.OverloadMultiple * s.set.SlowStartShare
		d.limit = max(fairCut*had, fair*max(cold, limitCut*math.Pow(fairCut, float64(d.refused-1))))
		d.tokens, d.tokensAt = s.rand()-0.5, max(s.now+d.rest, d.wait)
		return
	}
	least := 1 / (k.gap * math.Exp2(float64(min(d.refused, backMost))))
	d.limit = max(limitCut*had, min(had, d.good.rate(s.now)), least)
	d.tokens = -s.rand() / 2 // hundreds that were refused together must not come back together
}

// report takes a report of the limit. The pace is an equal part, since all senders see the same and act on it
// together; with plenty left it grows a little with each call, with little left it yields.
func (d *destination) report(now time.Duration, share, limit, fair float64) {
	d.total, d.share, d.limit = limit, share, min(limit, cmp.Or(d.limit, fair))
	switch dt := min(1, (now - d.toldAt).Seconds()); {
	case share > 0.5: // traffic is uneven: those with more to send than an equal part need more
		more := min(fairMore, 0.5*dt) + 2*fairMore*dt*float64(min(1, len(d.node.held)))
		d.limit = min(limit, max(fair, d.limit*(1+more)))
	case share < 0.2:
		d.limit *= 1 - 0.2*dt
	}
	d.toldAt = now
}

// fine takes a delivery. A stopped destination that delivers is returning, and cold.
func (s *Sender) fine(d *destination) {
	d.streak, d.resets, d.refused, d.again = 0, 0, 0, 0
	switch d.health {
	case overrunning:
		s.turn(d, steady)
	case stopped:
		d.tokens, d.tokensAt = s.rand(), s.now
		s.turn(d, returning)
		d.since -= (s.now - d.failed) / 2 // it came back at some time between
	}
}

// fail takes a failure or a refusal that may mean an outage. At a destination that hundreds call each of them
// sees one or two calls: one failure is enough where nothing delivered of late speaks against it, and two
// refusals in a row, since a limit refuses some calls and a destination that is shut refuses all. Where the
// limit is reported as used up no number of refusals means an outage.
func (s *Sender) fail(d *destination, ranNot bool) {
	d.ranNot, d.failed, d.heard = ranNot, s.now, false
	many := tripRefused + int(tripAfter.Seconds()*min(1, d.sent.rate(s.now)))
	silent := s.now-d.newest > tripAfter && (d.streak > 0 && !ranNot ||
		d.refused >= many && (d.total == 0 || d.share > 0.5))
	switch {
	case d.health == stopped:
		d.tokens = 2*s.rand() - 1
	case silent || d.streak >= tripStreak || d.wait > s.now+tripWait,
		d.health == returning && d.streak > 0: // it is the first to fail again, or has not come back
		s.doubt(d, stopped)
	}
}

// doubt lets only trials go to d. The first comes at a time of its own at each of the senders.
func (s *Sender) doubt(d *destination, h health) {
	if d.health == steady {
		d.base = max(d.good.rate(s.now), d.base/2)
	}
	d.tokens, d.tokensAt, d.failed = 2*s.rand()-1, s.now, s.now
	s.turn(d, h)
}

func (s *Sender) turn(d *destination, h health) {
	d.health, d.since = h, s.now
	if h == stopped || h == returning {
		s.do(Action{Kind: Log, Text: fmt.Sprintf("destination %d (endpoint %d) is %s (streak %d, refused %d)",
			d.node.id, d.id, healthText[h], d.streak, d.refused)})
	}
}

// overrunAt is the age in seconds at which a call to e is overrunning.
func (s *Sender) overrunAt(e *endpoint) float64 {
	if !e.known() {
		return 3 * overrunMin
	}
	return max(overrunMin, overrun*e.mix.quantile(s.edges, 0.9))
}

// watch finds the destinations whose calls in flight overrun. Like all that each Step does it looks only at
// those for which something is held or out, however many the list names.
func (s *Sender) watch() {
	s.active = slices.DeleteFunc(s.active, func(n *node) bool {
		n.active = len(n.held) > 0 || n.calls > 0
		return !n.active
	})
	s.relieve()
	for _, n := range s.active {
		for _, d := range n.dests {
			d.lateCalls = 0
		}
		for _, e := range n.eps {
			for _, m := range e.out {
				age, bound := (s.now - m.sentAt).Seconds(), s.overrunAt(e)
				if age > bound && m.sentAt >= e.dest.newest {
					e.dest.lateCalls++
				}
				// A safe one would wait for its deadline there, also when its destination is back.
				if m.class.Effect == Safe && e.dest.health == stopped && age > hangs*bound && s.set.Cancel &&
					!m.called && !m.ended && m.attempts < s.set.MaxAttempts {
					s.callOff(m)
				}
			}
		}
		for _, d := range n.dests {
			switch {
			case d.health == steady && d.lateCalls > 0:
				s.doubt(d, overrunning)
			case d.health == overrunning && d.lateCalls == 0,
				d.health == returning && s.now-d.since > s.set.SlowStart:
				s.turn(d, steady)
			case d.health == overrunning && s.now-d.since > overrunSeen:
				s.doubt(d, stopped)
			}
		}
	}
}

// relieve guards the slots: sick destinations together hold at most half. While a message waits for nothing
// but a slot, one call is called off, that which loses least by it: one that overruns at a sick destination
// when these hold too much, or one that lingers far past its time where newer ones are answered (an answer
// lost on the way). It hurts where that call would have been answered yet.
func (s *Sender) relieve() {
	crowded := s.sick > max(1, int(capSick*float64(s.set.Slots)))
	s.sick = 0
	var w *message
	for _, n := range s.active {
		for _, e := range n.eps {
			limit := math.Inf(1) // a hang may answer at its end
			if len(e.out) > 0 && !e.dest.suspect() {
				limit = lingers * s.overrunAt(e)
			} else if len(e.out) > 0 && crowded {
				limit = s.overrunAt(e)
			}
			for i, m := range e.out {
				if e.dest.suspect() && (i == 0 || e.out[i-1].call != m.call) {
					s.sick++
				}
				lost := (s.now-m.sentAt).Seconds() > limit && (e.dest.suspect() || m.sentAt < e.dest.newest)
				if lost && !m.called && !m.ended && (w == nil ||
					cmp.Or(cmp.Compare(m.class.Effect, w.class.Effect), cmp.Compare(w.worth, m.worth)) > 0) {
					w = m
				}
			}
		}
	}
	if s.starved && w != nil && s.set.Cancel {
		s.callOff(w)
	}
}

// suspect tells whether only trials go to d.
func (d *destination) suspect() bool { return d.health == stopped || d.health == overrunning }

// pace tells whether the destination's pace lets a call go now: the learnt limit, and around an outage this
// sender's own pace times what a cold destination takes. While it is stopped that is what it takes at its
// return, whenever that comes: the trials of all senders together push nothing over, however many they are,
// since each makes them in proportion to its own traffic.
func (s *Sender) pace(d *destination) bool {
	if s.now < d.again && !d.suspect() || s.now < d.tokensAt {
		return false
	}
	rate, depth := d.limit, 1+0.3*d.limit
	if d.health != steady {
		back := s.set.SlowStartShare
		if d.health == returning && s.set.SlowStart > 0 {
			back += (1 - back) * min(1, float64(s.now-d.since)/float64(s.set.SlowStart))
		}
		held := float64(len(d.node.held)) / (2 * rateSpan.Seconds())
		own := max(d.node.asked.rate(s.now), held) / float64(len(d.node.dests))
		switch part := s.fair(d, d.total); {
		case part > 0 && d.health == returning: // however much waits
			own = part
		case part > 0 && d.share <= 0.5: // what is asked may be more than it takes when it is well
			own = min(own, part)
		}
		r := max(own, d.base, 1/float64(s.set.Peers)) * max(1, rampPush*s.set.OverloadMultiple) * max(back, 0.1)
		if d.suspect() {
			if rate, depth = r, 2; d.streak == 0 { // a limit that refused calls use up is left alone
				rate *= math.Exp2(-float64(min(max(d.refused-tripRefused, 0), backMost)))
			}
		} else if rate == 0 || r < rate {
			rate, depth = r, 1
		}
	}
	if top := s.top(d); !math.IsInf(top, 1) {
		rate, depth = min(cmp.Or(rate, top), top), min(depth, 1+2*wakeEvery.Seconds()*top)
	}
	if rate == 0 {
		d.tokens, d.tokensAt = 1, s.now
		return d.inFlight < max(1, firstCalls/s.set.Peers) || d.newest+d.failed > 0
	}
	dt := (s.now - d.tokensAt).Seconds()
	d.tokens, d.tokensAt = min(depth, d.tokens+rate*dt), s.now
	d.limit *= 1 + limitGrow*dt*min(1, firstCalls/3/float64(s.set.Peers)) // the more, the later it shows
	return d.tokens >= 1
}

// may is the one gate: whether m may be sent to e now. It keeps all six rules, whatever health says.
func (s *Sender) may(m *message, e *endpoint) bool {
	d := e.dest
	switch c := m.class; {
	case m.ended || m.on != nil || m.attempts >= s.set.MaxAttempts || m.deadline <= s.now, // no message lost
		e.state != Ready, d.wait > s.now: // drains and waits
		return false
	case m.ranIn == nil:
	case c.Effect == Unsafe, m.resend && s.budget < 1, // no effect twice
		c.Effect == Keyed && (s.now >= m.ranAt+c.Memory || c.Group == GroupZone && e.zone != m.ranIn.zone ||
			c.Group == GroupEndpoint && e != m.ranIn):
		return false
	}
	if m.class.InOrder && m.key != 0 { // order
		k := s.keys[m.key]
		if k.line[0] != m || m.attempts == 0 && k.rest > s.now {
			return false
		}
	}
	if e.turn != s.steps || e.call == nil || e.call.room == 0 {
		most := int(capNormal * float64(s.set.Slots))
		if d.health != steady || d.lateCalls > 0 {
			most = int(capSick * float64(s.set.Slots))
		}
		s.starved = s.starved || s.slots >= s.set.Slots && !d.suspect()
		if s.slots >= s.set.Slots || e.node.calls >= max(1, most) || !s.pace(d) {
			return false
		}
	}
	slots := float64(s.set.Slots)
	free := s.slots < int(capNormal*slots) || s.sick < max(1, int(capSick*slots))
	return !d.suspect() || free && s.mayTry(m, d)
}

// mayTry lets one trial at a time go to a suspect destination, a message that may be repeated if one is held.
func (s *Sender) mayTry(m *message, d *destination) bool {
	if d.inFlight > d.lateCalls {
		return false
	}
	free := func(h *message) bool { return h.class.Effect != Unsafe }
	return free(m) || !slices.ContainsFunc(m.node.held, free) && (d.ranNot || d.tokens >= 1.5)
}

// dispatch ends the held messages that have too little time left, and sends what may go, that which would
// lose most by going last first.
func (s *Sender) dispatch() {
	s.picks, s.starved = s.picks[:0], false
	for _, n := range s.active {
		q, per := s.drainTime(n), s.perSlot(n)
		n.held = slices.DeleteFunc(n.held, func(m *message) bool {
			if s.spent(m) || m.attempts >= s.set.MaxAttempts {
				s.end(m)
				return true
			}
			m.rank = (m.value(s.now, s.set.ValueHalves) - m.value(s.now+q, s.set.ValueHalves)) * per
			s.picks = append(s.picks, m)
			return false
		})
	}
	slices.SortFunc(s.picks, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.seq, b.seq))
	})
	for _, m := range s.picks {
		s.route(m)
	}
}

// route sends m by the plan to the best endpoint that the gate lets it go to, if there is one.
func (s *Sender) route(m *message) {
	n := m.node
	var to *endpoint
	least, stop := math.Inf(1), -1
	for _, e := range n.eps {
		if !s.may(m, e) {
			continue
		}
		if n.stale || s.now-n.at > time.Second {
			n.stale, n.at, n.solved = false, s.now, 0
			s.pool(n)
		}
		if n.solved != s.steps {
			n.solved = s.steps
			n.p.solve(s.edges, n.eps, s.set.MaxAttempts, s.penalty(), s.now)
		}
		cost, at := 0.0, -1
		if e.known() {
			left := s.set.MaxAttempts - m.attempts
			if m.class.Effect == Unsafe {
				left = 1
			}
			cost, at = e.mix.restart(s.edges, s.penalty()*n.p.least[left-1])
		}
		// Chance decides where nothing is known: hundreds must not all begin with the same endpoint.
		cost = cost*(1+queueCharge*float64(len(e.out))) + s.price(m, e) +
			loadCharge*(float64(len(e.out))+s.rand()/(1+e.t.total))
		if cost < least {
			to, least, stop = e, cost, at
		}
	}
	if to != nil {
		s.send(m, to, stop)
	}
}

// penalty is how many times longer than the plan expected the resent messages took. The paper assumes
// independent attempts; where a message is slow of itself, a restart repeats its work, and this keeps the
// plan from restarting for nothing.
func (s *Sender) penalty() float64 {
	return max(1, (s.again[0]+againPrior*againWeight)/(s.again[1]+againWeight))
}

// price is what the way to e costs, as seconds of delay that would lose as much.
func (s *Sender) price(m *message, e *endpoint) float64 {
	p := 0.0
	if e.zone != s.set.Zone {
		p += s.set.CrossZonePrice
	}
	if e.kind.SeparateRoutes && e.zone >= 0 && e.zone < len(s.set.ZoneFee) {
		p += s.set.ZoneFee[e.zone]
	}
	c := m.class
	return min(1, p*(c.Deadline-c.LatencyTarget).Seconds()/max(1-c.LateValue, 0.1))
}

func (s *Sender) send(m *message, e *endpoint, stop int) {
	d, last := e.dest, m.deadline-s.now
	window := m.deadline // a keyed message is cut only where a second call as long fits into its window
	if m.class.Effect == Keyed && m.ranIn != nil {
		window = min(window, m.ranAt+m.class.Memory)
	} else if m.class.Effect == Keyed {
		window = min(window, s.now+m.class.Memory)
	}
	if m.class.Effect != Unsafe && stop >= 0 && stop < len(s.edges)-1 && s.budget >= 1 &&
		s.now+2*seconds(s.edges[stop]) < window {
		last = min(last, seconds(s.edges[stop]))
	}
	if m.class.Effect == Safe && d.health == stopped {
		last = min(last, seconds(2*s.overrunAt(e)))
	}
	cut := m.planned // by the plan, at a steady destination: only such a resend tells whether restarts help
	m.expected, m.called, m.planned = 0, false, last < m.deadline-s.now && d.health == steady
	if m.resend {
		s.budget--
		if p := e.node.p.least; cut && len(p) > 0 && !math.IsInf(p[len(p)-1], 1) {
			m.expected = p[len(p)-1]
		}
	}
	s.unhold(m)
	if e.turn == s.steps && e.call != nil && e.call.room > 0 {
		e.call.room--
		e.call.left++
		if d.health == returning {
			d.tokens -= itemWeight
		}
	} else {
		e.turn, e.call = s.steps, &call{left: 1, room: e.kind.PerCall - 1}
		s.slots++
		e.node.calls++
		d.tokens--
	}
	m.call, m.on, m.sentAt = e.call, e, s.now
	m.attempts++
	e.out = append(e.out, m)
	d.inFlight++
	d.sent.add(s.now, 1)
	s.do(Action{Kind: Send, ID: m.id, Endpoint: e.id, For: last})
}
