package upstream

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Field is one header field of a request.
type Field struct {
	Name, Value string
}

// Request is a request as it goes onto the wire. Nothing is added to it but its framing.
type Request struct {
	Method        string
	Target        string   // the path and the query, byte for byte
	Host          string   // value of the Host header
	Fields        []byte   // formatted header lines, each with its line end; see AppendField
	AttemptFields []Field  // header fields of this attempt only
	Body          [][]byte // the parts of the body, in order
	HasBody       bool     // there is a Content-Length, also when the body is empty
	AttemptID     string   // the X-Attempt-Id among Fields; empty: none, and the request gets a connection of its own

	// Deadline is when the request ends. What is left until then is computed for X-Time-Left-Ms as the request is
	// written: making a connection takes time too. Zero: no such field.
	Deadline time.Time
}

// minTimeLeftMs is the least value of X-Time-Left-Ms.
const minTimeLeftMs = 1

// AppendField appends a header line to a buffer for Request.Fields.
func AppendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

// errControlBytes is the cause of an Error with InvalidRequest.
var errControlBytes = errors.New("space or control byte in method, target, host or header field")

// check rejects what would end up as other bytes, or as a second request, on the wire.
func (r *Request) check() error {
	if r.Method == "" || hasSpaceOrControl(r.Method) || r.Target == "" || hasSpaceOrControl(r.Target) || hasSpaceOrControl(r.Host) {
		return errControlBytes
	}
	for _, field := range r.AttemptFields {
		if strings.ContainsAny(field.Value, "\r\n\x00") {
			return errControlBytes
		}
	}
	return nil
}

// hasSpaceOrControl reports whether a text has bytes that would end it on the wire.
func hasSpaceOrControl(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] == 0x7f {
			return true
		}
	}
	return false
}

// bodyLength returns the number of bytes in the body.
func (r *Request) bodyLength() int {
	length := 0
	for _, slice := range r.Body {
		length += len(slice)
	}
	return length
}

// timeLeft returns the value of X-Time-Left-Ms.
func (r *Request) timeLeft(now time.Time) string {
	return strconv.FormatInt(max(r.Deadline.Sub(now).Milliseconds(), minTimeLeftMs), 10)
}

// appendHead appends the request line and all header fields, as they are now.
func (r *Request) appendHead(buffer []byte, now time.Time) []byte {
	buffer = append(buffer, r.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, r.Target...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = AppendField(buffer, "Host", r.Host)
	buffer = append(buffer, r.Fields...)
	for _, field := range r.AttemptFields {
		buffer = AppendField(buffer, field.Name, field.Value)
	}
	if !r.Deadline.IsZero() {
		buffer = AppendField(buffer, TimeLeftHeader, r.timeLeft(now))
	}
	if r.HasBody {
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(r.bodyLength()), 10)
		buffer = append(buffer, "\r\n"...)
	}
	return append(buffer, "\r\n"...)
}
