package node

import "time"

// Times of the questions that a process asks controllers.
const (
	missingInterval = 100 * time.Millisecond // while sections are missing
	usualInterval   = 700 * time.Millisecond // so that what is lost on the way is made good well within the bound for changes
	thawedAfter     = time.Second            // a turn that comes so late means that the process stood still
	askedAnew       = 3                      // controllers that are asked after that, and at the start: one of them may be cut off and hold old sections
)

// questions tells when controllers are to be told what a process holds, so that they tell it what is newer. Members that
// reach no other member but controllers depend on it.
type questions struct {
	asked bool
	dueAt time.Duration
}

// due tells how many controllers are to be asked now, and the time until the next question.
func (q *questions) due(now time.Duration, lacks bool) (count int, next time.Duration) {
	late := now - q.dueAt
	if late < 0 && (!lacks || -late <= missingInterval) {
		return 0, -late
	}
	next = usualInterval
	if lacks {
		next = missingInterval
	}
	isAnew := !q.asked || late > thawedAfter
	q.asked, q.dueAt = true, now+next
	if isAnew {
		return askedAnew, next
	}
	return 1, next
}
