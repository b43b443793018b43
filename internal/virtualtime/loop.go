package virtualtime

import "time"

// Loop is a virtual clock with its scheduled callbacks. The zero value is at time zero and has none. It is not safe for concurrent use.
type Loop struct {
	now    time.Duration
	events Queue[func()]
}

// Now returns the virtual time since the loop's start.
func (l *Loop) Now() time.Duration { return l.now }

// After schedules run at the current time plus delay. Events of the same time run in the order in which they were scheduled; a
// negative delay counts as 0.
func (l *Loop) After(delay time.Duration, run func()) { l.events.Push(l.now+max(0, delay), run) }

// Step advances the clock to the next event and runs it. It reports whether there was one.
func (l *Loop) Step() bool {
	if l.events.Len() == 0 {
		return false
	}
	at, run := l.events.Pop()
	l.now = at
	run()
	return true
}

// RunFor runs the events of the next span, including those that these schedule, and advances the clock by all of it.
func (l *Loop) RunFor(span time.Duration) {
	end := l.now + span
	for l.isDue(end) {
		l.Step()
	}
	l.now = end
}

// RunUntil runs events until a condition holds, which it checks before each of them, and reports whether it holds. If the
// timeout passes first, the clock shows its end.
func (l *Loop) RunUntil(timeout time.Duration, condition func() bool) bool {
	for end := l.now + timeout; !condition(); l.Step() {
		if !l.isDue(end) {
			l.now = max(l.now, end)
			return false
		}
	}
	return true
}

// Clear removes all scheduled events.
func (l *Loop) Clear() { l.events.Clear() }

// isDue reports whether the next event is due at or before end.
func (l *Loop) isDue(end time.Duration) bool { return l.events.Len() > 0 && l.events.NextAt() <= end }
