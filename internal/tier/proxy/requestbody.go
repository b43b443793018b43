package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"mastusher/internal/tier/memorybudget"
)

const (
	// initialBodyBytes is the initial size of a buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// maxPooledBytes is the size up to which a buffer is kept for other requests.
	maxPooledBytes = 64 << 10
)

// errBodyTooLarge is returned by readRequestBody for a body over its limit. The client then gets an error response instead of a closed
// connection.
var errBodyTooLarge = errors.New("request body exceeds the configured limit")

// buffers pools the buffers of bodies, header lines and forwarded bytes.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// getBuffer returns an empty buffer. The caller must call putBuffer once.
func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

// putBuffer returns a buffer to the pool. The caller must not use it afterwards.
func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBytes {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
}

// deadlineSetter is implemented by net/http's ResponseWriter in addition to its interface.
type deadlineSetter interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

// setReadDeadline limits the time in which the rest of a request may arrive, even if net/http reads it after the response. net/http
// sets a new deadline for the connection's next request.
func setReadDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if connection, ok := w.(deadlineSetter); ok && r.ContentLength != 0 {
		_ = connection.SetReadDeadline(deadline)
	}
}

// clearReadDeadline removes the limit once a request has been read: net/http goes on reading, to detect that the client closes its
// connection.
func clearReadDeadline(w http.ResponseWriter, r *http.Request) {
	if connection, ok := w.(deadlineSetter); ok && r.ContentLength != 0 {
		_ = connection.SetReadDeadline(time.Time{})
	}
}

// readRequestBody reads the request's complete body. The error is errBodyTooLarge if it has more than limit bytes, a *memoryError if there is
// no memory for it, or errCallerStalled.
func (c *clientRequest) readRequestBody(limit int64) error {
	length := c.request.ContentLength
	switch {
	case length == 0:
		return nil
	case length > limit:
		return errBodyTooLarge
	case length > memorybudget.SmallBytes:
		if err := c.growForBody(length); err != nil {
			return err
		}
	}
	c.awaitBody()
	body := c.lease.Reader(c.request.Body)
	var err error
	if length > 0 {
		err = readExactly(body, c.body, length)
	} else {
		err = c.readUntilEOF(body, limit)
	}
	if c.lease.StopAwaiting() {
		return errCallerStalled
	}
	return err
}

// readExactly reads a body of known length and its EOF, so that net/http treats it as read.
func readExactly(body io.Reader, buffer *[]byte, length int64) error {
	data := (*buffer)[:0]
	if int64(cap(data)) < length {
		data = make([]byte, 0, length)
	}
	data = data[:length]
	_, err := io.ReadFull(body, data)
	*buffer = data
	if err != nil {
		return err
	}
	var beyond [1]byte
	if _, err := body.Read(beyond[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// readUntilEOF reads a body of unknown length, up to limit bytes. The memory of one that turns out to be large is reserved whole, up to the
// limit: a body that waited for more while it holds some could wait for another one that does the same.
func (c *clientRequest) readUntilEOF(body io.Reader, limit int64) error {
	ended, err := readUpTo(body, c.body, min(limit, memorybudget.SmallBytes))
	if ended || err != nil {
		return err
	}
	if limit <= memorybudget.SmallBytes {
		return errBodyTooLarge
	}
	if c.lease.StopAwaiting() {
		return errCallerStalled
	}
	if err = c.growForBody(limit + 1); err != nil {
		return err
	}
	c.awaitBody()
	if c.lease != nil {
		// Without a budget there may be no limit either; then the buffer grows as the body arrives.
		*c.body = append(make([]byte, 0, limit+1), *c.body...)
	}
	if ended, err = readUpTo(body, c.body, limit); err != nil {
		return err
	}
	if !ended {
		return errBodyTooLarge
	}
	if read := len(*c.body); read < cap(*c.body)/2 {
		*c.body = append(make([]byte, 0, read), *c.body...)
	}
	c.shrinkToBody(c.bodyMemory(int64(cap(*c.body))))
	return nil
}

// readUpTo appends a body to the buffer until it ends, or until the buffer has more than limit bytes.
func readUpTo(body io.Reader, buffer *[]byte, limit int64) (ended bool, err error) {
	data := *buffer
	if cap(data) == 0 {
		data = make([]byte, 0, initialBodyBytes)
	}
	for int64(len(data)) <= limit {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		*buffer = data
		if int64(len(data)) > limit {
			return false, nil
		}
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
