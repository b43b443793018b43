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

// repeatable tells whether a request may run more than once.
func (r routeKind) repeatable() bool { return r == safeRoute || r == resumeRoute }

// streaming tells whether a success is a stream of events.
func (r routeKind) streaming() bool { return r == streamRoute || r == resumeRoute || r == turnRoute }

// ending is how a side ends a connection.
type ending int

const (
	stay     ending = iota // it doesn't
	finish                 // by an orderly close
	reset                  // by a reset
	halfOnly               // its own direction only
)

func (e ending) apply(conn *memoryConn) {
	switch e {
	case finish:
		conn.Close()
	case reset:
		conn.Reset()
	case halfOnly:
		conn.CloseWrite()
	}
}

// answerKind is what an endpoint answers.
type answerKind int

const (
	success        answerKind = iota // with a length, or with chunks if it is a stream and no turn
	chunked                          // with chunks
	unframed                         // with no end but that of the connection
	informational                    // 1xx answers, then a success
	failure                          // 500
	rejected                         // 400 with X-Not-Run, which goes to the client
	notRun                           // 503 with X-Not-Run
	misdirected                      // 421
	unpromised                       // 503 without X-Not-Run
	withoutID                        // a success without X-Attempt-Id
	foreign                          // a success with another request's id, then nothing
	foreignRefusal                   // 503 with X-Not-Run and another request's id, then nothing
	unsealed                         // a success without X-Server-Seal
	garbage                          // bytes that are no answer
	silence                          // nothing
	answerKinds
	rawBytes // those of the script
)

// promises tells whether an answer says that the request was not run and won't be.
func (k answerKind) promises() bool { return k == notRun || k == misdirected || k == rejected }

// answers tells whether an answer may go to a client as its request's own, where it comes whole. A 503 that doesn't promise
// anything may where the request may run more than once anyway.
func (k answerKind) answers(route routeKind) bool {
	return k <= rejected || k == unpromised && route.repeatable()
}

// sendScript is what an endpoint does with one send of a request.
type sendScript struct {
	kind    answerKind
	size    int           // bytes of the body, or events
	early   bool          // it answers before it has read the body
	readOn  time.Duration // after an early answer, until it reads the rest
	takes   int           // it reads so many bytes of the request and then ends the connection; -1: all
	delay   time.Duration // before the answer
	split   int           // bytes of the answer that come first
	pause   time.Duration // after those
	cut     int           // bytes of the answer after which the connection ends; -1: all are sent
	end     ending        // after the answer
	endWait time.Duration // before that end
	extra   bool          // a second answer to the same request follows
	late    time.Duration // before that
	raw     []byte        // the answer, with rawBytes
	anew    bool          // a stream begins with its first event, whichever the client has
}

// whole is a script without trouble.
func whole(kind answerKind, size int) sendScript {
	return sendScript{kind: kind, size: size, takes: -1, cut: -1}
}

// requestScript is what a client does with one request.
type requestScript struct {
	id      string
	route   routeKind
	method  string
	old     bool          // it speaks HTTP/1.0: the end of its connection may be that of its answer
	size    int           // bytes of the body
	chunks  int           // the body comes in so many chunks; 0: with a length
	before  time.Duration // before it is sent
	split   int           // bytes that are sent first
	pause   time.Duration // after those
	sent    int           // bytes after which the client leaves; -1: it sends all
	leave   ending        // how it leaves
	ahead   bool          // the next request follows at once, before this one's answer
	waits   time.Duration // how long after its request it leaves
	stalls  time.Duration // it reads nothing of its answer for so long
	timeout time.Duration // after which the proxy gives up a send; 0: never
	timeIn  time.Duration // X-Time-Left-Ms
	sends   []sendScript  // what becomes of each send; the last one holds for all further ones

	begin beginKind // what the stores say to a turn
	chain int       // bytes of what came before it
	end   endKind   // what the stores say to its end
}

// beginKind is what the stores say to the beginning of a turn.
type beginKind int

const (
	taken    beginKind = iota
	spent              // its budget is spent
	noTurn             // it names no turn that they know
	noStores           // they can't be reached
	beginKinds
)

// endKind is what the stores say to the end of a turn.
type endKind int

const (
	safe     endKind = iota
	lateSafe         // after a while
	failed           // the first time it doesn't reach them
	lostSafe         // the first time their answer is lost
	unknown          // they don't know the turn any more
	unsafe           // it never reaches them
	endKinds
)

// leaves tells whether the client leaves before its answer.
func (r *requestScript) leaves() bool { return r.sent >= 0 || r.leave != stay }

// script returns what becomes of a send, counted from 0.
func (r *requestScript) script(send int) sendScript { return r.sends[min(send, len(r.sends)-1)] }

func (r *requestScript) target() string { return "/" + string(r.route) + "/" + r.id + "?x=%2f" }

// body is the request's own: no two requests have the same.
func (r *requestScript) body() []byte {
	return pattern("body of "+r.id+" ", r.size)
}

// passedOn is the body that endpoints get: before a turn's own, what came before it.
func (r *requestScript) passedOn() []byte {
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
	if r.old {
		version = "HTTP/1.0"
	}
	head := fmt.Sprintf("%s %s %s\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Own: of %s\r\nX-Time-Left-Ms: %d\r\n",
		r.method, r.target(), version, r.id, r.id, r.timeIn.Milliseconds())
	body := r.body()
	switch {
	case r.chunks > 0:
		return append([]byte(head+"Transfer-Encoding: chunked\r\n\r\n"), inChunks(body, r.chunks)...)
	case r.size > 0:
		return append([]byte(head+"Content-Length: "+strconv.Itoa(r.size)+"\r\n\r\n"), body...)
	}
	return []byte(head + "\r\n")
}

// inChunks frames bytes in about so many chunks.
func inChunks(data []byte, count int) []byte {
	var framed []byte
	for part := max(len(data)/max(count, 1), 1); len(data) > 0; {
		size := min(part, len(data))
		framed = append(framed, oneChunk(data[:size])...)
		data = data[size:]
	}
	return append(framed, "0\r\n\r\n"...)
}

func oneChunk(data []byte) []byte {
	return []byte(strconv.FormatInt(int64(len(data)), 16) + "\r\n" + string(data) + "\r\n")
}

// run is one send of a request at an endpoint.
type run struct {
	request  *requestScript
	send     int // counted from 0
	endpoint string
	after    int // the last event that the client has

	conn    *memoryConn
	ordinal int       // among the connection's requests, counted from 0
	done    time.Time // when the endpoint had nothing more to do for it
	written bool      // all of the answer that the endpoint was to write is on its way
}

func (r run) script() sendScript { return r.request.script(r.send) }

// seal is the stamp of the run's answer.
func (r run) seal() string { return fmt.Sprintf("%s.%s.%d", r.endpoint, r.request.id, r.send) }

// status is that of the run's answer.
func (r run) status() int {
	switch r.script().kind {
	case failure:
		return 500
	case rejected:
		return 400
	case notRun, unpromised, foreignRefusal:
		return 503
	case misdirected:
		return 421
	}
	return 200
}

// body is the whole body of the run's answer.
func (r run) body() []byte {
	script := r.script()
	if r.request.route.streaming() && r.status() == 200 {
		var events []byte
		for id := r.after + 1; id <= script.size; id++ {
			events = append(events, r.event(id)...)
		}
		return events
	}
	return pattern("answer "+r.seal()+" ", script.size)
}

// event is one event of the run's stream. Each third tells a version.
func (r run) event(id int) []byte {
	text := fmt.Sprintf("id: %d\ndata: %s\ndata: event %d\n\n", id, r.seal(), id)
	if id%3 == 0 {
		text = fmt.Sprintf("versions: %d\n", id) + text
	}
	return []byte(text)
}

// isCut tells whether the endpoint ends the connection in the middle of the answer.
func (r run) isCut() bool {
	cut := r.script().cut
	return cut >= 0 && cut < len(r.answer())
}

// promised tells whether the head of the run's answer came, and promises that the request was not run.
func (r run) promised() bool {
	script := r.script()
	if !script.kind.promises() || script.takes >= 0 || !r.written {
		return false
	}
	return !r.isCut() || bytes.Contains(r.answer()[:script.cut], []byte("\r\n\r\n"))
}

// wholeBody returns the body that a client may take for the run's whole one, if there is any.
func (r run) wholeBody() (body []byte, whole bool) {
	script := r.script()
	switch {
	case script.takes >= 0 || !script.kind.answers(r.request.route):
		return nil, false
	case r.isCut():
		return r.cutBody()
	case r.request.method == "HEAD":
		return nil, true
	}
	return r.body(), script.kind != unframed || script.end != reset
}

// cutBody is wholeBody where the connection ended in the middle: orderly, that is the end of an unframed answer.
func (r run) cutBody() (body []byte, whole bool) {
	script := r.script()
	if script.kind != unframed || script.end == reset || r.request.method == "HEAD" {
		return nil, false
	}
	_, body, whole = bytes.Cut(r.answer()[:script.cut], []byte("\r\n\r\n"))
	return body, whole
}

// head is the head of an answer up to its framing.
func (r run) head(status int, id, seal string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	if seal != "" {
		head += "X-Server-Seal: " + seal + "\r\n"
	}
	if r.send%2 == 0 {
		head += "Keep-Alive: timeout=30\r\n"
	}
	return head
}

// answer returns the bytes of the run's answer.
func (r run) answer() []byte {
	id, seal, body := r.request.id, r.seal(), r.body()
	script := r.script()
	switch script.kind {
	case silence:
		return nil
	case rawBytes:
		return script.raw
	case garbage:
		return []byte("\x16\x03\x01 garbage for " + r.seal() + "\r\n\r\n")
	case withoutID:
		id = ""
	case foreign, foreignRefusal:
		id = "nobody"
	case unsealed, notRun, misdirected:
		seal = ""
	}
	head := r.head(r.status(), id, seal)
	switch {
	case script.kind == notRun || script.kind == misdirected || script.kind == foreignRefusal:
		return []byte(head + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case script.kind == unframed:
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

// chunks frames the body of an answer: a stream's chunks end in the middle of its events too.
func (r run) chunks(body []byte) []byte {
	return inChunks(body, 1+strings.Count(string(body), "\n")/2)
}
