package transport

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
)

// lineBuffers pools the buffers of encoded lines.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseLine returns a buffer to the pool. The line must not be used after it.
func releaseLine(buffer *bytes.Buffer) {
	if buffer.Cap() > maxPooledLineBytes {
		return
	}
	buffer.Reset()
	lineBuffers.Put(buffer)
}

// Appender is a body that encodes itself. It is for large values that are JSON already: encoding/json would validate each of
// them again, for every receiver.
type Appender interface {
	// AppendJSON appends the body as encoding/json would encode it. A result with line feeds is dropped and encoding/json
	// encodes the body.
	AppendJSON(buffer []byte) ([]byte, error)
}

// encodeLine encodes a line into a pooled buffer, for which the caller must call releaseLine once. A *TooLongError means that
// it exceeds the bound, in bytes; any other error is of the encoding of the body.
func encodeLine(kind lineKind, id uint64, method string, body any, bound int) (*bytes.Buffer, error) {
	buffer := lineBuffers.Get().(*bytes.Buffer)
	buffer.WriteString(`{"`)
	buffer.WriteString(string(kind))
	buffer.WriteString(`":`)
	buffer.Write(strconv.AppendUint(buffer.AvailableBuffer(), id, 10))
	if method != "" {
		buffer.WriteString(`,"method":"`)
		buffer.WriteString(method)
		buffer.WriteByte('"')
	}
	if body != nil {
		buffer.WriteString(`,"body":`)
		if err := encodeBody(buffer, body); err != nil {
			releaseLine(buffer)
			return nil, err
		}
	}
	buffer.WriteString("}\n")
	if buffer.Len() > bound {
		err := &TooLongError{Bytes: buffer.Len(), Bound: bound}
		releaseLine(buffer)
		return nil, err
	}
	return buffer, nil
}

// encodeBody appends a body without a line feed.
func encodeBody(buffer *bytes.Buffer, body any) error {
	if appender, ok := body.(Appender); ok {
		written, err := appender.AppendJSON(buffer.AvailableBuffer())
		if err != nil || bytes.IndexByte(written, '\n') < 0 {
			buffer.Write(written)
			return err
		}
	}
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return err
	}
	buffer.Truncate(buffer.Len() - 1) // the encoder's line feed
	return nil
}
