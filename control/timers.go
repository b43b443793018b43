package control

import "time"

const (
	// tickInterval is the time between wake-ups while any message is open: rates, waits and late calls are looked at that often. Longer
	// costs latency, shorter costs processor time.
	tickInterval = 25 * time.Millisecond
	// subscribeSpacing is what is left to each sender to ask for the list: one service answers all of them, one by one.
	subscribeSpacing = 100 * time.Millisecond
)

// subscribe asks for the list when its time has come.
func (s *Sender) subscribe() {
	if s.steps == 1 && s.settings.MustSubscribe { // what is listed now is known from before
		s.scheduleSubscribe()
	}
	if s.subscribeAt > 0 && s.now+1 >= s.subscribeAt { // subscribeAt is one late, as 0 means none
		s.subscribeAt = 0
		s.emit(Action{Kind: Subscribe})
	}
}

// scheduleSubscribe puts off the request for the list. The service could answer no sender in time if all asked at the event that makes
// them ask: each has its turn, and asks again, with exponential backoff, when all have had theirs.
func (s *Sender) scheduleSubscribe() {
	maxBackoff, peers := max(s.settings.SubscribeWithin*3/4, time.Second), time.Duration(s.settings.Peers)
	if all := min(subscribeSpacing*peers, maxBackoff); s.subscribeBackoff == 0 {
		s.subscribeAt = s.now + 1 + all*time.Duration(s.settings.Index)/peers
		s.subscribeBackoff = max(all, decreaseInterval)
	} else {
		s.subscribeAt = s.now + toDuration(s.subscribeBackoff.Seconds()*(0.9+s.random()/10))
		s.subscribeBackoff = min(2*s.subscribeBackoff, maxBackoff)
	}
}

// scheduleWake asks for the next Step while there is anything to do.
func (s *Sender) scheduleWake() {
	if (s.openMessages > 0 || s.subscribeAt > 0) && s.wakeAt <= s.now {
		s.wakeAt = s.now + tickInterval
		s.emit(Action{Kind: Wake, At: s.wakeAt})
	}
}
