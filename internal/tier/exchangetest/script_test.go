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
	safeRoute       routeKind = "safe"
	onceRoute       routeKind = "once"
	streamRoute     routeKind = "stream"
	resumeRoute     routeKind = "resume"
	turnRoute       routeKind = "turn"        // a stream that the stores record
	resumeTurnRoute routeKind = "resume-turn" // a stream that the stores record, and that may be resumed
)

// retryable reports whether a request on this route may run more than once.
func (r routeKind) retryable() bool { return r == safeRoute || r.resumable() }

// resumable reports whether a stream of this route may be taken up at another endpoint.
func (r routeKind) resumable() bool { return r == resumeRoute || r == resumeTurnRoute }

// stateful reports whether the stores record the turns of this route.
func (r routeKind) stateful() bool { return r == turnRoute || r == resumeTurnRoute }

// maxAttempts returns the bound on the attempts of a request that may have run.
func (r routeKind) maxAttempts() int {
	if r == resumeTurnRoute {
		return 3
	}
	return 2
}

// streaming reports whether a successful response on this route is a stream of events.
func (r routeKind) streaming() bool { return r == streamRoute || r.resumable() || r.stateful() }

// ending is how a side ends a connection.
type ending int

const (
	keepOpen     ending = iota // it doesn't end it
	orderlyClose               // by an orderly close
	resetClose                 // by a reset
	halfClose                  // it closes only its own direction
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

// responseKind is the kind of response that an endpoint sends.
type responseKind int

const (
	success        responseKind = iota // with a Content-Length; chunked if it is a stream and not a turn
	withLength                         // a success with a Content-Length, on each route
	chunked                            // a success with chunked encoding
	closeDelimited                     // a success whose end is that of the connection
	informational                      // 1xx responses, then a success
	failure                            // 500
	rejected                           // 400 with X-Not-Run, which the proxy forwards to the client
	notRun                             // 503 with X-Not-Run
	misdirected                        // 421
	unavailable                        // 503 without X-Not-Run
	withoutID                          // a success without X-Attempt-Id
	foreign                            // a success with another request's ID, and no further response
	foreignNotRun                      // 503 with X-Not-Run and another request's ID, and no further response
	unsealed                           // a success without X-Server-Seal
	garbage                            // bytes that are not an HTTP response
	noResponse                         // no bytes at all
	answerKinds
	rawBytes // the bytes in the script
)

// provesNotRun reports whether a response guarantees that the request has not run and never will.
func (k responseKind) provesNotRun() bool { return k == notRun || k == misdirected || k == rejected }

// mayReachClient reports whether the proxy may forward a complete response of this kind to the client. It may forward a 503 without
// X-Not-Run only if the request is retryable.
func (k responseKind) mayReachClient(route routeKind) bool {
	return k <= rejected || k == unavailable && route.retryable()
}

// attemptScript is what an endpoint does with one attempt of a request.
type attemptScript struct {
	kind           responseKind
	size           int           // bytes of the body, or events
	early          bool          // it answers before it has read the request's body
	readOnDelay    time.Duration // after an early response, until it reads the rest of the body
	readLimit      int           // bytes of the request after which it ends the connection; -1: it reads all
	delay          time.Duration // before the response
	split          int           // bytes of the response that are sent first
	splitDelay     time.Duration // after the first bytes
	pieceSize      int           // bytes of the response in each of the writes after that; 0: all in one
	breakAfter     int           // bytes of the response after which the connection ends; -1: all are sent
	end            ending        // how it ends the connection after the response
	endDelay       time.Duration // before it ends the connection
	secondResponse bool          // a second response to the same request follows
	secondDelay    time.Duration // before the second response
	raw            []byte        // the response, if kind is rawBytes
	fromFirstEvent bool          // a stream begins with its first event, regardless of Last-Event-Id
}

// completeScript returns a script that reads the whole request and sends a complete response.
func completeScript(kind responseKind, size int) attemptScript {
	return attemptScript{kind: kind, size: size, readLimit: -1, breakAfter: -1}
}

// requestScript is what a client does with one request.
type requestScript struct {
	id              string
	route           routeKind
	method          string
	http10          bool            // the client speaks HTTP/1.0: the end of the connection may mark the end of the response
	size            int             // bytes of the body
	chunks          int             // number of chunks of the body; 0: it has a Content-Length
	startDelay      time.Duration   // before the request is sent
	split           int             // bytes that are sent first
	splitDelay      time.Duration   // after the first bytes
	sendLimit       int             // bytes after which the client disconnects; -1: it sends all
	disconnect      ending          // how it disconnects
	pipelined       bool            // the next request follows at once, before this one's response
	disconnectDelay time.Duration   // how long after its request it disconnects
	readStall       time.Duration   // time before the client reads its response
	attemptTimeout  time.Duration   // after which the proxy abandons an attempt; 0: never
	timeLeft        time.Duration   // X-Time-Left-Ms
	attempts        []attemptScript // what the endpoints do with each attempt; the last one applies to all further attempts

	beginResult beginKind // what the stores answer to a turn
	chain       int       // bytes of the inputs and outputs of the turns before it
	endResult   endKind   // what the stores answer to the turn's end
}

// beginKind is what the stores answer to the beginning of a turn.
type beginKind int

const (
	turnAccepted      beginKind = iota
	budgetExhausted             // the program's budget is used up
	turnNotFound                // it continues a turn that the stores don't know
	storesUnavailable           // the stores can't be reached
	beginKinds
)

// endKind is what the stores answer to the end of a turn.
type endKind int

const (
	commitAccepted     endKind = iota
	commitDelayed              // committed after lateDelay
	firstCommitFails           // the first call doesn't reach the stores
	firstCommitAckLost         // the response to the first call is lost
	commitUnknown              // the stores no longer know the turn
	commitNeverArrives         // no call reaches the stores
	endKinds
)

// disconnects reports whether the client disconnects without waiting for its response.
func (r *requestScript) disconnects() bool { return r.sendLimit >= 0 || r.disconnect != keepOpen }

// script returns the script of an attempt, counted from 0.
func (r *requestScript) script(attempt int) attemptScript {
	return r.attempts[min(attempt, len(r.attempts)-1)]
}

func (r *requestScript) target() string { return "/" + string(r.route) + "/" + r.id + "?x=%2f" }

// body returns the request's body. Bodies contain the request's ID, so that those of two requests differ.
func (r *requestScript) body() []byte {
	return pattern("body of "+r.id+" ", r.size)
}

// forwardedBody returns the body that endpoints must receive: for a turn, the chain of the turns before it and then its own body.
func (r *requestScript) forwardedBody() []byte {
	if !r.route.stateful() {
		return r.body()
	}
	return append(pattern("chain of "+r.id+" ", r.chain), r.body()...)
}

// pattern repeats a text up to size bytes.
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

// chunkBody encodes data in the chunked transfer coding, in about count chunks of equal size.
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
	lastEvent int // ID of the last event that the client has; 0: none

	conn    *memoryConn
	ordinal int       // among the connection's requests, counted from 0
	done    time.Time // when the endpoint had nothing more to do for it
	written bool      // the endpoint has written all that its script lets it write of the response
}

func (r endpointAttempt) script() attemptScript { return r.request.script(r.index) }

// seal returns the seal of the attempt's response.
func (r endpointAttempt) seal() string {
	return fmt.Sprintf("%s.%s.%d", r.endpoint, r.request.id, r.index)
}

// status returns the status of the attempt's response.
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

// body returns the complete body of the attempt's response.
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

// event returns one event of the attempt's stream. Every third event has a field versions.
func (r endpointAttempt) event(id int) []byte {
	text := fmt.Sprintf("id: %d\ndata: %s\ndata: event %d\n\n", id, r.seal(), id)
	if id%3 == 0 {
		text = fmt.Sprintf("versions: %d\n", id) + text
	}
	return []byte(text)
}

// truncates reports whether the endpoint ends the connection in the middle of the response.
func (r endpointAttempt) truncates() bool {
	broken := r.script().breakAfter
	return broken >= 0 && broken < len(r.answer())
}

// provedNotRun reports whether the complete head of the attempt's response was sent, and guarantees that the request has not run.
func (r endpointAttempt) provedNotRun() bool {
	script := r.script()
	if !script.kind.provesNotRun() || script.readLimit >= 0 || !r.written {
		return false
	}
	return !r.truncates() || bytes.Contains(r.answer()[:script.breakAfter], []byte("\r\n\r\n"))
}

// completeBody returns the body that may look to a client like the attempt's complete one, if there is any.
func (r endpointAttempt) completeBody() (body []byte, complete bool) {
	script := r.script()
	switch {
	case script.readLimit >= 0 || !script.kind.mayReachClient(r.request.route):
		return nil, false
	case r.truncates():
		return r.truncatedBody()
	case r.request.method == "HEAD":
		return nil, true
	}
	return r.body(), script.kind != closeDelimited || script.end != resetClose
}

// truncatedBody is completeBody for a connection that ended in the middle of the response. An orderly close there looks like the end of a
// close-delimited response.
func (r endpointAttempt) truncatedBody() (body []byte, complete bool) {
	script := r.script()
	if script.kind != closeDelimited || script.end == resetClose || r.request.method == "HEAD" {
		return nil, false
	}
	_, body, complete = bytes.Cut(r.answer()[:script.breakAfter], []byte("\r\n\r\n"))
	return body, complete
}

// head returns the head of a response up to the fields of its framing.
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

// answer returns the bytes of the attempt's response.
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
	case script.kind == chunked || script.kind != withLength && r.request.route.streaming() && !r.request.route.stateful() && r.status() == 200:
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

// chunks encodes the body of a response in chunks. The chunks of a stream also end in the middle of events.
func (r endpointAttempt) chunks(body []byte) []byte {
	return chunkBody(body, 1+strings.Count(string(body), "\n")/2)
}
