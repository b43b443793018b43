package capture

import (
	"errors"
)

// Major changes when older readers can't read a file, Minor when they can.
const (
	Major = 1
	Minor = 1 // 1: the core's own inputs, TypeCore and TypeInput

	fileMagic  = "MCAP"
	chunkMagic = "CHNK"
	fileHead   = 8
	chunkHead  = 4 + 4 + 4 + 8
	maxChunk   = 16 << 20 // bytes of a body, compressed or not
)

// ErrVersion is another major version.
var ErrVersion = errors.New("capture: another version")

func fileHeader() []byte {
	return []byte{fileMagic[0], fileMagic[1], fileMagic[2], fileMagic[3], Major, Minor, 0, 0}
}
