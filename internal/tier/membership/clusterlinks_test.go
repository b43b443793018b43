package membership

import (
	"encoding/json"
	"time"
)

func (w *cluster) delay() time.Duration {
	return w.shortest + time.Duration(w.random.Int64N(int64(w.longest-w.shortest)+1))
}

func (w *cluster) sendDatagram(from *host, datagram Datagram) {
	from.sent++
	from.recordSuspicions(w.loop.Now(), datagram.Message.Updates)
	if w.measure {
		encoded, err := json.Marshal(datagram.Message)
		if err != nil {
			panic(err)
		}
		from.bytes += len(encoded)
		w.largest = max(w.largest, len(encoded))
	}
	w.carry(from, datagram)
	if w.random.Float64() < w.duplicate {
		w.carry(from, datagram)
	}
}

func (w *cluster) carry(from *host, datagram Datagram) {
	to := w.byAddress[datagram.Address]
	if to == nil || w.random.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if to.node != nil && !w.blocked(from, to) {
			w.deliver(to, Input{Datagrams: []Datagram{{from.member.Address, datagram.Message}}})
		}
	})
}

// replyRoute is where the reply to a PushPullArrival goes.
type replyRoute struct {
	caller *host
	starts int
	token  uint64
}

func (w *cluster) call(from *host, call PushPullCall) {
	starts := from.starts
	w.calls++
	if w.measure {
		encoded, _ := json.Marshal(call.Message)
		w.callBytes += len(encoded)
	}
	fail := func(after time.Duration) {
		w.after(after, func() {
			if from.starts == starts && from.node != nil {
				w.deliver(from, Input{Results: []PushPullResult{{Token: call.Token, Failed: true}}})
			}
		})
	}
	const connectTimeout = time.Second
	to := w.byAddress[call.Address]
	if to == nil {
		fail(connectTimeout)
		return
	}
	w.after(2*w.delay(), func() {
		switch {
		case w.blocked(from, to) || w.blocked(to, from):
			fail(connectTimeout)
		case to.node == nil:
			fail(w.delay())
		default:
			w.routes = append(w.routes, replyRoute{from, starts, call.Token})
			w.deliver(to, Input{Arrivals: []PushPullArrival{{uint64(len(w.routes)), call.Message}}})
		}
	})
}

func (w *cluster) replies(from *host, reply PushPullReply) {
	route := w.routes[reply.Token-1]
	if w.measure {
		encoded, _ := json.Marshal(reply.Message)
		w.callBytes += len(encoded)
	}
	w.after(w.delay(), func() {
		if route.caller.starts != route.starts || route.caller.node == nil {
			return
		}
		outcome := PushPullResult{Token: route.token, Response: reply.Message, Failed: w.blocked(from, route.caller)}
		w.deliver(route.caller, Input{Results: []PushPullResult{outcome}})
	})
}
