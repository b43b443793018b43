package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules of judgement.
const (
	leastBad       = 3    // bad answers from which on a version can be found bad
	surelyBad      = 6.0  // log of how much likelier a bad version gives what was seen than a good one, to find it bad
	leastShare     = 0.01 // of bad answers that a good version is taken to give
	mostShare      = 0.3  // the same, however bad the version in service is
	badMargin      = 0.25 // share of bad answers above that, which a bad version is taken to give
	priorAnswers   = 20   // good answers that the version in service is credited with
	slowSteps      = 4    // classes of time above the median of the version in service that make an answer slow
	leastBaseline  = 10   // timed answers of the version in service that make a median
	leastEvidence  = 3    // good answers without which no version is finished before the last moment
	answersAwaited = 8    // requests sent from which on a version that has answered hardly any is bad
)

// When an order ends that isn't found bad, before its term, so that the end is known in time.
const (
	finishEarly = 700 * time.Millisecond
	finishPart  = 0.04 // of the time to the term, where that is more
	lastMoment  = 300 * time.Millisecond
)

// Evidence is what was seen of one version, by route.
type Evidence map[string]Tally

// Add takes in what was seen on a route.
func (e Evidence) Add(route string, tally Tally) {
	sum := e[route]
	sum.Add(tally)
	e[route] = sum
}

// Total sums up all routes.
func (e Evidence) Total() Tally {
	var sum Tally
	for _, t := range e {
		sum.Add(t)
	}
	return sum
}

// Trial judges one order by what is seen of it from round to round. On each route it weighs answer by answer how much more
// likely those of the target are from a bad version than from one like that in service, and begins anew whenever the
// evidence speaks for the target: what was good in the beginning doesn't excuse what comes later, and what many routes
// answer well doesn't hide that one fails.
type Trial struct {
	seen  Evidence // of the target, at the last round
	found map[string]finding
	bad   bool
}

// finding is the evidence against the target on one route.
type finding struct {
	failing, slow suspicion
}

// suspicion is one sequential test.
type suspicion struct {
	weight float64 // logarithm of the likelihood ratio, since it was last below 0
	count  int64   // answers that spoke against the target since then
}

// NewTrial returns a trial that has seen nothing.
func NewTrial() *Trial { return &Trial{seen: Evidence{}, found: map[string]finding{}} }

// Judge tells what becomes of an order, given how long it has been in service and all that was seen so far of its target
// and of the version in service: Finished, Reverted, or InService while that is open.
func (t *Trial) Judge(roll Roll, elapsed time.Duration, target, baseline Evidence) State {
	t.weigh(target, baseline)
	if t.bad {
		return Reverted
	}
	term := time.Duration(roll.OverMs) * time.Millisecond
	early := max(finishEarly, time.Duration(finishPart*float64(term)))
	sum := target.Total()
	switch {
	case elapsed < term-early:
		return InService
	case sum.Good >= leastEvidence:
		return Finished
	case elapsed < term-lastMoment:
		return InService
	case sum.Sent >= answersAwaited:
		return Reverted
	}
	return Finished
}

// weigh takes in what has come since the last round.
func (t *Trial) weigh(target, baseline Evidence) {
	all := baseline.Total()
	for _, route := range routesOf(target) {
		now := target[route]
		if !now.covers(t.seen[route]) {
			continue // an older report came late
		}
		fresh := now.since(t.seen[route])
		t.seen[route] = now
		base := baseline[route]
		if base.Good+base.Bad < leastBaseline {
			base = all
		}
		found := t.found[route]
		found.failing.add(fresh.Bad, fresh.Good, usualShare(base.Bad, base.Good))
		if base.timed() >= leastBaseline {
			from := base.median() + slowSteps
			slow := fresh.from(from)
			found.slow.add(slow, fresh.timed()-slow, usualShare(base.from(from), base.timed()-base.from(from)))
		}
		t.found[route] = found
		t.bad = t.bad || found.failing.isCertain() || found.slow.isCertain()
	}
}

func routesOf(evidence Evidence) []string {
	routes := make([]string, 0, len(evidence))
	for route := range evidence {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, cmp.Compare)
	return routes
}

// usualShare is the share of bad answers that a version like that in service gives.
func usualShare(bad, good int64) float64 {
	return min(max(float64(bad)/float64(bad+good+priorAnswers), leastShare), mostShare)
}

// add weighs answers against the share of bad ones that is usual.
func (s *suspicion) add(bad, good int64, usual float64) {
	worse := usual + badMargin
	s.weight += float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	s.count += bad
	if s.weight <= 0 {
		*s = suspicion{}
	}
}

func (s *suspicion) isCertain() bool { return s.count >= leastBad && s.weight >= surelyBad }
