package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Request is what a relay says with a ping.
type Request struct {
	LeaseTerm    uint64 `cbor:"1,keyasint,omitempty"` // whose loan it goes by
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // of that; 0: none
	Demands      []byte `cbor:"3,keyasint,omitempty"` // see EncodeDemands; nil: as told before
	LeasedShares []byte `cbor:"4,keyasint,omitempty"` // the loan's parts, where that was asked for
	Minimum      uint16 `cbor:"5,keyasint,omitempty"` // with LeasedShares; where relays serve on alone, always
	Zone         int    `cbor:"6,keyasint,omitempty"`
	NoDemand     bool   `cbor:"7,keyasint,omitempty"` // it needs nothing
	NewestTerm   uint64 `cbor:"8,keyasint,omitempty"` // the newest ledger that it has heard of: it takes nothing from older ones any more
}

// Grant is what whoever leads answers.
type Grant struct {
	Term         uint64 `cbor:"1,keyasint"`           // grows with each that leads
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // the loan that lasts as long as the lease that comes with this; 0: none
	Minimum      uint16 `cbor:"3,keyasint,omitempty"` // of the relay's own in each key, with Shares
	Shares       []byte `cbor:"4,keyasint,omitempty"` // see EncodeKeyShares; nil: as told with that number before
	HasShares    bool   `cbor:"5,keyasint,omitempty"` // Minimum and Shares count, also where there are none
	ReportLeased bool   `cbor:"6,keyasint,omitempty"` // it is to say what it holds
}

// Options are those of a fleet's sharing.
type Options struct {
	MinimumSum    float64       // of 1: all floors together
	LeaseDuration time.Duration // from the coming of a ping until what was lent upon it is surely over
	ServeAlone    bool          // relays that are cut off go on, with their floors
}

// Shares are counted in whole grains, so that nothing is lost or made by rounding.
const (
	wholeLimit = int64(1) << 40
	minUnits   = 1 << 10 // grains: smaller parts are none
)

func toUnits(v float64) int64 {
	if g := int64(v * float64(wholeLimit)); g >= minUnits {
		return min(g, wholeLimit)
	}
	return 0
}

const (
	splitInterval   = 100 * time.Millisecond // between two splits
	resendInterval  = 500 * time.Millisecond // shares that are the same, since limits and judgements age
	evidenceTTL     = 5 * time.Second        // evidence that is older stands for nothing
	deliveryTTL     = 2 * time.Second        // a delivery that speaks against others' word that a destination is down
	probeTurn       = time.Second            // a relay's turn to try
	growThreshold   = 0.1                    // of a part: to have less more is not worth telling
	shrinkThreshold = 0.02                   // others may need what is less
	maxReportedWait = 3 * time.Second        // that one relay's word has others wait
)

// Allocator is the giver's side, for as long as one relay leads. It is not safe for concurrent use.
type Allocator struct {
	options            Options
	term               uint64
	startedAt          time.Duration
	splitAt            time.Duration // of the last split
	roster             []string      // the roster, sorted
	relays             map[string]*relayState
	leased             map[Key]int64 // beyond the floors, by what may be held
	minimumSum         int64         // relays floors that may be spent
	reservedMinimumSum int64         // the same with those that are still to be lent
	keys               map[Key]*keyState
	Contradictions     map[string]int // how often a relay's word stood against all others', or could not be true
}

// relayState is one relay as the ledger knows it.
type relayState struct {
	name             string
	incarnation      uint64
	reported         bool          // what it holds, in this term
	firstIncarnation bool          // the first life of its name in this term: only that may have a loan of the term before
	verdictChanged   bool          // there is a judgement that it has not been told
	sharesSentAt     time.Duration // when it was told its parts last
	confirmedLease   uint64        // the loan that it says it goes by
	zone             int
	demands          map[Key]Demand
	demandsAt        time.Duration // of these
	heardAt          time.Duration // when it spoke last
	lastLease        uint64
	leases           []lease // that it may go by, oldest first; the first may be confirmed
	formerLeases     []lease // of former lives
	bound            map[Key]int64
	minimum          int64 // that it may spend
	lastingMinimum   int64 // of loans that are over: it may still go by the floor alone
	target           map[Key]int64
}

// lease is what was lent at once.
type lease struct {
	number  uint64
	minimum int64
	shares  map[Key]int64
	expires time.Duration // it may be spent before that
}

// keyState is one key over all relays.
type keyState struct {
	limit         float64
	limitAt       time.Duration
	verdicts      map[int]State // what each zone's relays are told
	evidenceAt    map[int]time.Duration
	waitUntil     time.Duration
	probers       map[int]string // whose turn it is, by zone
	probeTurnEnds time.Duration
	turn          int
}

// NewAllocator returns the ledger of one that begins to lead: by is its term.
func NewAllocator(r Options, by uint64, now time.Duration) *Allocator {
	return &Allocator{options: r, term: by, startedAt: now, splitAt: now - splitInterval, relays: map[string]*relayState{}, leased: map[Key]int64{}, keys: map[Key]*keyState{}, Contradictions: map[string]int{}}
}

// minimumPerRelay is the floor of each relay of a roster.
func (l *Allocator) minimumPerRelay() int64 {
	return toUnits(RoundToWire(l.options.MinimumSum / float64(max(len(l.roster), 1))))
}

// SetRoster tells who belongs to the fleet.
func (l *Allocator) SetRoster(names []string) {
	if !slices.Equal(names, l.roster) {
		l.roster = slices.Clone(names)
		l.sumMinimums()
	}
}

// sumMinimums counts what all may spend as floors, also those that were not heard of: before one term is over they may have what the
// one that led before has lent, and where relays serve on when they are cut off, for ever.
func (l *Allocator) sumMinimums() {
	l.minimumSum, l.reservedMinimumSum = 0, 0
	for _, n := range l.roster {
		h, may := l.relays[n], int64(0)
		if h != nil {
			may = h.minimum
		}
		if (h == nil || !h.reported) && (l.options.ServeAlone || !l.allReported(l.splitAt)) {
			may = max(may, l.minimumPerRelay())
		}
		l.minimumSum += may
		if h != nil && l.splitAt-h.heardAt <= l.options.LeaseDuration { // its floor is kept for it, also if it has not been lent yet
			may = max(may, l.minimumPerRelay())
		}
		l.reservedMinimumSum += may
	}
	for n, h := range l.relays {
		if !slices.Contains(l.roster, n) {
			l.minimumSum += h.minimum
		}
	}
}

// allReported tells whether all have said what they hold, or can't hold it any more.
func (l *Allocator) allReported(now time.Duration) bool {
	if now >= l.startedAt+l.options.LeaseDuration {
		return true
	}
	return !slices.ContainsFunc(l.roster, func(n string) bool { return l.relays[n] == nil || !l.relays[n].reported })
}

// updateBound counts anew what a relay may hold.
func (l *Allocator) updateBound(h *relayState, now time.Duration) {
	bound, floor := map[Key]int64{}, int64(0)
	over := func(o lease) bool { return o.expires <= now }
	for _, o := range h.leases {
		if over(o) {
			h.lastingMinimum = max(h.lastingMinimum, o.minimum)
		}
	}
	h.leases, h.formerLeases = slices.DeleteFunc(h.leases, over), slices.DeleteFunc(h.formerLeases, over)
	for _, o := range slices.Concat(h.formerLeases, h.leases) {
		floor = max(floor, o.minimum)
		for k, g := range o.shares {
			bound[k] = max(bound[k], g)
		}
	}
	if l.options.ServeAlone { // a floor has no end there, unless it goes by another
		floor = max(floor, h.lastingMinimum)
	}
	for k, g := range h.bound {
		if l.leased[k] -= g; l.leased[k] == 0 {
			delete(l.leased, k)
		}
	}
	for k, g := range bound {
		l.leased[k] += g
	}
	h.bound = bound
	if h.minimum != floor {
		h.minimum = floor
		l.sumMinimums()
	}
}

// Request takes what a relay says. The caller has seen to it that it is not late, and of the newest life.
func (l *Allocator) HandleRequest(now time.Duration, name string, life uint64, r *Request) {
	h := l.relays[name]
	if h == nil {
		if len(l.relays) > 4*len(l.roster)+64 {
			return
		}
		h = &relayState{name: name, incarnation: life, firstIncarnation: true, target: map[Key]int64{}, bound: map[Key]int64{}}
		l.relays[name] = h
	}
	if h.incarnation != life { // what a former life may hold, if it still runs somewhere, ends by its clock
		h.formerLeases, h.leases, h.incarnation, h.reported, h.firstIncarnation, h.lastLease = append(h.formerLeases, h.leases...), nil, life, false, false, h.lastLease+1
	}
	h.heardAt = now
	if h.zone = r.Zone; r.NoDemand {
		h.demands, h.demandsAt = nil, now
	} else if needs, err := DecodeDemands(r.Demands); err == nil && r.Demands != nil {
		h.demands, h.demandsAt = map[Key]Demand{}, now
		for _, n := range needs {
			h.demands[n.Key] = n
		}
	}
	mine := r.NewestTerm == l.term                                         // otherwise what one that led before has lent it may still be under way
	if l.options.ServeAlone && !h.reported && h.firstIncarnation && mine { // it has that for ever
		h.lastingMinimum = max(h.lastingMinimum, toUnits(fromFloat16(r.Minimum)))
	}
	switch {
	case r.LeaseTerm == l.term && r.LeaseNumber != 0: // it goes by that one, and by none before
		h.leases = slices.DeleteFunc(h.leases, func(o lease) bool { return o.number < r.LeaseNumber })
		if h.reported, h.confirmedLease = true, r.LeaseNumber; slices.ContainsFunc(h.leases, func(o lease) bool { return o.number == r.LeaseNumber }) {
			h.lastingMinimum = 0
		}
	case !mine:
	case r.LeaseNumber == 0: // it goes by none
		h.reported = true
	case !h.reported && now >= l.startedAt+l.options.LeaseDuration: // what it was lent before is over
		h.reported = true
	case !h.reported && r.LeasedShares != nil && h.firstIncarnation:
		h.reported = true
		l.adoptFormerLease(now, h, r)
	}
	l.updateBound(h, now)
}

// adoptFormerLease takes what a relay says that it was lent by whoever led before. All that is held was lent within 1, so what can't be
// is not true: then nothing of that key is taken over from anybody, and all fall back to their floors when their loans end.
func (l *Allocator) adoptFormerLease(now time.Duration, h *relayState, r *Request) {
	parts, err := DecodeKeyShares(r.LeasedShares)
	if err != nil {
		return
	}
	o := lease{minimum: toUnits(fromFloat16(r.Minimum)), shares: map[Key]int64{}, expires: now + l.options.LeaseDuration}
	for _, p := range parts {
		g := toUnits(p.Extra)
		if l.leased[p.Key]+g > wholeLimit {
			l.Contradictions[h.name]++
		}
		o.shares[p.Key] = g
	}
	h.formerLeases = append(h.formerLeases, o) // it goes by that until it has another; its end is the old loan's
}

// KeyUsage is what a key comes to over all relays, for operators.
type KeyUsage struct {
	Key      Key            `cbor:"1,keyasint" json:"-"`
	Name     string         `cbor:"2,keyasint,omitempty" json:"name"`
	Limit    float64        `cbor:"3,keyasint,omitempty" json:"limit"`
	Demand   float64        `cbor:"4,keyasint" json:"want"`   // units a second, of all
	Leased   float64        `cbor:"5,keyasint" json:"lent"`   // of 1, beyond the floors
	Minimums float64        `cbor:"6,keyasint" json:"floors"` // of 1
	Relays   int            `cbor:"7,keyasint" json:"relays"` // that need it
	Zones    map[int]string `cbor:"8,keyasint,omitempty" json:"zones,omitempty"`
}

// Usage is all keys that anybody needs.
func (l *Allocator) Usage() (all []KeyUsage) {
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		p := l.keys[k]
		w := KeyUsage{Key: k, Limit: p.limit, Leased: float64(l.leased[k]) / float64(wholeLimit), Minimums: float64(l.minimumSum) / float64(wholeLimit), Zones: map[int]string{}}
		for _, h := range l.relays {
			if n, ok := h.demands[k]; ok {
				w.Demand, w.Relays = w.Demand+n.Rate, w.Relays+1
			}
		}
		for z, s := range p.verdicts {
			if s != Unseen {
				w.Zones[z] = s.String()
			}
		}
		all = append(all, w)
	}
	return all
}

// available is how much of a key may be lent to a relay in all.
func (l *Allocator) available(h *relayState, k Key, now time.Duration) int64 {
	if !l.allReported(now) {
		return h.bound[k] // others may hold the rest
	}
	return max(0, wholeLimit-l.minimumSum-l.leased[k]+h.bound[k])
}

// Grant answers a relay's ping that came at a time, for as long as the lease that goes with the answer.
func (l *Allocator) Grant(now, came time.Duration, name string) *Grant {
	l.split(now)
	h, until := l.relays[name], came+l.options.LeaseDuration
	if h == nil || until <= now {
		return nil
	}
	l.updateBound(h, now)
	a := &Grant{Term: l.term}
	if !h.reported {
		a.ReportLeased = true
		return a
	}
	last := lease{}
	if n := len(h.leases); n > 0 {
		last = h.leases[n-1]
	}
	next := l.nextLease(now, h)
	if last.number == 0 || l.worthSending(&last, &next) {
		h.lastLease++
		next.number, next.expires = h.lastLease, until
		h.leases = append(h.leases, next)
		if len(h.leases) > maxUnconfirmedLeases { // it does not confirm any: the newest waits until these are over
			h.leases = h.leases[:maxUnconfirmedLeases]
			a.LeaseNumber = 0
			return a
		}
		last = next
	}
	for i := range h.leases {
		if o := &h.leases[i]; o.number == last.number {
			o.expires = max(o.expires, until)
		}
	}
	l.updateBound(h, now)
	if a.LeaseNumber = last.number; h.confirmedLease != last.number || now-h.sharesSentAt >= resendInterval || h.verdictChanged {
		h.sharesSentAt, h.verdictChanged = now, false
		a.HasShares, a.Minimum, a.Shares = true, toFloat16(float64(last.minimum)/float64(wholeLimit)), EncodeKeyShares(l.keyShares(now, h, &last))
	}
	return a
}

// maxUnconfirmedLeases are lent to one relay before it has confirmed the first of them.
const maxUnconfirmedLeases = 8

// keyShares is a loan's parts with the newest word on all else.
func (l *Allocator) keyShares(now time.Duration, h *relayState, o *lease) (all []KeyShare) {
	for _, k := range slices.Sorted(maps.Keys(h.demands)) {
		p := l.keyShare(now, h, k)
		p.Extra = float64(o.shares[k]) / float64(wholeLimit)
		all = append(all, p)
	}
	return all
}

// nextLease is what a relay would be lent now.
func (l *Allocator) nextLease(now time.Duration, h *relayState) lease {
	o := lease{shares: map[Key]int64{}}
	if o.minimum = l.minimumPerRelay(); o.minimum > h.minimum { // a floor is lent like all else
		room := int64(0)
		if l.allReported(now) {
			room = max(0, wholeLimit-l.minimumSum-l.maxLeased())
		}
		o.minimum = rounded(h.minimum + min(o.minimum-h.minimum, room))
	}
	if h.demands == nil && h.demandsAt == 0 { // it has not said: as it has it
		maps.Copy(o.shares, h.bound)
	}
	for k := range h.demands {
		o.shares[k] = rounded(min(h.target[k], max(0, l.available(h, k, now)-max(0, o.minimum-h.minimum))))
	}
	return o
}

// rounded is a part as the wire carries it.
func rounded(g int64) int64 { return toUnits(RoundToWire(float64(g) / float64(wholeLimit))) }

// maxLeased is the most that is lent of any key.
func (l *Allocator) maxLeased() (most int64) {
	for _, g := range l.leased {
		most = max(most, g)
	}
	return most
}

// worthSending tells whether a loan is worth telling.
func (l *Allocator) worthSending(was, is *lease) bool {
	if was.minimum != is.minimum {
		return true
	}
	for k, g := range is.shares {
		w := was.shares[k]
		if float64(g-w) > growThreshold*float64(w) || float64(w-g) > shrinkThreshold*float64(w) {
			return true
		}
	}
	for k, w := range was.shares {
		if _, ok := is.shares[k]; !ok && w > 0 {
			return true
		}
	}
	return false
}

// split says anew what each relay is to have of each key.
func (l *Allocator) split(now time.Duration) {
	if now-l.splitAt < splitInterval {
		return
	}
	l.splitAt = now
	by := map[Key][]*relayState{}
	for _, name := range slices.Sorted(maps.Keys(l.relays)) {
		h := l.relays[name]
		if len(h.formerLeases) > 0 || len(h.leases) > 0 && h.leases[0].expires <= now {
			l.updateBound(h, now)
		}
		clear(h.target)
		if now-h.demandsAt > l.options.LeaseDuration || !slices.Contains(l.roster, name) {
			continue
		}
		for k := range h.demands {
			by[k] = append(by[k], h)
		}
	}
	l.sumMinimums()
	for _, k := range slices.Sorted(maps.Keys(by)) {
		p := l.keys[k]
		if p == nil {
			p = &keyState{limitAt: -1 << 62, verdicts: map[int]State{}, evidenceAt: map[int]time.Duration{}, probers: map[int]string{}}
			l.keys[k] = p
		}
		p.observe(now, k, by[k])
		l.judge(now, k, p, by[k])
		l.allocate(k, p, by[k])
	}
	for k := range l.keys {
		if by[k] == nil {
			delete(l.keys, k)
		}
	}
}

// allocate splits what is not floors: by need, and where that is more than there is, so that no one who gets less than it needs
// gets less than another of the same worth. What nobody needs goes to where most is wanted.
func (l *Allocator) allocate(k Key, p *keyState, all []*relayState) {
	pool := float64(max(0, wholeLimit-l.reservedMinimumSum)) / float64(wholeLimit)
	own := float64(l.minimumPerRelay()) / float64(wholeLimit)
	type asks struct {
		h           *relayState
		need, worth float64
	}
	var list []asks
	want, sum, worth := 0.0, 0.0, 0.0
	for _, h := range all {
		want += h.demands[k].Rate
		worth += h.demands[k].Rate * h.demands[k].Value
	}
	if want <= 0 {
		return
	}
	worth /= want
	for _, h := range all {
		n := h.demands[k]
		a := asks{h, n.Rate / want, 1} // nothing is known of the limit: as the others
		if p.limit > 0 {
			a.need = n.Rate / p.limit
		}
		if a.need = max(0, a.need-own); worth > 0 {
			a.worth = max(0.25, min(4, n.Value/worth))
		}
		if sum += a.need; a.need > 0 {
			list = append(list, a)
		}
	}
	if sum <= pool {
		for _, a := range list {
			a.h.target[k] = toUnits(a.need + (pool-sum)*a.h.demands[k].Rate/want)
		}
		for _, h := range all { // those whose floor is enough get of the rest too
			if n := h.demands[k]; h.target[k] == 0 && n.Rate > 0 {
				h.target[k] = toUnits((pool - sum) * n.Rate / want)
			}
		}
		return
	}
	slices.SortStableFunc(list, func(a, b asks) int { return cmp.Compare(a.need/a.worth, b.need/b.worth) })
	left, worths := pool, 0.0
	for _, a := range list {
		worths += a.worth
	}
	for _, a := range list {
		g := min(a.need, left*a.worth/worths)
		a.h.target[k] = toUnits(g)
		left, worths = left-g, worths-a.worth
	}
}
