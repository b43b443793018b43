// Package httpwire is HTTP/1.1 on net/textproto over net: framing, keep-alive and reuse, for both fronts.
package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"net/textproto"
	"strconv"
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
	lim  *config.Limits
	src  meter
	br   *bufio.Reader
	tp   *textproto.Reader
	used int    // bytes of br that the last body still stands in
	big  []byte // a body that br has no room for
}

// meter bounds what one message may take off a connection.
type meter struct {
	r    io.Reader
	left int
}

func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, &Error{431, "message too large"}
	}
	n, err := m.r.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

const readBuffer = 8 << 10

// NewReader returns a reader of r.
func NewReader(r io.Reader, lim *config.Limits) *Reader {
	rd := &Reader{lim: lim, src: meter{r: r}}
	rd.br = bufio.NewReaderSize(&rd.src, readBuffer)
	rd.tp = textproto.NewReader(rd.br)
	return rd
}

// next gives up the last message's bytes and allows for a new one.
func (r *Reader) next() {
	_, _ = r.br.Discard(r.used) // they have been peeked at
	r.used, r.src.left, r.big = 0, r.lim.HeadSize, nil
}

// await returns once the first byte of a message has come.
func (r *Reader) await() error {
	r.next()
	_, err := r.br.Peek(1)
	return err
}

// buffered tells whether bytes have been read that belong to a later message.
func (r *Reader) buffered() bool { return r.br.Buffered() > r.used }

func (r *Reader) head() (string, textproto.MIMEHeader, error) {
	line, err := r.tp.ReadLine()
	if err == nil && line == "" { // an empty line before a message is tolerated
		line, err = r.tp.ReadLine()
	}
	if err != nil {
		return "", nil, err
	}
	h, err := r.header()
	return line, h, err
}

func (r *Reader) header() (textproto.MIMEHeader, error) {
	h, err := r.tp.ReadMIMEHeader()
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

// ReadRequest reads one request; goOn is called where its client waits to be told to send the body.
func (r *Reader) ReadRequest(goOn func() error) (*Request, error) {
	r.next()
	line, h, err := r.head()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	path, proto, ok := strings.Cut(rest, " ")
	if !ok || method == "" || path == "" || path[0] != '/' || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, &Error{400, "malformed request line"}
	}
	q := &Request{Method: method, Path: path, Header: h, Close: closes(h, proto)}
	if goOn != nil && strings.EqualFold(h.Get("Expect"), "100-continue") {
		if err := goOn(); err != nil {
			return nil, err
		}
	}
	q.Body, err = r.body(h, false)
	return q, err
}

// ReadResponse reads one answer, provisional or not. With an error comes what its first line said, if that
// could be read.
func (r *Reader) ReadResponse() (*Response, error) {
	p, err := r.responseHead()
	if err == nil && p.Status >= 200 && p.Status != 204 && p.Status != 304 {
		p.Body, err = r.body(p.Header, true)
	}
	return p, err
}

func (r *Reader) responseHead() (*Response, error) {
	r.next()
	const mark = "HTTP/1."
	if b, err := r.br.Peek(len(mark)); err != nil {
		return nil, err
	} else if string(b) != mark { // noise: its line may never end
		return nil, &Error{502, "not an answer"}
	}
	// Not textproto's ReadLine: it takes for a line what the connection ended in the middle of, and half of one may say 200.
	text, err := r.br.ReadSlice('\n')
	if err != nil {
		return nil, short(err)
	}
	proto, rest, _ := strings.Cut(strings.TrimRight(string(text), "\r\n"), " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	// Half a line that was left over, or came without a cause, runs on into the answer's first line: its status is not the answer's.
	if err != nil || len(code) != 3 || status < 100 || len(proto) != len("HTTP/1.1") || strings.Contains(reason, "HTTP/") {
		return nil, &Error{502, "malformed status line"}
	}
	p := &Response{Status: int(status)}
	if p.Header, err = r.header(); err != nil {
		return p, err
	}
	p.Close = closes(p.Header, proto)
	if len(p.Header["Content-Length"]) == 0 && len(p.Header["Transfer-Encoding"]) == 0 && status >= 200 && status != 204 {
		p.Close = true // its body ends with the connection
	}
	return p, nil
}

func closes(h textproto.MIMEHeader, proto string) bool {
	c := strings.ToLower(h.Get("Connection"))
	return strings.Contains(c, "close") || proto == "HTTP/1.0" && !strings.Contains(c, "keep-alive")
}

// body reads what belongs to a head. toEnd: without a length it lasts until the connection ends.
func (r *Reader) body(h textproto.MIMEHeader, toEnd bool) ([]byte, error) {
	r.src.left = r.lim.BodySize + r.lim.HeadSize
	lengths := h["Content-Length"]
	// An encoding that is empty, named twice or beside a length may hide a second message in the body.
	if te := h["Transfer-Encoding"]; len(te) > 0 {
		if len(te) > 1 || !strings.EqualFold(te[0], "chunked") || len(lengths) > 0 {
			return nil, &Error{400, "unusable transfer encoding"}
		}
		b, err := r.drain(httputil.NewChunkedReader(r.br))
		if err == nil {
			_, err = r.tp.ReadMIMEHeader() // trailers
		}
		return b, err
	}
	if len(lengths) == 0 {
		if toEnd {
			return r.drain(r.br)
		}
		return nil, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || len(lengths) > 1 {
		return nil, &Error{400, "malformed Content-Length"}
	}
	if int(n) > r.lim.BodySize {
		return nil, &Error{413, fmt.Sprintf("body of %d bytes, %d at most", n, r.lim.BodySize)}
	}
	if int(n) <= r.br.Size() {
		b, err := r.br.Peek(int(n))
		if err == nil {
			r.used = int(n)
		}
		return b, short(err)
	}
	r.big = make([]byte, n) // given up with the message: few are as long, and connections are many
	_, err = io.ReadFull(r.br, r.big)
	return r.big, short(err)
}

func (r *Reader) drain(from io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(from, int64(r.lim.BodySize)+1))
	if err == nil && len(b) > r.lim.BodySize {
		err = &Error{413, "body too large"}
	}
	return b, short(err)
}

// short makes an end in the middle of a body an unexpected one.
func short(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
