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

// Stream is an answer whose body comes line by line, for as long as its connection lasts.
type Stream struct {
	conn  net.Conn
	lines *bufio.Scanner
}

// OpenStream makes a call on a connection of its own. It fails unless the answer is 200.
func OpenStream(ctx context.Context, address string, request []byte, lim *config.Limits) (*Stream, error) {
	dial := net.Dialer{Timeout: lim.ConnectTimeout}
	conn, err := dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(lim.WatchTimeout))
	r := NewReader(conn, lim)
	var p *Response
	if _, err = conn.Write(request); err == nil {
		p, err = r.responseHead()
	}
	if err == nil && p.Status != 200 {
		err = &Error{p.Status, "the stream was refused"}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	r.limited.left = math.MaxInt // a stream has no end; its lines are bounded
	var from io.Reader = r.buffer
	if p.Header.Get("Transfer-Encoding") != "" {
		from = httputil.NewChunkedReader(r.buffer)
	}
	s := &Stream{conn: conn, lines: bufio.NewScanner(from)}
	s.lines.Buffer(nil, 16*lim.BodySize)
	return s, nil
}

// Next returns the next line, which holds until the next call; by then it must have come whole.
func (s *Stream) Next(by time.Time) ([]byte, error) {
	_ = s.conn.SetReadDeadline(by)
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
