package exchangetest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// drawSource supplies the random numbers of a scenario, either from a seed or from a fuzzer's bytes.
type drawSource struct {
	random *rand.Rand // nil: the numbers come from data
	data   []byte     // the fuzzer's bytes that are not used yet
}

func seeded(seed uint64) *drawSource { return &drawSource{random: rand.New(rand.NewPCG(seed, 1))} }

// below returns a number from 0 to limit-1; 0 once the fuzzer's bytes are used up.
func (s *drawSource) below(limit int) int {
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

// one draws true with probability 1/in.
func (s *drawSource) one(in int) bool { return s.below(in) == in-1 }

// upTo returns a duration in whole milliseconds.
func (s *drawSource) upTo(milliseconds int) time.Duration {
	return time.Duration(s.below(milliseconds+1)) * time.Millisecond
}

// oneOf returns one of several values.
func oneOf[T any](s *drawSource, values ...T) T { return values[s.below(len(values))] }

// drawScenario draws a scenario. In one of eight, neither endpoints nor clients cause a fault.
func drawScenario(s *drawSource) scenario {
	faulty := !s.one(8)
	p := scenario{faultFree: !faulty}
	if faulty {
		p.maxConnections = oneOf(s, 0, 0, 2)
	}
	for client := range 1 + s.below(3) {
		var requests []*requestScript
		for number := range 1 + s.below(4) {
			requests = append(requests, drawRequest(s, fmt.Sprintf("r%d-%d", client, number), faulty))
		}
		for i := range requests[1:] {
			requests[i].pipelined = s.one(6) && !requests[i].http10 && !requests[i].disconnects() && !requests[i+1].disconnects()
		}
		p.clients = append(p.clients, requests)
	}
	for range s.below(3) {
		event := scenarioEvent{at: s.upTo(120), kind: scenarioEventKind(s.below(int(eventKinds))), endpoint: s.below(endpointCount)}
		if faulty || event.kind < crash {
			p.events = append(p.events, event)
		}
	}
	return p
}

// drawRequest draws what the client and the endpoints do with a request. If faulty is set, either side may cause faults.
func drawRequest(source *drawSource, id string, faulty bool) *requestScript {
	request := &requestScript{
		id:         id,
		route:      oneOf(source, onceRoute, onceRoute, safeRoute, resumeRoute, resumeRoute, streamRoute, turnRoute, resumeTurnRoute, resumeTurnRoute),
		method:     oneOf(source, "POST", "GET", "GET", "HEAD"),
		startDelay: source.upTo(40),
		sendLimit:  -1,
		timeLeft:   time.Duration(oneOf(source, 1000, 1000, 300)) * time.Millisecond,
	}
	if request.method == "POST" {
		request.size = oneOf(source, 0, 1, 20, 3000, 40_000, 200_000)
		request.http10 = source.one(8)
		if request.size > 0 && !request.http10 {
			request.chunks = oneOf(source, 0, 0, 1, 3)
		}
	}
	if request.route.stateful() {
		request.chain = oneOf(source, 0, 300, 50_000)
	}
	request.split, request.splitDelay = source.below(200), source.upTo(10)
	if !faulty {
		request.timeLeft = time.Second
		request.attempts = []attemptScript{drawFaultFreeAttempt(source, request)}
		return request
	}
	drawFaults(source, request)
	return request
}

// drawFaults draws how a client disconnects or stalls, what the stores answer, and what the endpoints do with each attempt.
func drawFaults(source *drawSource, request *requestScript) {
	if source.one(6) {
		request.disconnect, request.disconnectDelay = oneOf(source, orderlyClose, resetClose, halfClose), source.upTo(60)
		if source.one(3) {
			request.sendLimit = source.below(len(request.wire()))
		}
	}
	if source.one(2) {
		request.beginResult, request.endResult = oneOf(source, turnAccepted, turnAccepted, turnAccepted, beginKind(source.below(int(beginKinds)))), endKind(source.below(int(endKinds)))
	}
	if source.one(8) {
		request.readStall = source.upTo(1500)
	}
	request.attemptTimeout = time.Duration(oneOf(source, 0, 0, 20)) * time.Millisecond
	for range 1 + source.below(4) {
		if source.one(3) {
			request.attempts = append(request.attempts, drawFaultFreeAttempt(source, request))
			continue
		}
		request.attempts = append(request.attempts, drawAttempt(source, request))
	}
}

// drawFaultFreeAttempt draws an attempt without a fault.
func drawFaultFreeAttempt(s *drawSource, r *requestScript) attemptScript {
	script := completeScript(oneOf(s, success, success, chunked, informational, closeDelimited, withLength), 0)
	script.size = drawSize(s, r)
	script.delay, script.split, script.splitDelay = s.upTo(20), s.below(300), s.upTo(10)
	if r.route.streaming() {
		script.pieceSize = oneOf(s, 0, 0, 5, 17, 60)
	}
	return script
}

// drawSize draws the number of bytes of a response, or of events of a stream.
func drawSize(s *drawSource, r *requestScript) int {
	if r.route.streaming() {
		return oneOf(s, 3, 1, 8, 0)
	}
	return oneOf(s, 10, 0, 1, 5000, 40_000, 200_000)
}

// drawAttempt draws an attempt that may have faults.
func drawAttempt(s *drawSource, r *requestScript) attemptScript {
	script := drawFaultFreeAttempt(s, r)
	if s.one(2) {
		script.kind = responseKind(s.below(int(answerKinds)))
	}
	script.fromFirstEvent = s.one(8)
	if r.size > 0 && s.one(3) {
		script.early, script.readOnDelay = true, s.upTo(60)
	}
	faults := 6
	if r.route.resumable() {
		faults = 3 // more truncated responses, so that many streams are resumed
		script.size = 8
	}
	switch s.below(faults) {
	case 0:
		script.readLimit, script.end = s.below(r.size+200), oneOf(s, resetClose, orderlyClose, halfClose)
	case 1, 2:
		length := len(endpointAttempt{request: &requestScript{id: r.id, route: r.route, method: r.method, attempts: []attemptScript{script}}}.answer())
		script.breakAfter, script.end = s.below(length+1), oneOf(s, orderlyClose, resetClose, halfClose)
	case 3:
		script.end, script.endDelay = oneOf(s, orderlyClose, resetClose, halfClose), s.upTo(30)
	case 4:
		script.secondResponse, script.secondDelay = script.kind != closeDelimited, s.upTo(30)
	}
	return script
}
