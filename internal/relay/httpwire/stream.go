package httpwire

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http/httputil"
	"time"

	"mastusher/internal/relay/config"
)

// Stream is an answer whose body is read line by line until its connection ends. Next must not be called by two goroutines at once; Close
// may be called concurrently.
type Stream struct {
	conn  net.Conn
	lines *bufio.Scanner
}

// OpenStream makes a call on a new connection. It returns an *Error with the status if the answer is not 200, and fails if the head does
// not arrive within WatchTimeout. ctx bounds only the connecting.
func OpenStream(ctx context.Context, address string, request []byte, limits *config.Limits) (*Stream, error) {
	dialer := net.Dialer{Timeout: limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(limits.WatchTimeout))
	r := NewReader(conn, limits)
	var answer *Response
	if _, err = conn.Write(request); err == nil {
		answer, err = r.responseHead()
	}
	if err == nil && answer.Status != 200 {
		err = &Error{answer.Status, "the stream was refused"}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	r.limited.left = math.MaxInt // only the lines of a stream are bounded
	var from io.Reader = r.buffer
	if answer.Header.Get("Transfer-Encoding") != "" {
		from = httputil.NewChunkedReader(r.buffer)
	}
	s := &Stream{conn: conn, lines: bufio.NewScanner(from)}
	s.lines.Buffer(nil, 16*limits.BodySize)
	return s, nil
}

// Next returns the next line without its line end, valid until the next call. It fails if the line is not complete by the deadline; the
// error is io.EOF if the stream has ended.
func (s *Stream) Next(deadline time.Time) ([]byte, error) {
	_ = s.conn.SetReadDeadline(deadline)
	if s.lines.Scan() {
		return s.lines.Bytes(), nil
	}
	if err := s.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// Close ends the stream.
func (s *Stream) Close() { _ = s.conn.Close() }
