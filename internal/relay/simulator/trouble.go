package simulator

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// struck are the endpoints that a trouble befalls: drawn by its own chance, so that it strikes the same ones whatever is
// decided.
func (r *Run) struck(i int) (all []int32) {
	t := &r.W.Troubles[i]
	rng := rand.New(rand.NewPCG(r.W.Seed, 100+uint64(i)))
	for n := range r.ends {
		e := &r.ends[n]
		hit := rng.Float64() < t.Share
		if e.gone || t.Partners != "" && r.W.Partners[e.group].Name != t.Partners || t.Zone > 0 && int(e.zone) != t.Zone-1 || !hit {
			continue
		}
		all = append(all, int32(n))
	}
	return all
}

// trouble begins or ends, or changes sides where it flaps.
func (r *Run) trouble(i int, on bool) {
	t := &r.W.Troubles[i]
	end := start + time.Duration(t.At) + time.Duration(t.For)
	if on {
		next := end
		if t.Every > 0 {
			next = min(next, r.now+time.Duration(t.Every)/2)
		}
		r.q.put(next, doTrouble, int32(i), 0)
	} else if t.Every > 0 && r.now+time.Duration(t.Every)/2 < end {
		r.q.put(r.now+time.Duration(t.Every)/2, doTrouble, int32(i), 1)
	}
	switch t.Kind {
	case Surge:
		if on {
			r.surge *= t.Factor
		} else {
			r.surge /= t.Factor
		}
		return
	case Mute:
		if r.mute = t.Relays; !on {
			r.mute = 0
		}
		return
	case CrashHere:
		for k := range r.relays {
			if t.Relays == 0 || k < t.Relays {
				r.crash(int32(k), on)
			}
		}
		return
	}
	step := -1
	if on {
		step = 1
	}
	if on { // the end befalls the same ones, whatever has been replaced meanwhile
		r.hit[i] = r.struck(i)
	}
	for _, n := range r.hit[i] {
		e := &r.ends[n]
		switch t.Kind {
		case Refuse:
			e.refuse += step
			e.wait = t.Wait
		case Silent:
			e.silent += step
		case Fail:
			e.fail += step
		case Slow:
			if e.slow, e.slowFor = t.Factor, t.Relays; !on {
				e.slow, e.slowFor = 1, 0
			}
		case Lower:
			if e.lowered = t.Factor; !on {
				e.lowered = 0
			}
		case Partition:
			if e.cut = max(t.Relays, 1); !on {
				e.cut = 0
			}
		case Down:
			if on {
				r.takeDown(n)
			} else {
				r.comeBack(n)
			}
		case Drain:
			if on {
				r.list(n, control.Draining)
				r.replace(n)
			} else {
				r.takeDown(n)
				r.ends[n].gone = true
				r.list(n, control.Removed)
			}
		case Vanish:
			if on {
				r.takeDown(n)
				break
			}
			r.ends[n].gone = true
			r.list(n, control.Removed)
			r.replace(n)
		}
	}
}

// replace puts another endpoint beside one that goes.
func (r *Run) replace(n int32) {
	old := r.ends[n]
	e := r.newEndpoint(old.partner, old.group)
	r.ends[e].coldSince = r.now
	r.list(e, control.Ready)
}

// list changes the list, of which relays hear later.
func (r *Run) list(n int32, s control.State) {
	r.ends[n].listed = s
	r.lists = append(r.lists, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{r.listing(n, s)}})
	for i := range r.relays {
		r.q.put(r.now+time.Duration(float64(r.W.ListDelay)*(0.5+r.rng.Float64())), doList, int32(len(r.lists)-1), int32(i))
	}
}

// crash ends a relay, or starts it again with what its journal holds.
func (r *Run) crash(i int32, on bool) {
	re := &r.relays[i]
	if on == re.down {
		return
	}
	if on {
		re.down, re.turnAt, re.wakeAt, re.in = true, 0, 0, re.in[:0]
		for n := range r.calls {
			c := &r.calls[n]
			if c.relay != i || c.state != callOut && c.state != callMute {
				continue
			}
			msg := &r.msgs[c.msg]
			if msg.out--; !msg.mayRan {
				msg.mayRan, msg.ranAt = true, c.born
			}
			if c.state == callMute {
				r.release(int32(n))
			} else {
				c.state = callLeft
			}
		}
		return
	}
	re.down = false
	r.share.reborn(i)
	durable, knows := re.policy.(Durable)
	maker := r.maker
	if knows {
		r.maker = durable.Successor()
	}
	err := r.startRelay(i)
	if r.maker = maker; err != nil {
		panic(err) // the same settings have done before
	}
	for id := range r.ticks {
		t := &r.ticks[id]
		msg := &r.msgs[t.msg]
		if t.relay != i || t.ended || msg.over {
			continue
		}
		if knows {
			if !durable.Holds(uint64(id + 1)) { // its client never had an answer
				t.ended = true
				r.again(t.msg, i, 0)
			}
			continue
		}
		ev := control.Event{Kind: control.Arrived, ID: uint64(id + 1), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline,
			Resubmitted: true, Attempt: int(t.tries)}
		if msg.mayRan {
			ev.MayHaveRun, ev.RanAt = true, msg.ranAt
		}
		r.tell(i, ev)
	}
}
