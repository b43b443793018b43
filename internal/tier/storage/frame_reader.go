package storage

// frameReader reads the frames of a file in order, one at a time.
type frameReader struct {
	file        File
	size        int64
	offset      int64  // of the next frame
	buffer      []byte // holds the last frame if reuseBuffer is set
	reuseBuffer bool   // whether a payload is valid only until the next frame is read
}

// newFrameReader returns a reader at the start of a file. With reuse, each frame's payload is overwritten by the next frame.
func newFrameReader(file File, reuse bool) (*frameReader, error) {
	size, err := file.Size()
	return &frameReader{file: file, size: size, reuseBuffer: reuse}, err
}

// next returns the next frame and whether it is intact. If it isn't, the reader's offset doesn't change. An error is the disk's.
func (r *frameReader) next() (frame, bool, error) {
	remaining := r.size - r.offset - int64(headerBytes)
	if remaining < 0 {
		return frame{}, false, nil
	}
	data := r.allocate(headerBytes)
	if _, err := r.file.ReadAt(data, r.offset); err != nil {
		return frame{}, false, err
	}
	length := payloadLength(data)
	if length < 0 || length > remaining {
		return frame{}, false, nil
	}
	data = r.allocate(headerBytes + int(length))
	if _, err := r.file.ReadAt(data, r.offset); err != nil {
		return frame{}, false, err
	}
	found, intact := parseFrame(data)
	if intact {
		r.offset += found.size()
	}
	return found, intact, nil
}

// allocate returns a slice of the given length, from the buffer if it is reused.
func (r *frameReader) allocate(bytes int) []byte {
	if !r.reuseBuffer {
		return make([]byte, bytes)
	}
	if cap(r.buffer) < bytes {
		r.buffer = make([]byte, bytes)
	}
	return r.buffer[:bytes]
}

// rest returns the remaining bytes of the file after the frames read so far.
func (r *frameReader) rest() ([]byte, error) {
	data := make([]byte, r.size-r.offset)
	if len(data) == 0 {
		return nil, nil
	}
	_, err := r.file.ReadAt(data, r.offset)
	return data, err
}
