package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what a relay says with a ping.
type Report struct {
	By    uint64 `cbor:"1,keyasint,omitempty"` // whose loan it goes by
	No    uint64 `cbor:"2,keyasint,omitempty"` // of that; 0: none
	Needs []byte `cbor:"3,keyasint,omitempty"` // see PackNeeds; nil: as told before
	Holds []byte `cbor:"4,keyasint,omitempty"` // the loan's parts, where that was asked for
	Floor uint16 `cbor:"5,keyasint,omitempty"` // with Holds; where relays serve on alone, always
	Zone  int    `cbor:"6,keyasint,omitempty"`
	None  bool   `cbor:"7,keyasint,omitempty"` // it needs nothing
	For   uint64 `cbor:"8,keyasint,omitempty"` // the newest ledger that it has heard of: it takes nothing from older ones any more
}

// Allotment is what whoever leads answers.
type Allotment struct {
	By    uint64 `cbor:"1,keyasint"`           // grows with each that leads
	No    uint64 `cbor:"2,keyasint,omitempty"` // the loan that lasts as long as the lease that comes with this; 0: none
	Floor uint16 `cbor:"3,keyasint,omitempty"` // of the relay's own in each key, with Parts
	Parts []byte `cbor:"4,keyasint,omitempty"` // see PackParts; nil: as told with that number before
	New   bool   `cbor:"5,keyasint,omitempty"` // Floor and Parts count, also where there are none
	Tell  bool   `cbor:"6,keyasint,omitempty"` // it is to say what it holds
}

// Rules are those of a fleet's sharing.
type Rules struct {
	Kept  float64       // of 1: all floors together
	Over  time.Duration // from the coming of a ping until what was lent upon it is surely over
	Serve bool          // relays that are cut off go on, with their floors
}

// Parts are counted in whole grains, so that nothing is lost or made by rounding.
const (
	whole = int64(1) << 40
	least = 1 << 10 // grains: smaller parts are none
)

func grains(v float64) int64 {
	if g := int64(v * float64(whole)); g >= least {
		return min(g, whole)
	}
	return 0
}

const (
	tickEvery = 100 * time.Millisecond // between two splits
	sayEvery  = 500 * time.Millisecond // parts that are the same, since limits and judgements age
	freshFor  = 5 * time.Second        // evidence that is older stands for nothing
	newsFor   = 2 * time.Second        // a delivery that speaks against others' word that a destination is down
	tryFor    = time.Second            // a relay's turn to try
	moreFrom  = 0.1                    // of a part: to have less more is not worth telling
	lessFrom  = 0.02                   // others may need what is less
	mostWait  = 3 * time.Second        // that one relay's word has others wait
)

// Ledger is the giver's side, for as long as one relay leads. It is not safe for concurrent use.
type Ledger struct {
	rules Rules
	by    uint64
	begun time.Duration
	at    time.Duration // of the last split
	names []string      // the roster, sorted
	all   map[string]*holder
	lent  map[Key]int64 // beyond the floors, by what may be held
	floor int64         // all floors that may be spent
	kept  int64         // the same with those that are still to be lent
	pots  map[Key]*pot
	Odd   map[string]int // how often a relay's word stood against all others', or could not be true
}

// holder is one relay as the ledger knows it.
type holder struct {
	name    string
	life    uint64
	told    bool          // what it holds, in this term
	first   bool          // the first life of its name in this term: only that may have a loan of the term before
	news    bool          // there is a judgement that it has not been told
	saidAt  time.Duration // when it was told its parts last
	goes    uint64        // the loan that it says it goes by
	zone    int
	needs   map[Key]Need
	at      time.Duration // of these
	heardAt time.Duration // when it spoke last
	no      uint64
	loans   []loan // that it may go by, oldest first; the first may be confirmed
	ghost   []loan // of former lives
	bound   map[Key]int64
	floor   int64 // that it may spend
	stays   int64 // of loans that are over: it may still go by the floor alone
	want    map[Key]int64
}

// loan is what was lent at once.
type loan struct {
	no    uint64
	floor int64
	parts map[Key]int64
	until time.Duration // it may be spent before that
}

// pot is one key over all relays.
type pot struct {
	limit    float64
	limitAt  time.Duration
	zones    map[int]State // what each zone's relays are told
	seenAt   map[int]time.Duration
	waitTill time.Duration
	tries    map[int]string // whose turn it is, by zone
	tryTill  time.Duration
	turn     int
}

// NewLedger returns the ledger of one that begins to lead: by is its term.
func NewLedger(r Rules, by uint64, now time.Duration) *Ledger {
	return &Ledger{rules: r, by: by, begun: now, at: now - tickEvery, all: map[string]*holder{}, lent: map[Key]int64{}, pots: map[Key]*pot{}, Odd: map[string]int{}}
}

// own is the floor of each relay of a roster.
func (l *Ledger) own() int64 { return grains(Round(l.rules.Kept / float64(max(len(l.names), 1)))) }

// Roster tells who belongs to the fleet.
func (l *Ledger) Roster(names []string) {
	if !slices.Equal(names, l.names) {
		l.names = slices.Clone(names)
		l.sumFloors()
	}
}

// sumFloors counts what all may spend as floors, also those that were not heard of: before one term is over they may have what the
// one that led before has lent, and where relays serve on when they are cut off, for ever.
func (l *Ledger) sumFloors() {
	l.floor, l.kept = 0, 0
	for _, n := range l.names {
		h, may := l.all[n], int64(0)
		if h != nil {
			may = h.floor
		}
		if (h == nil || !h.told) && (l.rules.Serve || !l.known(l.at)) {
			may = max(may, l.own())
		}
		l.floor += may
		if h != nil && l.at-h.heardAt <= l.rules.Over { // its floor is kept for it, also if it has not been lent yet
			may = max(may, l.own())
		}
		l.kept += may
	}
	for n, h := range l.all {
		if !slices.Contains(l.names, n) {
			l.floor += h.floor
		}
	}
}

// known tells whether all have said what they hold, or can't hold it any more.
func (l *Ledger) known(now time.Duration) bool {
	if now >= l.begun+l.rules.Over {
		return true
	}
	return !slices.ContainsFunc(l.names, func(n string) bool { return l.all[n] == nil || !l.all[n].told })
}

// rebound counts anew what a relay may hold.
func (l *Ledger) rebound(h *holder, now time.Duration) {
	bound, floor := map[Key]int64{}, int64(0)
	over := func(o loan) bool { return o.until <= now }
	for _, o := range h.loans {
		if over(o) {
			h.stays = max(h.stays, o.floor)
		}
	}
	h.loans, h.ghost = slices.DeleteFunc(h.loans, over), slices.DeleteFunc(h.ghost, over)
	for _, o := range slices.Concat(h.ghost, h.loans) {
		floor = max(floor, o.floor)
		for k, g := range o.parts {
			bound[k] = max(bound[k], g)
		}
	}
	if l.rules.Serve { // a floor has no end there, unless it goes by another
		floor = max(floor, h.stays)
	}
	for k, g := range h.bound {
		if l.lent[k] -= g; l.lent[k] == 0 {
			delete(l.lent, k)
		}
	}
	for k, g := range bound {
		l.lent[k] += g
	}
	h.bound = bound
	if h.floor != floor {
		h.floor = floor
		l.sumFloors()
	}
}

// Report takes what a relay says. The caller has seen to it that it is not late, and of the newest life.
func (l *Ledger) Report(now time.Duration, name string, life uint64, r *Report) {
	h := l.all[name]
	if h == nil {
		if len(l.all) > 4*len(l.names)+64 {
			return
		}
		h = &holder{name: name, life: life, first: true, want: map[Key]int64{}, bound: map[Key]int64{}}
		l.all[name] = h
	}
	if h.life != life { // what a former life may hold, if it still runs somewhere, ends by its clock
		h.ghost, h.loans, h.life, h.told, h.first, h.no = append(h.ghost, h.loans...), nil, life, false, false, h.no+1
	}
	h.heardAt = now
	if h.zone = r.Zone; r.None {
		h.needs, h.at = nil, now
	} else if needs, err := UnpackNeeds(r.Needs); err == nil && r.Needs != nil {
		h.needs, h.at = map[Key]Need{}, now
		for _, n := range needs {
			h.needs[n.Key] = n
		}
	}
	mine := r.For == l.by                            // otherwise what one that led before has lent it may still be under way
	if l.rules.Serve && !h.told && h.first && mine { // it has that for ever
		h.stays = max(h.stays, grains(wide(r.Floor)))
	}
	switch {
	case r.By == l.by && r.No != 0: // it goes by that one, and by none before
		h.loans = slices.DeleteFunc(h.loans, func(o loan) bool { return o.no < r.No })
		if h.told, h.goes = true, r.No; slices.ContainsFunc(h.loans, func(o loan) bool { return o.no == r.No }) {
			h.stays = 0
		}
	case !mine:
	case r.No == 0: // it goes by none
		h.told = true
	case !h.told && now >= l.begun+l.rules.Over: // what it was lent before is over
		h.told = true
	case !h.told && r.Holds != nil && h.first:
		h.told = true
		l.claimed(now, h, r)
	}
	l.rebound(h, now)
}

// claimed takes what a relay says that it was lent by whoever led before. All that is held was lent within 1, so what can't be
// is not true: then nothing of that key is taken over from anybody, and all fall back to their floors when their loans end.
func (l *Ledger) claimed(now time.Duration, h *holder, r *Report) {
	parts, err := UnpackParts(r.Holds)
	if err != nil {
		return
	}
	o := loan{floor: grains(wide(r.Floor)), parts: map[Key]int64{}, until: now + l.rules.Over}
	for _, p := range parts {
		g := grains(p.Extra)
		if l.lent[p.Key]+g > whole {
			l.Odd[h.name]++
		}
		o.parts[p.Key] = g
	}
	h.ghost = append(h.ghost, o) // it goes by that until it has another; its end is the old loan's
}

// Whole is what a key comes to over all relays, for operators.
type Whole struct {
	Key    Key            `cbor:"1,keyasint" json:"-"`
	Name   string         `cbor:"2,keyasint,omitempty" json:"name"`
	Limit  float64        `cbor:"3,keyasint,omitempty" json:"limit"`
	Want   float64        `cbor:"4,keyasint" json:"want"`   // units a second, of all
	Lent   float64        `cbor:"5,keyasint" json:"lent"`   // of 1, beyond the floors
	Floors float64        `cbor:"6,keyasint" json:"floors"` // of 1
	Relays int            `cbor:"7,keyasint" json:"relays"` // that need it
	Zones  map[int]string `cbor:"8,keyasint,omitempty" json:"zones,omitempty"`
}

// View is all keys that anybody needs.
func (l *Ledger) View() (all []Whole) {
	for _, k := range slices.Sorted(maps.Keys(l.pots)) {
		p := l.pots[k]
		w := Whole{Key: k, Limit: p.limit, Lent: float64(l.lent[k]) / float64(whole), Floors: float64(l.floor) / float64(whole), Zones: map[int]string{}}
		for _, h := range l.all {
			if n, ok := h.needs[k]; ok {
				w.Want, w.Relays = w.Want+n.Want, w.Relays+1
			}
		}
		for z, s := range p.zones {
			if s != Unseen {
				w.Zones[z] = s.String()
			}
		}
		all = append(all, w)
	}
	return all
}

// free is how much of a key may be lent to a relay in all.
func (l *Ledger) free(h *holder, k Key, now time.Duration) int64 {
	if !l.known(now) {
		return h.bound[k] // others may hold the rest
	}
	return max(0, whole-l.floor-l.lent[k]+h.bound[k])
}

// Grant answers a relay's ping that came at a time, for as long as the lease that goes with the answer.
func (l *Ledger) Grant(now, came time.Duration, name string) *Allotment {
	l.split(now)
	h, until := l.all[name], came+l.rules.Over
	if h == nil || until <= now {
		return nil
	}
	l.rebound(h, now)
	a := &Allotment{By: l.by}
	if !h.told {
		a.Tell = true
		return a
	}
	last := loan{}
	if n := len(h.loans); n > 0 {
		last = h.loans[n-1]
	}
	next := l.draft(now, h)
	if last.no == 0 || l.differs(&last, &next) {
		h.no++
		next.no, next.until = h.no, until
		h.loans = append(h.loans, next)
		if len(h.loans) > mostLoans { // it does not confirm any: the newest waits until these are over
			h.loans = h.loans[:mostLoans]
			a.No = 0
			return a
		}
		last = next
	}
	for i := range h.loans {
		if o := &h.loans[i]; o.no == last.no {
			o.until = max(o.until, until)
		}
	}
	l.rebound(h, now)
	if a.No = last.no; h.goes != last.no || now-h.saidAt >= sayEvery || h.news {
		h.saidAt, h.news = now, false
		a.New, a.Floor, a.Parts = true, narrow(float64(last.floor)/float64(whole)), PackParts(l.said(now, h, &last))
	}
	return a
}

// mostLoans are lent to one relay before it has confirmed the first of them.
const mostLoans = 8

// said is a loan's parts with the newest word on all else.
func (l *Ledger) said(now time.Duration, h *holder, o *loan) (all []Part) {
	for _, k := range slices.Sorted(maps.Keys(h.needs)) {
		p := l.part(now, h, k)
		p.Extra = float64(o.parts[k]) / float64(whole)
		all = append(all, p)
	}
	return all
}

// draft is what a relay would be lent now.
func (l *Ledger) draft(now time.Duration, h *holder) loan {
	o := loan{parts: map[Key]int64{}}
	if o.floor = l.own(); o.floor > h.floor { // a floor is lent like all else
		room := int64(0)
		if l.known(now) {
			room = max(0, whole-l.floor-l.mostLent())
		}
		o.floor = rounded(h.floor + min(o.floor-h.floor, room))
	}
	if h.needs == nil && h.at == 0 { // it has not said: as it has it
		maps.Copy(o.parts, h.bound)
	}
	for k := range h.needs {
		o.parts[k] = rounded(min(h.want[k], max(0, l.free(h, k, now)-max(0, o.floor-h.floor))))
	}
	return o
}

// rounded is a part as the wire carries it.
func rounded(g int64) int64 { return grains(Round(float64(g) / float64(whole))) }

// mostLent is the most that is lent of any key.
func (l *Ledger) mostLent() (most int64) {
	for _, g := range l.lent {
		most = max(most, g)
	}
	return most
}

// differs tells whether a loan is worth telling.
func (l *Ledger) differs(was, is *loan) bool {
	if was.floor != is.floor {
		return true
	}
	for k, g := range is.parts {
		w := was.parts[k]
		if float64(g-w) > moreFrom*float64(w) || float64(w-g) > lessFrom*float64(w) {
			return true
		}
	}
	for k, w := range was.parts {
		if _, ok := is.parts[k]; !ok && w > 0 {
			return true
		}
	}
	return false
}

// split says anew what each relay is to have of each key.
func (l *Ledger) split(now time.Duration) {
	if now-l.at < tickEvery {
		return
	}
	l.at = now
	by := map[Key][]*holder{}
	for _, name := range slices.Sorted(maps.Keys(l.all)) {
		h := l.all[name]
		if len(h.ghost) > 0 || len(h.loans) > 0 && h.loans[0].until <= now {
			l.rebound(h, now)
		}
		clear(h.want)
		if now-h.at > l.rules.Over || !slices.Contains(l.names, name) {
			continue
		}
		for k := range h.needs {
			by[k] = append(by[k], h)
		}
	}
	l.sumFloors()
	for _, k := range slices.Sorted(maps.Keys(by)) {
		p := l.pots[k]
		if p == nil {
			p = &pot{limitAt: -1 << 62, zones: map[int]State{}, seenAt: map[int]time.Duration{}, tries: map[int]string{}}
			l.pots[k] = p
		}
		p.learn(now, k, by[k])
		l.judge(now, k, p, by[k])
		l.share(k, p, by[k])
	}
	for k := range l.pots {
		if by[k] == nil {
			delete(l.pots, k)
		}
	}
}

// share splits what is not floors: by need, and where that is more than there is, so that no one who gets less than it needs
// gets less than another of the same worth. What nobody needs goes to where most is wanted.
func (l *Ledger) share(k Key, p *pot, all []*holder) {
	pool := float64(max(0, whole-l.kept)) / float64(whole)
	own := float64(l.own()) / float64(whole)
	type asks struct {
		h           *holder
		need, worth float64
	}
	var list []asks
	want, sum, worth := 0.0, 0.0, 0.0
	for _, h := range all {
		want += h.needs[k].Want
		worth += h.needs[k].Want * h.needs[k].Worth
	}
	if want <= 0 {
		return
	}
	worth /= want
	for _, h := range all {
		n := h.needs[k]
		a := asks{h, n.Want / want, 1} // nothing is known of the limit: as the others
		if p.limit > 0 {
			a.need = n.Want / p.limit
		}
		if a.need = max(0, a.need-own); worth > 0 {
			a.worth = max(0.25, min(4, n.Worth/worth))
		}
		if sum += a.need; a.need > 0 {
			list = append(list, a)
		}
	}
	if sum <= pool {
		for _, a := range list {
			a.h.want[k] = grains(a.need + (pool-sum)*a.h.needs[k].Want/want)
		}
		for _, h := range all { // those whose floor is enough get of the rest too
			if n := h.needs[k]; h.want[k] == 0 && n.Want > 0 {
				h.want[k] = grains((pool - sum) * n.Want / want)
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
		a.h.want[k] = grains(g)
		left, worths = left-g, worths-a.worth
	}
}
