package capture

import "encoding/binary"

// Major changes when older readers can't read a file, Minor when they can.
const (
	Major = 1
	Minor = 1 // 1 added the core's own state and inputs, TypeCore and TypeInput

	fileMagic  = "MCAP"
	chunkMagic = "CHNK"
	fileHead   = 8
	chunkHead  = 4 + 4 + 4 + 8
	maxChunk   = 16 << 20 // bytes of a body, compressed or not
)

func fileHeader() []byte {
	return []byte{fileMagic[0], fileMagic[1], fileMagic[2], fileMagic[3], Major, Minor, 0, 0}
}

// chunkHeader is the fixed-size part of a chunk.
type chunkHeader struct {
	headSize, bodySize int64 // bytes
	checksum           uint64
}

// parseChunkHeader decodes the first chunkHead bytes of a chunk; false: they are not a chunk's.
func parseChunkHeader(text []byte) (chunkHeader, bool) {
	header := chunkHeader{
		headSize: int64(binary.LittleEndian.Uint32(text[4:])),
		bodySize: int64(binary.LittleEndian.Uint32(text[8:])),
		checksum: binary.LittleEndian.Uint64(text[12:]),
	}
	return header, string(text[:4]) == chunkMagic && header.headSize <= maxChunk && header.bodySize <= maxChunk
}

// size returns the size of the whole chunk in bytes.
func (h *chunkHeader) size() int64 { return chunkHead + h.headSize + h.bodySize }

// putChunkHeader writes the first chunkHead bytes of a chunk.
func putChunkHeader(text []byte, header chunkHeader) {
	copy(text, chunkMagic)
	binary.LittleEndian.PutUint32(text[4:], uint32(header.headSize))
	binary.LittleEndian.PutUint32(text[8:], uint32(header.bodySize))
	binary.LittleEndian.PutUint64(text[12:], header.checksum)
}
