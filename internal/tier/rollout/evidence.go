package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Evidence holds the reports of all proxies on a target during its roll-out.
type Evidence struct {
	Totals    StatsByRoute
	Histories []ReportedHistory

	// Complete is false if reports of proxies may be missing, for example since the controller has started a moment ago.
	Complete bool

	// AfterGap grows with each report that came after a gap, and may hold answers from before those of other proxies.
	AfterGap uint64
}

// ReportedHistory holds the answers on one route that a proxy has reported. Each route of a history is in Evidence.Totals too.
type ReportedHistory struct {
	Route      string
	ReportedAt time.Duration // when the report arrived, by the controller's monotonic clock
	Intervals  []Interval
}

// RouteAnswers holds answers of the target on one route that came at about the same time.
type RouteAnswers struct {
	Route string
	At    time.Duration // when they came, by the controller's monotonic clock
	*Interval
}

// Answers returns the answers of all histories in the order in which they came. The order of those that came at the same time doesn't
// depend on the order of the histories.
func (e *Evidence) Answers() []RouteAnswers {
	answers := make([]RouteAnswers, 0, e.IntervalCount())
	for _, history := range e.Histories {
		for i := range history.Intervals {
			age := time.Duration(history.Intervals[i].AgeMs) * time.Millisecond
			answers = append(answers, RouteAnswers{Route: history.Route, At: history.ReportedAt - age, Interval: &history.Intervals[i]})
		}
	}
	slices.SortStableFunc(answers, compareAnswers)
	return answers
}

// compareAnswers compares answers by time, and those of the same time by their other properties.
func compareAnswers(a, b RouteAnswers) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Bad, b.Bad), cmp.Compare(a.Good, b.Good))
}

// IntervalCount returns the number of intervals in all histories.
func (e *Evidence) IntervalCount() int {
	count := 0
	for _, history := range e.Histories {
		count += len(history.Intervals)
	}
	return count
}
