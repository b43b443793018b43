package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// Fleet is what all relays did together, beside what the endpoints allowed.
type Fleet struct {
	InStep  float64 `cbor:"InStep"`  // largest share of the relays that sent in the same turn
	Over    float64 `cbor:"Over"`    // most calls that came to an endpoint in a second, over what it allowed then; cold ones allow less
	Wasted  float64 `cbor:"Wasted"`  // calls turned away a message
	Regain  float64 `cbor:"Regain"`  // s from a trouble's end until deliveries reach 90 % of what comes, the longest; -1: never
	Shared  float64 `cbor:"Shared"`  // bytes a second that a relay which does not lead sends and gets to share limits
	Unequal float64 `cbor:"Unequal"` // 1 less Jain's index over the relays' shares delivered; 0: all alike
}

// fleet counts for that while a world is played.
type fleet struct {
	turnAt        time.Duration
	sent, most    int       // relays that sent in the turn, and in the fullest
	good          []int32   // deliveries, by second
	perCame, perD []float64 // by relay
}

// turned takes a relay's turn.
func (f *fleet) turned(r *Run, acts []control.Action) {
	if f.turnAt != r.now {
		f.turnAt, f.sent = r.now, 0
	}
	if slices.ContainsFunc(acts, func(a control.Action) bool { return a.Kind == control.Send }) {
		f.sent++
		f.most = max(f.most, f.sent)
	}
}

// at lengthens list to hold place i.
func at[T any](list []T, i int) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	return list
}

// reached counts a call that has come to an endpoint.
func (f *fleet) reached(r *Run, e *endpoint) {
	limit := r.limit(e)
	if limit == 0 {
		return
	}
	sec := int((r.now - start) / time.Second)
	e.came, e.allowed = at(e.came, sec), at(e.allowed, sec)
	e.came[sec]++
	if e.coldSince != 0 {
		limit *= float64(r.capacity(e)) / float64(r.W.Partners[e.group].Workers)
	}
	e.allowed[sec] = max(e.allowed[sec], limit)
}

// over counts a message's end.
func (f *fleet) over(r *Run, m *message, how end) {
	n := len(r.relays)
	f.perCame, f.perD = at(f.perCame, n-1), at(f.perD, n-1)
	f.perCame[m.first]++
	if how == endDelivered {
		sec := int((r.now - start) / time.Second)
		f.good = at(f.good, sec)
		f.good[sec]++
		f.perD[m.first]++
	}
}

// result is what has been counted, with the calls turned away in all.
func (f *fleet) result(r *Run, turned int) Fleet {
	res := Fleet{InStep: float64(f.most) / float64(len(r.relays)), Wasted: float64(turned) / float64(max(len(r.msgs), 1))}
	for i := range r.ends {
		e := &r.ends[i]
		for sec, n := range e.came {
			if e.allowed[sec] >= 1 {
				res.Over = max(res.Over, float64(n)/e.allowed[sec])
			}
		}
	}
	for _, t := range r.W.Troubles {
		if t.Kind == Surge {
			continue
		}
		from, found := int((time.Duration(t.At)+time.Duration(t.For))/time.Second), false
		for sec := from; sec < int(time.Duration(r.W.Length)/time.Second) && sec < len(f.good); sec++ {
			if float64(f.good[sec]) >= 0.9*r.W.Rate {
				res.Regain, found = max(res.Regain, float64(sec-from)), true
				break
			}
		}
		if !found {
			res.Regain = -1
			break
		}
	}
	res.Shared = float64(r.share.bytes) / max(time.Duration(r.W.Length).Seconds(), 1) / float64(len(r.relays))
	sum, squares, n := 0.0, 0.0, 0.0
	for i, came := range f.perCame {
		if came > 0 {
			x := f.perD[i] / came
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares > 0 {
		res.Unequal = math.Max(0, 1-sum*sum/(n*squares))
	}
	return res
}
