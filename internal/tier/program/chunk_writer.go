package program

import "encoding/base64"

// chunkBytes is the approximate length of the JSON of a full chunk. The content of a turn that doesn't fit into one chunk is split
// into fragments, each in a chunk of its own.
const chunkBytes = 128 << 10

// contentFragmentBytes is the size of a fragment of a turn's content before it is encoded. It is a multiple of 3, so that the
// base64 has no padding.
const contentFragmentBytes = chunkBytes / 4 * 3

// WriteChunks writes the whole state in chunks of bounded size, in the order in which Restorer.Add expects them. The bytes passed
// to write are valid until it returns. WriteChunks stops at write's first error and returns it. Machines that applied the same
// commands write the same chunks.
func (m *Machine) WriteChunks(write func(chunk []byte) error) error {
	return m.Capture().WriteChunks(write)
}

// WriteChunks writes a captured state like Machine.WriteChunks. It may run on another goroutine than the machine's.
func (c *Chunk) WriteChunks(write func(chunk []byte) error) error {
	w := chunkWriter{write: write, chunk: Chunk{NowMs: c.NowMs, LastCommandMs: c.LastCommandMs}}
	for _, record := range c.Programs {
		if err := w.addProgram(record); err != nil {
			return err
		}
	}
	for _, record := range c.Turns {
		if err := w.addTurn(record); err != nil {
			return err
		}
	}
	return w.emit()
}

// chunkWriter collects records and writes a chunk whenever they fill it.
type chunkWriter struct {
	write          func(chunk []byte) error
	chunk          Chunk
	estimatedBytes int // approximate length of the chunk's JSON
	buffer         []byte
}

func (w *chunkWriter) addProgram(record programRecord) error {
	if err := w.reserve(programRecordBytes + len(record.Name)); err != nil {
		return err
	}
	w.chunk.Programs = append(w.chunk.Programs, record)
	return nil
}

func (w *chunkWriter) addTurn(record turnRecord) error {
	content := contentRecord{Input: record.Input, Output: record.Output}
	size := turnRecordBytes + len(record.Turn) + len(record.Program)
	isLarge := size+content.encodedBytes() > chunkBytes
	if isLarge {
		record.Input, record.Output = nil, nil
	} else {
		size += content.encodedBytes()
	}
	if err := w.reserve(size); err != nil {
		return err
	}
	w.chunk.Turns = append(w.chunk.Turns, record)
	if !isLarge {
		return nil
	}
	return w.addContent(content)
}

// addContent splits the content of the turn added last into fragments, each in a chunk of its own. Later turns may share the last
// fragment's chunk.
func (w *chunkWriter) addContent(content contentRecord) error {
	for len(content.Input)+len(content.Output) > 0 {
		if err := w.flush(); err != nil {
			return err
		}
		fragment := contentRecord{Input: takePrefix(&content.Input, contentFragmentBytes)}
		fragment.Output = takePrefix(&content.Output, contentFragmentBytes-len(fragment.Input))
		w.chunk.Continuation = &fragment
		w.estimatedBytes = fragment.encodedBytes()
	}
	return nil
}

// takePrefix removes up to limit bytes from the start of a slice and returns them.
func takePrefix(from *[]byte, limit int) []byte {
	size := min(limit, len(*from))
	prefix := (*from)[:size]
	*from = (*from)[size:]
	return prefix
}

// reserve makes room for a record: it starts another chunk if the record doesn't fit into the current one.
func (w *chunkWriter) reserve(size int) error {
	if w.estimatedBytes > 0 && w.estimatedBytes+size > chunkBytes {
		if err := w.flush(); err != nil {
			return err
		}
	}
	w.estimatedBytes += size
	return nil
}

// flush writes a chunk that isn't the last one, and starts the next.
func (w *chunkWriter) flush() error {
	w.chunk.HasNext = true
	if err := w.emit(); err != nil {
		return err
	}
	w.chunk.Index++
	w.chunk.HasNext = false
	w.chunk.Continuation = nil
	w.chunk.Programs, w.chunk.Turns = w.chunk.Programs[:0], w.chunk.Turns[:0]
	w.estimatedBytes = 0
	return nil
}

// emit encodes and writes the current chunk.
func (w *chunkWriter) emit() error {
	w.buffer = w.chunk.appendJSON(w.buffer[:0])
	return w.write(w.buffer)
}

// encodedBytes returns the length of the content in base64.
func (c *contentRecord) encodedBytes() int {
	return base64.StdEncoding.EncodedLen(len(c.Input)) + base64.StdEncoding.EncodedLen(len(c.Output))
}
