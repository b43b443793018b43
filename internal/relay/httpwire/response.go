package httpwire

import (
	"strconv"
	"strings"
)

// ReadResponse reads one answer, interim or final. With an error it returns an incomplete answer if the status line could be read, of which
// only the status is usable, else nil.
func (r *Reader) ReadResponse() (*Response, error) {
	p, err := r.responseHead()
	if err == nil && p.Status >= 200 && p.Status != 204 && p.Status != 304 {
		p.Body, err = r.body(p.Header, true)
	}
	return p, err
}

// responseHead reads the head of an answer; see ReadResponse.
func (r *Reader) responseHead() (*Response, error) {
	r.next()
	const protocol = "HTTP/1."
	if b, err := r.buffer.Peek(len(protocol)); err != nil {
		return nil, err
	} else if string(b) != protocol { // not HTTP: waiting for the end of a line could take forever
		return nil, &Error{502, "answer does not start with HTTP/1."}
	}
	// textproto's ReadLine is not used: it accepts a line that was truncated by the end of the connection, and such a line may contain 200.
	text, err := r.buffer.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	proto, rest, _ := strings.Cut(strings.TrimRight(string(text), "\r\n"), " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	// The rest of an earlier answer, or an unsolicited one, may precede the status line on the same line: its status is not this answer's.
	if err != nil || len(code) != 3 || status < 100 || len(proto) != len("HTTP/1.1") || strings.Contains(reason, "HTTP/") {
		return nil, &Error{502, "malformed status line"}
	}
	p := &Response{Status: int(status)}
	if p.Header, err = r.header(); err != nil {
		return p, err
	}
	p.Close = endsConnection(p.Header, proto)
	if len(p.Header["Content-Length"]) == 0 && len(p.Header["Transfer-Encoding"]) == 0 && status >= 200 && status != 204 {
		p.Close = true // the body ends with the connection
	}
	return p, nil
}
