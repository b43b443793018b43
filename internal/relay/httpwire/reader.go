package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
	"strings"

	"mastusher/internal/relay/config"
)

// Error reports a malformed, too large or unacceptable message that was read.
type Error struct {
	Status int // with which a server answers the message; for a refused stream, the status received
	Reason string
}

// Error returns the reason, after the package's name.
func (e *Error) Error() string { return "httpwire: " + e.Reason }

// Request is one request that a server has read. Body is part of the connection's read buffer, and valid until the next read.
type Request struct {
	Method, Path string // Path includes the query, unparsed
	Header       textproto.MIMEHeader
	Body         []byte
	Close        bool // the connection is to end with the answer
}

// Response is one answer that a client has read. Body is valid until the next read.
type Response struct {
	Status            int
	Header            textproto.MIMEHeader
	Body              []byte
	Close             bool // the connection ends with this answer
	FirstOnConnection bool // set by Pool.Do
}

// Reader reads requests or answers from one connection. It is not safe for concurrent use.
type Reader struct {
	limits       *config.Limits
	limited      byteLimit
	buffer       *bufio.Reader
	text         *textproto.Reader
	bodyBuffered int    // bytes of buffer that the last body occupies
	largeBody    []byte // the last body if it is larger than buffer
}

// byteLimit bounds the bytes that are read from a connection for one message.
type byteLimit struct {
	source io.Reader
	left   int
}

// Read reads from source; it returns an *Error once the limit is used up.
func (m *byteLimit) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, &Error{431, "message too large"}
	}
	n, err := m.source.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

// readBuffer is the size of a connection's read buffer, in bytes: bodies up to it are not copied.
const readBuffer = 8 << 10

// NewReader returns a reader of messages from source, within the limits HeadSize and BodySize.
func NewReader(source io.Reader, limits *config.Limits) *Reader {
	r := &Reader{limits: limits, limited: byteLimit{source: source}}
	r.buffer = bufio.NewReaderSize(&r.limited, readBuffer)
	r.text = textproto.NewReader(r.buffer)
	return r
}

// next discards the last message's bytes and resets the limit for a new one.
func (r *Reader) next() {
	_, _ = r.buffer.Discard(r.bodyBuffered) // the body was only peeked
	r.bodyBuffered, r.limited.left, r.largeBody = 0, r.limits.HeadSize, nil
}

// await waits for the first byte of a message.
func (r *Reader) await() error {
	r.next()
	_, err := r.buffer.Peek(1)
	return err
}

// buffered reports whether bytes after the last message have been read.
func (r *Reader) buffered() bool { return r.buffer.Buffered() > r.bodyBuffered }

// head reads a request's first line and header.
func (r *Reader) head() (string, textproto.MIMEHeader, error) {
	line, err := r.text.ReadLine()
	if err == nil && line == "" { // RFC 9112 tolerates an empty line before a request
		line, err = r.text.ReadLine()
	}
	if err != nil {
		return "", nil, err
	}
	h, err := r.header()
	return line, h, err
}

// header reads a header; the error is an *Error if it is malformed.
func (r *Reader) header() (textproto.MIMEHeader, error) {
	h, err := r.text.ReadMIMEHeader()
	var fault *Error
	var proto textproto.ProtocolError
	if errors.As(err, &proto) && !errors.As(err, &fault) {
		err = &Error{400, "malformed header"}
	}
	for name := range h { // textproto accepts "Content-Length : 3" as a header of that name
		if strings.Contains(name, " ") {
			err = &Error{400, "malformed header name"}
		}
	}
	return h, err
}
