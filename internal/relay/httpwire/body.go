package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

// body reads the body of a message with header h. A body without a length lasts until the connection ends if toEnd is set, otherwise it is
// empty. The error is an *Error for a body that is too large or whose framing is invalid.
func (r *Reader) body(h textproto.MIMEHeader, toEnd bool) ([]byte, error) {
	r.limited.left = r.limits.BodySize + r.limits.HeadSize
	lengths := h["Content-Length"]
	// An encoding that is empty, given twice or combined with a length could smuggle a second message within the body.
	if te := h["Transfer-Encoding"]; len(te) > 0 {
		if len(te) > 1 || !strings.EqualFold(te[0], "chunked") || len(lengths) > 0 {
			return nil, &Error{400, "unusable transfer encoding"}
		}
		b, err := r.readAll(httputil.NewChunkedReader(r.buffer))
		if err == nil {
			_, err = r.text.ReadMIMEHeader() // trailers
		}
		return b, err
	}
	if len(lengths) == 0 {
		if toEnd {
			return r.readAll(r.buffer)
		}
		return nil, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || len(lengths) > 1 {
		return nil, &Error{400, "malformed Content-Length"}
	}
	if int(n) > r.limits.BodySize {
		return nil, &Error{413, fmt.Sprintf("body of %d bytes, %d at most", n, r.limits.BodySize)}
	}
	if int(n) <= r.buffer.Size() {
		body, peekErr := r.buffer.Peek(int(n))
		if peekErr == nil {
			r.bodyBuffered = int(n)
		}
		return body, unexpectedEOF(peekErr)
	}
	r.largeBody = make([]byte, n) // not kept for reuse: such bodies are rare, and connections are many
	_, err = io.ReadFull(r.buffer, r.largeBody)
	return r.largeBody, unexpectedEOF(err)
}

// readAll reads a body of unknown length, up to BodySize.
func (r *Reader) readAll(from io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(from, int64(r.limits.BodySize)+1))
	if err == nil && len(b) > r.limits.BodySize {
		err = &Error{413, "body too large"}
	}
	return b, unexpectedEOF(err)
}

// unexpectedEOF converts io.EOF, which here is in the middle of a message, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
