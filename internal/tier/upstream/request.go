package upstream

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field is one header field of a request.
type Field struct {
	Name, Value string
}

// Request is a request to be written as it is. Only Content-Length and X-Time-Left-Ms are added to its header fields. It may be sent
// several times, one after the other.
type Request struct {
	Method        string
	Target        string   // request target: path and query, written byte for byte
	Host          string   // value of the Host header field
	Fields        []byte   // formatted header fields, each with its CRLF; see AppendField
	AttemptFields []Field  // further header fields, of this attempt only
	Body          [][]byte // parts of the body, in order
	HasBody       bool     // a Content-Length is written, even if the body is empty
	AttemptID     string   // value of the X-Attempt-Id in Fields; empty: none, and the request gets a connection of its own

	// Deadline is when the caller stops waiting for the response. The time left until then is sent as X-Time-Left-Ms, computed when
	// the request is written, since establishing a connection takes time too. Zero: no X-Time-Left-Ms is sent.
	Deadline time.Time

	// ReserveHead reserves memory for the head of a response beyond what each ordinary one takes: so many bytes in all, not as many more. It
	// is called by Pool.Do as the head arrives; false ends the exchange with NoMemory. Nil: the memory isn't bounded.
	ReserveHead func(bytes int64) bool

	carriedBy []*connection // connections on which the request has been sent
}

// mayUse reports whether the request may be sent on a connection that has carried other requests. A request without an id may not: an
// answer without one can't be told from a late answer to another request. A request that the connection has carried before may not
// either: all its sends have the same id, so a late second answer to the earlier send would count as the answer to this one.
func (r *Request) mayUse(c *connection) bool {
	return r.AttemptID != "" && !slices.Contains(r.carriedBy, c)
}

// sentTo reports whether the request has been sent to an endpoint.
func (r *Request) sentTo(endpointID string) bool {
	return slices.ContainsFunc(r.carriedBy, func(c *connection) bool { return c.endpoint.id == endpointID })
}

// minTimeLeftMs is the smallest value of X-Time-Left-Ms.
const minTimeLeftMs = 1

// AppendField appends a formatted header field to a buffer for Request.Fields.
func AppendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}

// errInvalidHead is the cause of an Error with Reason InvalidRequest.
var errInvalidHead = errors.New("empty method or target, or a byte that is not allowed in method, target, host or header field")

// check rejects a request whose values would be parsed differently by the endpoint, for example as a second request.
func (r *Request) check() error {
	if r.Method == "" || hasSpaceOrControl(r.Method) || r.Target == "" || hasSpaceOrControl(r.Target) || hasSpaceOrControl(r.Host) {
		return errInvalidHead
	}
	for _, field := range r.AttemptFields {
		if strings.ContainsAny(field.Value, "\r\n\x00") {
			return errInvalidHead
		}
	}
	return nil
}

// hasSpaceOrControl reports whether a text has spaces or control bytes, which end a value in a request's head.
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

// timeLeft returns the value of X-Time-Left-Ms, at least minTimeLeftMs.
func (r *Request) timeLeft(now time.Time) string {
	return strconv.FormatInt(max(r.Deadline.Sub(now).Milliseconds(), minTimeLeftMs), 10)
}

// appendHead appends the request line and all header fields. The time left is computed from now.
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
