package quota

import "time"

// Purse is the holder's side: what a relay may spend, by its own clock. It is not safe for concurrent use.
type Purse struct {
	Serve bool // the relay goes on when it is cut off: its floor has no end

	heard  uint64 // the newest ledger that it has heard of
	by, no uint64 // the loan that it goes by; 0: none
	floor  float64
	parts  []Part
	until  time.Duration // it may spend the parts before that; the floor for as long as it acts
	tell   bool
	goes   [2]uint64 // the loan that the core has said it goes by
	needs  []Need
	sent   int
}

// Spend is what the core is told.
type Spend struct {
	By, No uint64 // to be given back once the core goes by it
	Floor  float64
	Parts  []Part
	Until  time.Duration // it may be spent before that
	Stays  bool          // but for the floor, which has no end
}

// Granted takes an allotment that came with a lease until a time, and tells what the core is to go by from now on, if that changes.
func (p *Purse) Granted(until time.Duration, a *Allotment) *Spend {
	switch {
	case a == nil || a.By < p.heard || a.By == p.by && a.No != 0 && a.No < p.no:
		return nil // of one that led before, or late
	case a.Tell:
		p.heard, p.tell = a.By, true
		return nil
	case a.No == 0 || !a.New && (a.By != p.by || a.No != p.no):
		return nil // a loan whose parts have not come
	}
	p.heard = a.By
	if a.By != p.by || a.No != p.no { // another loan lasts as long as its own lease
		p.until = 0
	}
	if a.New {
		parts, err := UnpackParts(a.Parts)
		if err != nil {
			return nil
		}
		p.by, p.no, p.floor, p.parts = a.By, a.No, wide(a.Floor), parts
	}
	p.tell, p.until = false, max(p.until, until)
	return p.Spend()
}

// Spend is what the core is to go by.
func (p *Purse) Spend() *Spend {
	return &Spend{By: p.by, No: p.no, Floor: p.floor, Parts: p.parts, Until: p.until, Stays: p.Serve}
}

// Goes notes that the core goes by a loan, and by none before.
func (p *Purse) Goes(by, no uint64) {
	if by == p.by && no == p.no {
		p.goes = [2]uint64{by, no}
	}
}

// Needs takes what the relay needs now.
func (p *Purse) Needs(all []Need) { p.needs = all }

// Report is what a ping says.
func (p *Purse) Report(now time.Duration, zone int) *Report {
	r := &Report{By: p.goes[0], No: p.goes[1], Zone: zone, For: p.heard}
	if p.until <= now { // what it was lent is over
		r.By, r.No = 0, 0
	}
	if p.Serve {
		r.Floor = narrow(p.floor)
	}
	if p.tell && p.goes == [2]uint64{p.by, p.no} && r.No != 0 { // otherwise the core may still go by more
		r.Holds, r.Floor = PackParts(p.parts), narrow(p.floor)
	}
	if p.sent++; p.sent%2 == 0 || p.tell {
		if r.Needs = PackNeeds(p.needs); len(p.needs) == 0 {
			r.None = true
		}
	}
	return r
}
