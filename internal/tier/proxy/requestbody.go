package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// initialBodyBytes is the initial size of a buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// maxPooledBytes is the size up to which a buffer is kept for other requests.
	maxPooledBytes = 64 << 10
)

// errBodyTooLarge is returned by readBody for a body over its limit. The client then gets an error response instead of a closed
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

// readBody reads a request's complete body into the buffer. It returns errBodyTooLarge if the body is larger than limit bytes; a limit
// of 0 means unlimited.
func readBody(r *http.Request, buffer *[]byte, limit int64) error {
	switch {
	case r.ContentLength == 0:
		return nil
	case limit > 0 && r.ContentLength > limit:
		return errBodyTooLarge
	case r.ContentLength > 0:
		return readExactly(r.Body, buffer, r.ContentLength)
	}
	return readUntilEOF(r.Body, buffer, limit)
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

// readUntilEOF reads a body of unknown length, up to limit bytes; 0: unlimited.
func readUntilEOF(body io.Reader, buffer *[]byte, limit int64) error {
	data := (*buffer)[:0]
	if cap(data) == 0 {
		data = make([]byte, 0, initialBodyBytes)
	}
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		*buffer = data
		if limit > 0 && int64(len(data)) > limit {
			return errBodyTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
