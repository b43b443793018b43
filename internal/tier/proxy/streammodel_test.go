package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/program"
)

// bodyFraming is how an endpoint marks the end of a body.
type bodyFraming string

const (
	framedByLength bodyFraming = "length"
	framedByChunks bodyFraming = "chunks"
	framedByClose  bodyFraming = "close"
)

// modelEvent is one event of a stream, with its part of the turn's output.
type modelEvent struct {
	text   string // with the blank line that ends it, unless it is the last event and has none
	output string // its data, each line followed by a line feed
	id     int    // 0: it is only a comment
}

// drawEvents draws a stream whose events have rising ids. Its last event may lack its blank line.
func drawEvents(t *rapid.T) []modelEvent {
	lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
	var events []modelEvent
	id := 0
	for range rapid.IntRange(1, 7).Draw(t, "events") {
		id += rapid.IntRange(1, 3).Draw(t, "step")
		events = append(events, drawEvent(t, id, lineEnd))
		if rapid.IntRange(0, 4).Draw(t, "comment") == 0 {
			events = append(events, modelEvent{text: ": comment " + strconv.Itoa(id) + lineEnd + lineEnd})
		}
	}
	last := &events[len(events)-1]
	if last.id > 0 && rapid.Bool().Draw(t, "last event lacks its blank line") {
		last.text = strings.TrimSuffix(last.text, lineEnd)
	}
	return events
}

func drawEvent(t *rapid.T, id int, lineEnd string) modelEvent {
	event := modelEvent{id: id}
	lines := []string{"id: " + strconv.Itoa(id)}
	for range rapid.IntRange(0, 3).Draw(t, "lines") {
		data := rapid.SampledFrom([]string{"", "x", "a token", ": :", "id: 9"}).Draw(t, "data")
		lines = append(lines, "data: "+data)
		event.output += data + "\n"
	}
	if rapid.Bool().Draw(t, "version") {
		lines = append([]string{"versions: 4"}, lines...)
	}
	event.text = strings.Join(lines, lineEnd) + lineEnd + lineEnd
	return event
}

// modelAttempt is an endpoint's behaviour in one attempt.
type modelAttempt struct {
	framing bodyFraming
	pieces  []int // sizes of the writes, repeated
	cut     int   // bytes of the body after which it is cut off; beyond its end: never
	early   bool  // it is cut off before the head
}

func drawModelAttempt(t *rapid.T, last bool) modelAttempt {
	attempt := modelAttempt{
		framing: rapid.SampledFrom([]bodyFraming{framedByLength, framedByChunks, framedByClose}).Draw(t, "framing"),
		pieces:  rapid.SliceOfN(rapid.IntRange(1, 60), 1, 4).Draw(t, "pieces"),
		cut:     1 << 20,
	}
	if !last {
		attempt.cut = rapid.IntRange(0, 150).Draw(t, "cut")
		attempt.early = rapid.IntRange(0, 5).Draw(t, "early") == 0
	}
	return attempt
}

// modelRun is a stream that several endpoints send parts of, in turn.
type modelRun struct {
	mutex    sync.Mutex // guards the fields below against endpoints that still serve attempts of the run before
	events   []modelEvent
	attempts []modelAttempt
	next     int   // number of the next attempt
	from     []int // id after which each attempt was asked to go on
}

// draw makes another run of the model.
func (m *modelRun) draw(t *rapid.T) {
	events := drawEvents(t)
	count := rapid.IntRange(1, 3).Draw(t, "attempts")
	var attempts []modelAttempt
	for i := range count {
		attempts = append(attempts, drawModelAttempt(t, i == count-1))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.events, m.attempts, m.next, m.from = events, attempts, 0, nil
}

// respond is the script of all endpoints: each attempt sends the events after Last-Event-Id.
func (m *modelRun) respond(socket net.Conn, request receivedRequest) bool {
	last, _ := strconv.Atoi(request.header.Get("Last-Event-Id"))
	m.mutex.Lock()
	attempt := m.attempts[min(m.next, len(m.attempts)-1)]
	m.next++
	m.from = append(m.from, last)
	body := m.textAfter(last)
	m.mutex.Unlock()
	if attempt.early {
		return false
	}
	head := "Content-Type: text/event-stream"
	switch attempt.framing {
	case framedByLength:
		head += "\r\n" + withLength(body)
	case framedByChunks:
		head = streamHead
	}
	_, _ = io.WriteString(socket, sealedHead(200, request, head))
	whole := attempt.cut >= len(body)
	m.writePieces(socket, body[:min(attempt.cut, len(body))], &attempt)
	switch {
	case !whole && attempt.framing == framedByClose:
		// The reset must not overtake the bytes before it.
		time.Sleep(5 * writePause)
		return resetConnection(socket, request)
	case whole && attempt.framing == framedByChunks:
		_, _ = io.WriteString(socket, lastChunk)
	}
	return whole && attempt.framing != framedByClose
}

// writePieces writes a body, or the part before its cut, in the writes of the attempt.
func (m *modelRun) writePieces(socket net.Conn, body string, attempt *modelAttempt) {
	for i := 0; body != ""; i++ {
		size := min(attempt.pieces[i%len(attempt.pieces)], len(body))
		piece := body[:size]
		if attempt.framing == framedByChunks {
			piece = chunk(piece)
		}
		_, _ = io.WriteString(socket, piece)
		body = body[size:]
		time.Sleep(writePause / 10)
	}
}

// textAfter returns the text of the events after the one with an id; 0: of all.
func (m *modelRun) textAfter(id int) string {
	var text strings.Builder
	for _, one := range m.eventsAfter(id) {
		text.WriteString(one.text)
	}
	return text.String()
}

func (m *modelRun) eventsAfter(id int) []modelEvent {
	if id == 0 {
		return m.events
	}
	at := slices.IndexFunc(m.events, func(e modelEvent) bool { return e.id == id })
	return slices.Clone(m.events[at+1:])
}

// expectation is the response that a client gets, and the output that is kept for later turns.
type expectation struct {
	body, output string
	count        int64
	complete     bool
}

// expected follows the attempts by the rules of the protocol: events that an attempt completes are forwarded, and the next attempt continues
// after the last event with an id. resumable says that the route allows this; maxAttempts bounds the attempts.
func (m *modelRun) expected(resumable bool, maxAttempts int) expectation {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var want expectation
	last, begun, hasLength := 0, false, false
	for number := range maxAttempts {
		attempt := m.attempts[min(number, len(m.attempts)-1)]
		body := m.textAfter(last)
		cut := attempt.cut
		if attempt.early {
			cut = -1
		}
		whole := cut >= len(body) && !(attempt.framing == framedByClose && !endsWithBlankLine(body))
		sent := 0
		for _, event := range m.eventsAfter(last) {
			ends := sent + len(event.text)
			if ends > cut || !whole && !endsWithBlankLine(event.text) {
				break
			}
			sent = ends
			want.body += event.text
			want.output += event.output
			if event.id > 0 {
				want.count++
				last = event.id
			}
		}
		if !begun && (sent > 0 || whole) {
			begun, hasLength = true, attempt.framing == framedByLength
		}
		if want.complete = whole; whole {
			return want
		}
		if !resumable || begun && (hasLength || last == 0) {
			return want
		}
	}
	return want
}

// endsWithBlankLine reports whether text is empty or ends with that of a complete event. The end of a connection elsewhere is a cut.
func endsWithBlankLine(text string) bool {
	return text == "" || strings.HasSuffix(text, "\n\n") || strings.HasSuffix(text, "\r\n\r\n")
}

// keptTurns is a Programs that keeps the turns' inputs and outputs, and gives each later turn its chain.
type keptTurns struct {
	mutex sync.Mutex
	input map[string]string
	chain map[string]string // of a turn that is complete, with its own input and output
	ended map[string]program.EndTurn
}

func newKeptTurns() *keptTurns {
	return &keptTurns{input: map[string]string{}, chain: map[string]string{}, ended: map[string]program.EndTurn{}}
}

func (k *keptTurns) Begin(_ context.Context, _ string, turn program.BeginTurn) (program.Result, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	chain, known := k.chain[turn.Previous]
	if turn.Previous != "" && !known {
		return program.Result{Verdict: program.TurnNotFound}, nil
	}
	k.input[turn.Turn] = chain + string(turn.Input)
	return program.Result{Verdict: program.Accepted, Chain: []byte(chain)}, nil
}

func (k *keptTurns) End(_ context.Context, _ string, turn program.EndTurn) (program.Result, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	turn.Output = slices.Clone(turn.Output)
	k.ended[turn.Turn] = turn
	if turn.Complete {
		k.chain[turn.Turn] = k.input[turn.Turn] + string(turn.Output)
	}
	return program.Result{Verdict: program.Accepted}, nil
}

// A stream reaches its client byte by byte as the endpoints sent it, whatever frames its parts, wherever they are cut and however they are
// written; and the turns after it get the same events. This is the class of faults of which joined events were one.
func TestStream_AnyFramingsAndCuts_ForwardedAndKeptAsModelSays(t *testing.T) {
	model := &modelRun{}
	turns := newKeptTurns()
	endpoints := []*endpoint{newEndpoint(t, model.respond), newEndpoint(t, model.respond), newEndpoint(t, model.respond)}
	for _, one := range endpoints {
		go discardRequests(one)
		go func() {
			for range one.closed {
				continue
			}
		}()
	}
	f := newFixtureWith(t, func(options *Options) { options.Programs = turns }, endpoints...)
	go func() {
		for range f.selector.outcomes {
		}
	}()
	later := newEndpoint(t, echoBody)
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		model.draw(t)
		route := rapid.SampledFrom([]string{"stream", "turn", "resume", "resume-turn", "resume-turn"}).Draw(t, "route")
		isHTTP10 := rapid.IntRange(0, 3).Draw(t, "HTTP/1.0") == 0
		id := "t" + strconv.Itoa(number)
		maxAttempts := 1
		switch route {
		case "resume":
			maxAttempts = 2
		case "resume-turn":
			maxAttempts = 3
		}
		want := model.expected(strings.HasPrefix(route, "resume"), maxAttempts)
		got := f.sendTurn(route, id, "", isHTTP10)
		switch {
		case got.status != 200 && want.body == "" && !want.complete:
			return // nothing was forwarded: the proxy's own error
		case got.status != 200:
			t.Fatalf("status %d, %v; the model's: %+v", got.status, got.err, want)
		}
		if diff := cmp.Diff(want, expectation{body: got.body, complete: got.err == nil, output: want.output, count: want.count}, cmp.AllowUnexported(expectation{})); diff != "" {
			t.Fatalf("client, %s after %v (-want +got):\n%s", route, model.from, diff)
		}
		if !strings.HasSuffix(route, "turn") {
			return
		}
		f.checkKept(t, turns, id, want, later)
	})
}

// sendTurn sends a turn and reads its response.
func (f *fixture) sendTurn(route, id, previous string, isHTTP10 bool) receivedResponse {
	c := f.dial()
	defer c.socket.Close()
	version := "HTTP/1.1"
	if isHTTP10 {
		version = "HTTP/1.0"
	}
	fields := "Program: p\r\nBudget: 1000000\r\nX-Token-Counts: 10,100\r\n"
	if previous != "" {
		fields += "Previous: " + previous + "\r\n"
	}
	input := "input of " + id + "\n"
	c.send(fmt.Sprintf("POST /%s/x %s\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n%s%s\r\n\r\n%s", route, version, id, fields, withLength(input), input))
	return c.readResponse("POST")
}

// checkKept checks the commit of a turn at the stores, and the body that a later turn's endpoint gets.
func (f *fixture) checkKept(t *rapid.T, turns *keptTurns, id string, want expectation, later *endpoint) {
	if !want.complete {
		return // committed in the background, without output
	}
	turns.mutex.Lock()
	end := turns.ended[id]
	turns.mutex.Unlock()
	wantEnd := program.EndTurn{Turn: id, Complete: true, Tokens: 3 * want.count, Output: []byte(want.output)}
	if string(end.Output) != want.output || end.Tokens != wantEnd.Tokens || !end.Complete {
		t.Fatalf("the stores got %+v, want %+v", end, wantEnd)
	}
	f.selector.mutex.Lock()
	before := f.selector.endpoints
	f.selector.endpoints = []Selection{{ID: "later", Address: later.listener.Addr().String()}}
	f.selector.mutex.Unlock()
	f.sendTurn("turn", id+"-later", id, false)
	request := <-later.requests
	f.selector.mutex.Lock()
	f.selector.endpoints = before
	f.selector.mutex.Unlock()
	if wantBody := "input of " + id + "\n" + want.output + "input of " + id + "-later\n"; request.body != wantBody {
		t.Fatalf("the later turn's endpoint got %q, want %q", request.body, wantBody)
	}
}
