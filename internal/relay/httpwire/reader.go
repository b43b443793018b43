package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
	"strings"

	"mastusher/internal/relay/config"
)

// Error is a fault in the bytes that were read.
type Error struct {
	Status int // what a server answers to it; of a refused stream, the status that came
	Reason string
}

// Error is the reason, after the package's name.
func (e *Error) Error() string { return "httpwire: " + e.Reason }

// Request is one request, as a server reads it. Body is part of the connection's read buffer: it is valid until the next read.
type Request struct {
	Method, Path string // Path has the query too, as it was sent
	Header       textproto.MIMEHeader
	Body         []byte
	Close        bool // the client wants the connection to end with the answer
}

// Response is one answer, as a client reads it. Body is valid until the next read.
type Response struct {
	Status            int
	Header            textproto.MIMEHeader
	Body              []byte
	Close             bool // the connection ends with it
	FirstOnConnection bool // set by Pool.Do
}

// Reader reads requests or answers from one connection. It is not safe for concurrent use.
type Reader struct {
	limits       *config.Limits
	limited      byteLimit
	buffer       *bufio.Reader
	text         *textproto.Reader
	bodyBuffered int    // bytes of buffer that the last body still takes
	largeBody    []byte // a body that is larger than buffer
}

// byteLimit bounds the bytes that one message may read from a connection.
type byteLimit struct {
	source io.Reader
	left   int
}

// Read reads from source; it returns an Error once nothing is left.
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

// NewReader returns a reader of a connection, within the limits HeadSize and BodySize.
func NewReader(source io.Reader, limits *config.Limits) *Reader {
	r := &Reader{limits: limits, limited: byteLimit{source: source}}
	r.buffer = bufio.NewReaderSize(&r.limited, readBuffer)
	r.text = textproto.NewReader(r.buffer)
	return r
}

// next discards the last message's bytes and resets the limit for a new one.
func (r *Reader) next() {
	_, _ = r.buffer.Discard(r.bodyBuffered) // they have been peeked at
	r.bodyBuffered, r.limited.left, r.largeBody = 0, r.limits.HeadSize, nil
}

// await returns once the first byte of a message has come.
func (r *Reader) await() error {
	r.next()
	_, err := r.buffer.Peek(1)
	return err
}

// buffered reports whether bytes have been read that belong to a later message.
func (r *Reader) buffered() bool { return r.buffer.Buffered() > r.bodyBuffered }

// head reads a request's first line and header.
func (r *Reader) head() (string, textproto.MIMEHeader, error) {
	line, err := r.text.ReadLine()
	if err == nil && line == "" { // an empty line before a message is tolerated
		line, err = r.text.ReadLine()
	}
	if err != nil {
		return "", nil, err
	}
	h, err := r.header()
	return line, h, err
}

// header reads a header; it returns an Error for a malformed one.
func (r *Reader) header() (textproto.MIMEHeader, error) {
	h, err := r.text.ReadMIMEHeader()
	var fault *Error
	var proto textproto.ProtocolError
	if errors.As(err, &proto) && !errors.As(err, &fault) {
		err = &Error{400, "malformed header"}
	}
	for name := range h { // textproto lets "Content-Length : 3" pass, under that name
		if strings.Contains(name, " ") {
			err = &Error{400, "malformed header name"}
		}
	}
	return h, err
}
