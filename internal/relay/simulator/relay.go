package simulator

import (
	"encoding/binary"
	"time"

	"mastusher/control"
)

// relay is one relay with its policy and the events for its next turn.
type relay struct {
	policy   Policy
	events   []control.Event
	nextTurn time.Duration // 0: none is scheduled
	wakeAt   time.Duration // requested by the policy; 0: no wake-up
	down     bool
	seed     uint64
	inFlight map[uint64]int32 // calls, by submission ID
}

// startRelay creates the policy of relay i and notifies it of the complete endpoint list.
func (r *Run) startRelay(i int32) error {
	re := &r.relays[i]
	p, err := r.factory(r.World.Settings(int(i)), re.seed)
	if err != nil {
		return err
	}
	if s, ok := p.(TruthObserver); ok {
		s.ObserveTruth(r.truth)
	}
	*re = relay{policy: p, seed: re.seed + 1, inFlight: map[uint64]int32{}}
	complete := control.Event{Kind: control.Listed, Complete: true}
	for e := range r.endpoints {
		if s := r.endpoints[e].listed; s != control.Removed {
			complete.Endpoints = append(complete.Endpoints, r.listedEndpoint(int32(e), s))
		}
	}
	r.notify(i, complete)
	return nil
}

// notify queues an event for a relay's next turn; a relay that is down misses it.
func (r *Run) notify(i int32, ev control.Event) {
	re := &r.relays[i]
	if re.down {
		return
	}
	re.events = append(re.events, ev)
	r.scheduleTurn(i, r.now)
}

// scheduleTurn schedules a relay's next turn at the first multiple of World.TurnInterval after a time.
func (r *Run) scheduleTurn(i int32, at time.Duration) {
	re, interval := &r.relays[i], time.Duration(r.World.TurnInterval)
	at = (max(at, r.now) + interval) / interval * interval
	if re.nextTurn == 0 || at < re.nextTurn {
		re.nextTurn = at
		r.schedule(at, eventTurn, i, 0)
	}
}

// turn passes a relay's events to its policy and applies the actions.
func (r *Run) turn(i int32) {
	re := &r.relays[i]
	if re.nextTurn != r.now || re.down {
		return
	}
	re.nextTurn = 0
	if re.wakeAt != 0 && re.wakeAt <= r.now {
		re.wakeAt = 0
		re.events = append(re.events, control.Event{Kind: control.Woken})
	}
	if len(re.events) == 0 {
		return
	}
	r.turns++
	for k := range re.events {
		r.Checker.observeEvent(i, &re.events[k])
	}
	r.actions = re.policy.Step(r.now, re.events, r.actions[:0])
	re.events = re.events[:0]
	r.fleet.recordTurn(r, r.actions)
	for k := range r.actions {
		r.apply(i, &r.actions[k])
	}
	if re.wakeAt != 0 {
		r.scheduleTurn(i, re.wakeAt)
	}
}

// apply executes an action of relay i and adds it to the hash of all decisions.
func (r *Run) apply(i int32, a *control.Action) {
	b := r.hashBuffer[:]
	binary.LittleEndian.PutUint64(b, uint64(r.now))
	binary.LittleEndian.PutUint64(b[8:], uint64(i)<<8|uint64(a.Kind))
	binary.LittleEndian.PutUint64(b[16:], a.ID)
	binary.LittleEndian.PutUint64(b[24:], uint64(a.Endpoint)<<32|uint64(uint32(a.Attempt)))
	binary.LittleEndian.PutUint64(b[32:], uint64(a.Duration))
	binary.LittleEndian.PutUint64(b[40:], uint64(a.At))
	_, _ = r.hash.Write(b)
	re := &r.relays[i]
	switch a.Kind {
	case control.Send:
		r.send(i, a)
	case control.Refuse, control.Fail:
		r.finishSubmission(i, a)
	case control.Cancel:
		if c, ok := re.inFlight[a.ID]; ok {
			r.resolve(c, control.Cancelled, 0)
		}
	case control.Recall:
		if c, ok := re.inFlight[a.ID]; ok && r.calls[c].sentAt+r.networkDelay(i, r.calls[c].endpoint, false) > r.now {
			r.resolve(c, control.NotProcessed, 0) // the call has not reached the endpoint
		}
	case control.Wake:
		if at := max(a.At, r.now+1); re.wakeAt == 0 || at < re.wakeAt {
			re.wakeAt = at
		}
	}
}

// crashRelay stops a relay at once: its calls continue at their endpoints, but their responses are dropped.
func (r *Run) crashRelay(i int32) {
	re := &r.relays[i]
	if re.down {
		return
	}
	re.down, re.nextTurn, re.wakeAt, re.events = true, 0, 0, re.events[:0]
	for n := range r.calls {
		c := &r.calls[n]
		if c.relay != i || c.state != callInFlight && c.state != callUnanswered {
			continue
		}
		msg := &r.messages[c.message]
		if msg.inFlight--; !msg.mayHaveRun {
			msg.mayHaveRun, msg.mayHaveRunAt = true, c.sentAt
		}
		if c.state == callUnanswered {
			r.release(int32(n))
		} else {
			c.state = callAbandoned
		}
	}
}

// restartRelay restarts a crashed relay. A DurablePolicy recovers the messages in its journal; to any other policy the simulator submits
// again the messages that had not finished at the relay.
func (r *Run) restartRelay(i int32) {
	re := &r.relays[i]
	if !re.down {
		return
	}
	re.down = false
	r.sharing.resetRelay(i)
	durable, isDurable := re.policy.(DurablePolicy)
	factory := r.factory
	if isDurable {
		r.factory = durable.Successor()
	}
	err := r.startRelay(i)
	if r.factory = factory; err != nil {
		panic(err) // New accepted the same settings
	}
	for id := range r.submissions {
		sub := &r.submissions[id]
		msg := &r.messages[sub.message]
		if sub.relay != i || sub.finished || msg.finished {
			continue
		}
		if isDurable {
			if !durable.Pending(uint64(id + 1)) { // the relay crashed before it responded to the client
				sub.finished = true
				r.resubmit(sub.message, i, 0)
			}
			continue
		}
		ev := control.Event{Kind: control.Arrived, ID: uint64(id + 1), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline,
			Resubmitted: true, Attempt: int(sub.attempts)}
		if msg.mayHaveRun {
			ev.MayHaveRun, ev.RanAt = true, msg.mayHaveRunAt
		}
		r.notify(i, ev)
	}
}
