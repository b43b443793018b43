package storage

// Frame returns the bytes of an intact frame.
func Frame(generation, sequence uint64, payload string) []byte {
	buffer := append(beginFrame(nil, generation, sequence), payload...)
	finishFrame(buffer)
	return buffer
}
