package storage

// frameReader reads the frames of a file one after the other, so that no more than one of them has to be in memory.
type frameReader struct {
	file   File
	size   int64
	offset int64  // of the next frame
	buffer []byte // nil: each frame gets memory of its own
	reuses bool   // the payload of a frame is valid until the next one is read
}

// newFrameReader begins at the start of a file.
func newFrameReader(file File, reuses bool) (*frameReader, error) {
	size, err := file.Size()
	return &frameReader{file: file, size: size, reuses: reuses}, err
}

// next returns the next frame, if it is whole. An error is one of the disk.
func (r *frameReader) next() (frame, bool, error) {
	behind := r.size - r.offset - int64(headerBytes)
	if behind < 0 {
		return frame{}, false, nil
	}
	data := r.room(headerBytes)
	if _, err := r.file.ReadAt(data, r.offset); err != nil {
		return frame{}, false, err
	}
	length := payloadLength(data)
	if length < 0 || length > behind {
		return frame{}, false, nil
	}
	data = r.room(headerBytes + int(length))
	if _, err := r.file.ReadAt(data, r.offset); err != nil {
		return frame{}, false, err
	}
	found, whole := parseFrame(data)
	if whole {
		r.offset += found.size()
	}
	return found, whole, nil
}

// room returns memory for so many bytes.
func (r *frameReader) room(bytes int) []byte {
	if !r.reuses {
		return make([]byte, bytes)
	}
	if cap(r.buffer) < bytes {
		r.buffer = make([]byte, bytes)
	}
	return r.buffer[:bytes]
}

// rest returns all that lies behind the frames that were read.
func (r *frameReader) rest() ([]byte, error) {
	data := make([]byte, r.size-r.offset)
	if len(data) == 0 {
		return nil, nil
	}
	_, err := r.file.ReadAt(data, r.offset)
	return data, err
}
