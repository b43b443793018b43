package storage

// frameReader reads the frames of a file in order, with at most one of them in memory.
type frameReader struct {
	file   File
	size   int64
	offset int64  // of the next frame
	buffer []byte // for reuse
	reuses bool   // a payload is valid only until the next frame is read
}

// newFrameReader starts at the beginning of a file. With reuse, the payload of a frame is overwritten by the next one.
func newFrameReader(file File, reuse bool) (*frameReader, error) {
	size, err := file.Size()
	return &frameReader{file: file, size: size, reuses: reuse}, err
}

// next returns the next frame, and false if it is not intact; the reader then stays in front of it. An error is the disk's.
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

// allocate returns memory for so many bytes.
func (r *frameReader) allocate(bytes int) []byte {
	if !r.reuses {
		return make([]byte, bytes)
	}
	if cap(r.buffer) < bytes {
		r.buffer = make([]byte, bytes)
	}
	return r.buffer[:bytes]
}

// rest returns everything behind the frames read so far.
func (r *frameReader) rest() ([]byte, error) {
	data := make([]byte, r.size-r.offset)
	if len(data) == 0 {
		return nil, nil
	}
	_, err := r.file.ReadAt(data, r.offset)
	return data, err
}
