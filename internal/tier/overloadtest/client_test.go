package overloadtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"mastusher/internal/tier/localtier"
)

const (
	dialTimeout = 2 * time.Second
	// receiveBuffer is the receive buffer of a client that reads slowly, in bytes: what it doesn't read waits at the proxy.
	receiveBuffer = 4 << 10
	// retryPause is the pause of a client whose connection was refused.
	retryPause = 20 * time.Millisecond
)

// connect opens a connection that ends with ctx; nil: it was refused.
func connect(ctx context.Context, address string) net.Conn {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		pause(ctx.Done(), retryPause)
		return nil
	}
	context.AfterFunc(ctx, func() { connection.Close() })
	return connection
}

// request is the head of a request and what follows it.
type request struct {
	path    string
	attempt string
	fields  []string // further header fields
	chunked bool
	length  int64 // Content-Length, unless chunked
}

// head returns the head as bytes.
func (r request) head() string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.path, localtier.Host, attemptHeader, r.attempt)
	for _, field := range r.fields {
		head.WriteString(field + "\r\n")
	}
	if r.chunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", r.length)
	}
	return head.String()
}

// sendChunks sends a body in chunks of a size, without the last, empty chunk.
func sendChunks(w io.Writer, total, size int) error {
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
	batch := chunk
	for len(batch) < 16<<10 && size < 1<<10 { // several small chunks in one write: the client's processor time isn't what is tested
		batch = append(batch, chunk...)
	}
	perBatch := len(batch) / len(chunk)
	for sent := 0; sent+perBatch*size <= total; sent += perBatch * size {
		if _, err := w.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// sendBytes sends bytes of a body.
func sendBytes(w io.Writer, total int) error {
	block := []byte(strings.Repeat("x", 64<<10))
	for total > 0 {
		n, err := w.Write(block[:min(total, len(block))])
		if err != nil {
			return err
		}
		total -= n
	}
	return nil
}

// hold keeps a connection open, unread, until ctx ends or the other side closes it.
func hold(ctx context.Context, connection net.Conn) {
	defer connection.Close()
	var answer [1 << 10]byte
	for ctx.Err() == nil {
		if _, err := connection.Read(answer[:]); err != nil {
			pause(ctx.Done(), retryPause)
			return
		}
	}
}

// readSlowly reads an answer a few bytes at a time until it ends or ctx does.
func readSlowly(ctx context.Context, connection net.Conn) {
	defer connection.Close()
	var answer [256]byte
	for ctx.Err() == nil {
		if _, err := connection.Read(answer[:]); err != nil {
			return
		}
		pause(ctx.Done(), 100*time.Millisecond)
	}
}
