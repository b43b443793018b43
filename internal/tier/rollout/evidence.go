package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Evidence is what proxies have reported of a target during its roll-out.
type Evidence struct {
	Totals  StatsByRoute
	Answers []RouteAnswers // all answers in the order in which they came

	// Complete is false if reports of proxies may be missing, for example since the controller has started a moment ago.
	Complete bool

	// AfterGap grows with each report that came after a gap, and may hold answers from before those of other proxies.
	AfterGap uint64
}

// RouteAnswers holds answers of the target on one route that came at about the same time.
type RouteAnswers struct {
	Route string
	At    time.Duration // when they came, by the controller's monotonic clock
	*Interval
}

// Sort puts answers into the order in which they came. The order of answers that came at the same time doesn't depend on the one before.
func Sort(answers []RouteAnswers) {
	slices.SortStableFunc(answers, func(a, b RouteAnswers) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Bad, b.Bad), cmp.Compare(a.Good, b.Good))
	})
}
