package control

import "time"

const (
	// tickInterval is the time between wake-ups while a message is open: rate limits, waits and late calls are checked that often. A
	// longer interval adds latency, a shorter one processor time.
	tickInterval = 25 * time.Millisecond
	// subscribeSpacing is the time for each sender over which the first requests for the list are spread, since one service answers the
	// requests of all senders one after the other.
	subscribeSpacing = 100 * time.Millisecond
)

// subscribe requests the list if its time has come.
func (s *Sender) subscribe() {
	if s.steps == 1 && s.settings.MustSubscribe { // a list applied in this first Step dates from before the start
		s.scheduleSubscribe()
	}
	if s.subscribeAt > 0 && s.now+1 >= s.subscribeAt { // subscribeAt has 1 ns added, as 0 means none
		s.subscribeAt = 0
		s.emit(Action{Kind: Subscribe})
	}
}

// scheduleSubscribe schedules the next request for the list. If one event makes all senders request the list and all did so immediately,
// the service could answer none of them in time. So the first requests are spread over all senders, and each sender repeats its request,
// with exponential backoff, only after all have had their turn.
func (s *Sender) scheduleSubscribe() {
	maxBackoff, peers := max(s.settings.SubscribeWithin*3/4, time.Second), time.Duration(s.settings.Peers)
	if round := min(subscribeSpacing*peers, maxBackoff); s.subscribeBackoff == 0 {
		s.subscribeAt = s.now + 1 + round*time.Duration(s.settings.Index)/peers
		s.subscribeBackoff = max(round, decreaseInterval)
	} else {
		s.subscribeAt = s.now + toDuration(s.subscribeBackoff.Seconds()*(0.9+s.random()/10))
		s.subscribeBackoff = min(2*s.subscribeBackoff, maxBackoff)
	}
}

// scheduleWake requests the next Step while there is something to do.
func (s *Sender) scheduleWake() {
	if (s.openMessages > 0 || s.subscribeAt > 0) && s.wakeAt <= s.now {
		s.wakeAt = s.now + tickInterval
		s.emit(Action{Kind: Wake, At: s.wakeAt})
	}
}
