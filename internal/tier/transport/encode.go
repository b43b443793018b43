package transport

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
)

// lineBuffers pools buffers for encoded lines.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseLine returns the buffer of a line to the pool. The line must not be used afterwards.
func releaseLine(buffer *bytes.Buffer) {
	if buffer.Cap() > maxPooledLineBytes {
		return
	}
	buffer.Reset()
	lineBuffers.Put(buffer)
}

// Appender is a body that encodes itself. It is meant for large values that are already JSON, which encoding/json would validate
// again for every receiver.
type Appender interface {
	// AppendJSON appends the body as encoding/json would encode it. If the result contains a line feed it is discarded, and
	// encoding/json encodes the body instead.
	AppendJSON(buffer []byte) ([]byte, error)
}

// encodeLine encodes a line into a pooled buffer, which must be passed to releaseLine once. It returns a *TooLongError if the line
// has more than bound bytes; any other error comes from encoding the body.
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

// encodeBody appends the JSON of a body without a line feed.
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
	buffer.Truncate(buffer.Len() - 1) // drops the encoder's line feed
	return nil
}
