package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net/textproto"
	"strings"

	"mastusher/internal/relay/config"
)

// Error is a fault in what was read; Status is what a server answers to it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "httpwire: " + e.Reason }

// Request is one request. Body is a slice of the connection's read buffer: it holds until the next read.
type Request struct {
	Method, Path string
	Header       textproto.MIMEHeader
	Body         []byte
	Close        bool
}

// Response is one answer, as a client reads it. Body holds until the next read.
type Response struct {
	Status            int
	Header            textproto.MIMEHeader
	Body              []byte
	Close             bool
	FirstOnConnection bool // the first on its connection; set by Pool.Do
}

// Reader reads requests or answers off one connection.
type Reader struct {
	limits       *config.Limits
	limited      byteLimit
	buffer       *bufio.Reader
	text         *textproto.Reader
	bodyBuffered int    // bytes of br that the last body still stands in
	largeBody    []byte // a body that br has no room for
}

// byteLimit bounds what one message may take off a connection.
type byteLimit struct {
	source io.Reader
	left   int
}

func (m *byteLimit) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, &Error{431, "message too large"}
	}
	n, err := m.source.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

const readBuffer = 8 << 10

// NewReader returns a reader of r.
func NewReader(r io.Reader, lim *config.Limits) *Reader {
	rd := &Reader{limits: lim, limited: byteLimit{source: r}}
	rd.buffer = bufio.NewReaderSize(&rd.limited, readBuffer)
	rd.text = textproto.NewReader(rd.buffer)
	return rd
}

// next gives up the last message's bytes and allows for a new one.
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

// buffered tells whether bytes have been read that belong to a later message.
func (r *Reader) buffered() bool { return r.buffer.Buffered() > r.bodyBuffered }

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
