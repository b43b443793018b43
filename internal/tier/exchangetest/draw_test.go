package exchangetest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// source is where the numbers of a plan come from: a seed, or the bytes that a fuzzer tries.
type source struct {
	random *rand.Rand
	data   []byte
}

func seeded(seed uint64) *source { return &source{random: rand.New(rand.NewPCG(seed, 1))} }

// below returns a number from 0 to limit-1; 0 once the bytes are used up.
func (s *source) below(limit int) int {
	if s.random != nil {
		return s.random.IntN(limit)
	}
	number := 0
	for range 2 {
		if len(s.data) > 0 && (number == 0 || limit > 256) {
			number = number<<8 | int(s.data[0])
			s.data = s.data[1:]
		}
	}
	return number % limit
}

// one tells whether a thing happens that happens once in so many times.
func (s *source) one(in int) bool { return s.below(in) == in-1 }

// upTo returns a time of whole milliseconds.
func (s *source) upTo(milliseconds int) time.Duration {
	return time.Duration(s.below(milliseconds+1)) * time.Millisecond
}

// pick returns one of several values.
func pick[T any](s *source, values ...T) T { return values[s.below(len(values))] }

// drawPlan draws a whole plan. In one of eight the endpoints and the clients make no trouble.
func drawPlan(s *source) plan {
	troubled := !s.one(8)
	p := plan{untroubled: !troubled}
	if troubled {
		p.maxConnections = pick(s, 0, 0, 2)
	}
	for client := range 1 + s.below(3) {
		var requests []*requestScript
		for number := range 1 + s.below(4) {
			requests = append(requests, drawRequest(s, fmt.Sprintf("r%d-%d", client, number), troubled))
		}
		for i := range requests[1:] {
			requests[i].ahead = s.one(6) && !requests[i].old && !requests[i].leaves() && !requests[i+1].leaves()
		}
		p.clients = append(p.clients, requests)
	}
	for range s.below(3) {
		event := worldEvent{at: s.upTo(120), kind: eventKind(s.below(int(eventKinds))), endpoint: s.below(endpointCount)}
		if troubled || event.kind < crash {
			p.events = append(p.events, event)
		}
	}
	return p
}

func drawRequest(s *source, id string, troubled bool) *requestScript {
	r := &requestScript{
		id:     id,
		route:  pick(s, onceRoute, onceRoute, safeRoute, resumeRoute, resumeRoute, streamRoute, turnRoute),
		method: pick(s, "POST", "GET", "GET", "HEAD"),
		before: s.upTo(40),
		sent:   -1,
		timeIn: time.Duration(pick(s, 1000, 1000, 300)) * time.Millisecond,
	}
	if r.method == "POST" {
		r.size = pick(s, 0, 1, 20, 3000, 40_000, 200_000)
		r.old = s.one(8)
		if r.size > 0 && !r.old {
			r.chunks = pick(s, 0, 0, 1, 3)
		}
	}
	if r.route == turnRoute {
		r.chain = pick(s, 0, 300, 50_000)
	}
	r.split, r.pause = s.below(200), s.upTo(10)
	if !troubled {
		r.timeIn = time.Second
		r.sends = []sendScript{drawGood(s, r)}
		return r
	}
	if s.one(6) {
		r.leave, r.waits = pick(s, finish, reset, halfOnly), s.upTo(60)
		if s.one(3) {
			r.sent = s.below(len(r.wire()))
		}
	}
	if s.one(2) {
		r.begin, r.end = pick(s, taken, taken, taken, beginKind(s.below(int(beginKinds)))), endKind(s.below(int(endKinds)))
	}
	if s.one(8) {
		r.stalls = s.upTo(1500)
	}
	r.timeout = time.Duration(pick(s, 0, 0, 20)) * time.Millisecond
	for range 1 + s.below(3) {
		if s.one(3) {
			r.sends = append(r.sends, drawGood(s, r))
			continue
		}
		r.sends = append(r.sends, drawSend(s, r))
	}
	return r
}

// drawGood draws a send that goes well.
func drawGood(s *source, r *requestScript) sendScript {
	script := whole(pick(s, success, success, chunked, informational, unframed), 0)
	script.size = drawSize(s, r)
	script.delay, script.split, script.pause = s.upTo(20), s.below(300), s.upTo(10)
	return script
}

// drawSize draws the bytes of an answer, or the events of a stream.
func drawSize(s *source, r *requestScript) int {
	if r.route.streaming() {
		return pick(s, 3, 1, 8, 0)
	}
	return pick(s, 10, 0, 1, 5000, 40_000, 200_000)
}

// drawSend draws what becomes of a send.
func drawSend(s *source, r *requestScript) sendScript {
	script := drawGood(s, r)
	if s.one(2) {
		script.kind = answerKind(s.below(int(answerKinds)))
	}
	script.anew = s.one(8)
	if r.size > 0 && s.one(3) {
		script.early, script.readOn = true, s.upTo(60)
	}
	troubles := 6
	if r.route == resumeRoute {
		troubles = 3 // broken off more often, so that many streams are taken up
		script.size = 8
	}
	switch s.below(troubles) {
	case 0:
		script.takes, script.end = s.below(r.size+200), pick(s, reset, finish, halfOnly)
	case 1, 2:
		length := len(run{request: &requestScript{id: r.id, route: r.route, method: r.method, sends: []sendScript{script}}}.answer())
		script.cut, script.end = s.below(length+1), pick(s, finish, reset, halfOnly)
	case 3:
		script.end, script.endWait = pick(s, finish, reset, halfOnly), s.upTo(30)
	case 4:
		script.extra, script.late = script.kind != unframed, s.upTo(30)
	}
	return script
}
