package exchangetest

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// routeKind is the kind of route that a request is for; it is also the first part of its path.
type routeKind string

const (
	safeRoute   routeKind = "safe"
	onceRoute   routeKind = "once"
	streamRoute routeKind = "stream"
	resumeRoute routeKind = "resume"
	turnRoute   routeKind = "turn" // a stream that the stores remember
)

// retryable reports whether a request may run more than once.
func (r routeKind) retryable() bool { return r == safeRoute || r == resumeRoute }

// streaming reports whether a success is a stream of events.
func (r routeKind) streaming() bool { return r == streamRoute || r == resumeRoute || r == turnRoute }

// ending is how a side ends a connection.
type ending int

const (
	keepOpen     ending = iota // it doesn't
	orderlyClose               // by an orderly close
	resetClose                 // by a reset
	halfClose                  // its own direction only
)

func (e ending) apply(conn *memoryConn) {
	switch e {
	case orderlyClose:
		conn.Close()
	case resetClose:
		conn.Reset()
	case halfClose:
		_ = conn.CloseWrite()
	}
}

// responseKind is what an endpoint answers.
type responseKind int

const (
	success        responseKind = iota // with a length, or with chunks if it is a stream and no turn
	chunked                            // with chunks
	closeDelimited                     // with no end but that of the connection
	informational                      // 1xx answers, then a success
	failure                            // 500
	rejected                           // 400 with X-Not-Run, which goes to the client
	notRun                             // 503 with X-Not-Run
	misdirected                        // 421
	unavailable                        // 503 without X-Not-Run
	withoutID                          // a success without X-Attempt-Id
	foreign                            // a success with another request's id, then nothing
	foreignNotRun                      // 503 with X-Not-Run and another request's id, then nothing
	unsealed                           // a success without X-Server-Seal
	garbage                            // bytes that are no response
	noResponse                         // nothing
	answerKinds
	rawBytes // those of the script
)

// provesNotRun reports whether a response says that the request was not run and won't be.
func (k responseKind) provesNotRun() bool { return k == notRun || k == misdirected || k == rejected }

// mayReachClient reports whether a response may go to a client as its request's own, where it comes completely. A 503 that doesn't promise
// anything may where the request may run more than once anyway.
func (k responseKind) mayReachClient(route routeKind) bool {
	return k <= rejected || k == unavailable && route.retryable()
}

// attemptScript is what an endpoint does with one attempt of a request.
type attemptScript struct {
	kind           responseKind
	size           int           // bytes of the body, or events
	early          bool          // it answers before it has read the body
	readOnDelay    time.Duration // after an early response, until it reads the rest
	readLimit      int           // it reads so many bytes of the request and then ends the connection; -1: all
	delay          time.Duration // before the response
	split          int           // bytes of the response that come first
	splitDelay     time.Duration // after those
	breakAfter     int           // bytes of the response after which the connection ends; -1: all are sent
	end            ending        // after the response
	endDelay       time.Duration // before that end
	secondResponse bool          // a second response to the same request follows
	secondDelay    time.Duration // before that
	raw            []byte        // the response, with rawBytes
	fromFirstEvent bool          // a stream begins with its first event, whichever the client has
}

// completeScript is a script without faults.
func completeScript(kind responseKind, size int) attemptScript {
	return attemptScript{kind: kind, size: size, readLimit: -1, breakAfter: -1}
}

// requestScript is what a client does with one request.
type requestScript struct {
	id              string
	route           routeKind
	method          string
	http10          bool            // it speaks HTTP/1.0: the end of its connection may be that of its response
	size            int             // bytes of the body
	chunks          int             // the body comes in so many chunks; 0: with a length
	startDelay      time.Duration   // before it is sent
	split           int             // bytes that are sent first
	splitDelay      time.Duration   // after those
	sendLimit       int             // bytes after which the client disconnects; -1: it sends all
	disconnect      ending          // how it disconnects
	pipelined       bool            // the next request follows at once, before this one's response
	disconnectDelay time.Duration   // how long after its request it disconnects
	readStall       time.Duration   // it reads nothing of its response for so long
	attemptTimeout  time.Duration   // after which the proxy abandons an attempt; 0: never
	timeLeft        time.Duration   // X-Time-Left-Ms
	attempts        []attemptScript // what becomes of each attempt; the last one holds for all further ones

	beginResult beginKind // what the stores answer to a turn
	chain       int       // bytes of what came before it
	endResult   endKind   // what the stores answer to its end
}

// beginKind is what the stores answer to the beginning of a turn.
type beginKind int

const (
	turnAccepted      beginKind = iota
	budgetExhausted             // its budget is spent
	turnNotFound                // it names no turn that they know
	storesUnavailable           // they can't be reached
	beginKinds
)

// endKind is what the stores answer to the end of a turn.
type endKind int

const (
	commitAccepted     endKind = iota
	commitDelayed              // after a while
	firstCommitFails           // the first time it doesn't reach them
	firstCommitAckLost         // the first time their answer is lost
	commitUnknown              // they don't know the turn any more
	commitNeverArrives         // it never reaches them
	endKinds
)

// disconnects reports whether the client disconnects before its response.
func (r *requestScript) disconnects() bool { return r.sendLimit >= 0 || r.disconnect != keepOpen }

// script returns what becomes of an attempt, counted from 0.
func (r *requestScript) script(send int) attemptScript {
	return r.attempts[min(send, len(r.attempts)-1)]
}

func (r *requestScript) target() string { return "/" + string(r.route) + "/" + r.id + "?x=%2f" }

// body is the request's own: no two requests have the same.
func (r *requestScript) body() []byte {
	return pattern("body of "+r.id+" ", r.size)
}

// forwardedBody is the body that endpoints get: before a turn's own, what came before it.
func (r *requestScript) forwardedBody() []byte {
	if r.route != turnRoute {
		return r.body()
	}
	return append(pattern("chain of "+r.id+" ", r.chain), r.body()...)
}

// pattern repeats a text up to a length.
func pattern(text string, size int) []byte {
	return bytes.Repeat([]byte(text), size/len(text)+1)[:size]
}

// wire returns the request's bytes.
func (r *requestScript) wire() []byte {
	version := "HTTP/1.1"
	if r.http10 {
		version = "HTTP/1.0"
	}
	head := fmt.Sprintf("%s %s %s\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Own: of %s\r\nX-Time-Left-Ms: %d\r\n",
		r.method, r.target(), version, r.id, r.id, r.timeLeft.Milliseconds())
	body := r.body()
	switch {
	case r.chunks > 0:
		return append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), chunkBody(body, r.chunks)...)
	case r.size > 0:
		return append([]byte(head+"Content-Length: "+strconv.Itoa(r.size)+"\r\n\r\n"), body...)
	}
	return []byte(head + "\r\n")
}

// chunkBody frames bytes in about so many chunks.
func chunkBody(data []byte, count int) []byte {
	var framed []byte
	for fragment := max(len(data)/max(count, 1), 1); len(data) > 0; {
		size := min(fragment, len(data))
		framed = append(framed, oneChunk(data[:size])...)
		data = data[size:]
	}
	return append(framed, "0\r\n\r\n"...)
}

func oneChunk(data []byte) []byte {
	return []byte(strconv.FormatInt(int64(len(data)), 16) + "\r\n" + string(data) + "\r\n")
}

// endpointAttempt is one attempt of a request at an endpoint.
type endpointAttempt struct {
	request   *requestScript
	index     int // counted from 0
	endpoint  string
	lastEvent int // the last event that the client has

	conn    *memoryConn
	ordinal int       // among the connection's requests, counted from 0
	done    time.Time // when the endpoint had nothing more to do for it
	written bool      // all of the response that the endpoint was to write is on its way
}

func (r endpointAttempt) script() attemptScript { return r.request.script(r.index) }

// seal is the seal of the run's response.
func (r endpointAttempt) seal() string {
	return fmt.Sprintf("%s.%s.%d", r.endpoint, r.request.id, r.index)
}

// status is that of the run's response.
func (r endpointAttempt) status() int {
	switch r.script().kind {
	case failure:
		return 500
	case rejected:
		return 400
	case notRun, unavailable, foreignNotRun:
		return 503
	case misdirected:
		return 421
	}
	return 200
}

// body is the complete body of the run's response.
func (r endpointAttempt) body() []byte {
	script := r.script()
	if r.request.route.streaming() && r.status() == 200 {
		var events []byte
		for id := r.lastEvent + 1; id <= script.size; id++ {
			events = append(events, r.event(id)...)
		}
		return events
	}
	return pattern("answer "+r.seal()+" ", script.size)
}

// event is one event of the run's stream. Each third has a version.
func (r endpointAttempt) event(id int) []byte {
	text := fmt.Sprintf("id: %d\ndata: %s\ndata: event %d\n\n", id, r.seal(), id)
	if id%3 == 0 {
		text = fmt.Sprintf("versions: %d\n", id) + text
	}
	return []byte(text)
}

// breaksOff reports whether the endpoint ends the connection in the middle of the response.
func (r endpointAttempt) breaksOff() bool {
	broken := r.script().breakAfter
	return broken >= 0 && broken < len(r.answer())
}

// provedNotRun reports whether the head of the run's response came, and promises that the request was not run.
func (r endpointAttempt) provedNotRun() bool {
	script := r.script()
	if !script.kind.provesNotRun() || script.readLimit >= 0 || !r.written {
		return false
	}
	return !r.breaksOff() || bytes.Contains(r.answer()[:script.breakAfter], []byte("\r\n\r\n"))
}

// completeBody returns the body that a client may take for the run's complete one, if there is any.
func (r endpointAttempt) completeBody() (body []byte, complete bool) {
	script := r.script()
	switch {
	case script.readLimit >= 0 || !script.kind.mayReachClient(r.request.route):
		return nil, false
	case r.breaksOff():
		return r.truncatedBody()
	case r.request.method == "HEAD":
		return nil, true
	}
	return r.body(), script.kind != closeDelimited || script.end != resetClose
}

// truncatedBody is completeBody where the connection ended in the middle: orderly, that is the end of an close-delimited answer.
func (r endpointAttempt) truncatedBody() (body []byte, complete bool) {
	script := r.script()
	if script.kind != closeDelimited || script.end == resetClose || r.request.method == "HEAD" {
		return nil, false
	}
	_, body, complete = bytes.Cut(r.answer()[:script.breakAfter], []byte("\r\n\r\n"))
	return body, complete
}

// head is the head of a response up to its framing.
func (r endpointAttempt) head(status int, id, seal string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	if seal != "" {
		head += "X-Server-Seal: " + seal + "\r\n"
	}
	if r.index%2 == 0 {
		head += "Keep-Alive: timeout=30\r\n"
	}
	return head
}

// answer returns the bytes of the run's response.
func (r endpointAttempt) answer() []byte {
	id, seal, body := r.request.id, r.seal(), r.body()
	script := r.script()
	switch script.kind {
	case noResponse:
		return nil
	case rawBytes:
		return script.raw
	case garbage:
		return []byte("\x16\x03\x01 garbage for " + r.seal() + "\r\n\r\n")
	case withoutID:
		id = ""
	case foreign, foreignNotRun:
		id = "nobody"
	case unsealed, notRun, misdirected:
		seal = ""
	}
	head := r.head(r.status(), id, seal)
	switch {
	case script.kind == notRun || script.kind == misdirected || script.kind == foreignNotRun:
		return []byte(head + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case script.kind == closeDelimited:
		head += "\r\n"
	case script.kind == chunked || r.request.route.streaming() && r.request.route != turnRoute && r.status() == 200:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = r.chunks(body)
	case script.kind == rejected:
		head += "X-Not-Run: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	default:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	}
	if script.kind == informational {
		head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head
	}
	if r.request.method == "HEAD" {
		return []byte(head)
	}
	return append([]byte(head), body...)
}

// chunks frames the body of a response: a stream's chunks end in the middle of its events too.
func (r endpointAttempt) chunks(body []byte) []byte {
	return chunkBody(body, 1+strings.Count(string(body), "\n")/2)
}
