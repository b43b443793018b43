package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of a header and a payload. All numbers are big-endian. The checksum covers the header fields after the magic and
// the payload, so that a frame from another position or another generation is detected too.
const (
	frameMagic = "\x00\x1fG\x01" // contains bytes that never occur in JSON text

	generationOffset = len(frameMagic)
	sequenceOffset   = generationOffset + 8
	lengthOffset     = sequenceOffset + 8 // of the payload
	checksumOffset   = lengthOffset + 4
	headerBytes      = checksumOffset + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of the header fields from the generation up to the checksum, and of the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, header), castagnoli, payload)
}

// frame is a frame that was read from a slot or log.
type frame struct {
	generation uint64 // of the slot or log
	sequence   uint64 // position in the slot or log, from 0; see lastFrameFlag for a slot's last frame
	payload    []byte
}

// size returns the length of the frame on disk.
func (f *frame) size() int64 { return int64(headerBytes + len(f.payload)) }

// beginFrame appends a header, which finishFrame completes after the payload has been appended.
func beginFrame(buffer []byte, generation, sequence uint64) []byte {
	buffer = append(buffer, frameMagic...)
	buffer = binary.BigEndian.AppendUint64(buffer, generation)
	buffer = binary.BigEndian.AppendUint64(buffer, sequence)
	return append(buffer, make([]byte, headerBytes-lengthOffset)...)
}

// finishFrame sets the length and checksum of the frame in the buffer, which must hold nothing else.
func finishFrame(buffer []byte) {
	payload := buffer[headerBytes:]
	binary.BigEndian.PutUint32(buffer[lengthOffset:], uint32(len(payload)))
	sum := checksum(buffer[generationOffset:checksumOffset], payload)
	binary.BigEndian.PutUint32(buffer[checksumOffset:], sum)
}

// payloadLength returns the payload length in a header, or -1 if the header is incomplete or lacks the magic.
func payloadLength(header []byte) int64 {
	if len(header) < headerBytes || string(header[:generationOffset]) != frameMagic {
		return -1
	}
	return int64(binary.BigEndian.Uint32(header[lengthOffset:]))
}

// parseFrame returns the frame at the start of data, and whether it is intact, that is, complete and with a valid checksum.
func parseFrame(data []byte) (frame, bool) {
	length := payloadLength(data)
	if length < 0 || length > int64(len(data)-headerBytes) {
		return frame{}, false
	}
	end := headerBytes + int(length)
	payload := data[headerBytes:end:end]
	if checksum(data[generationOffset:checksumOffset], payload) != binary.BigEndian.Uint32(data[checksumOffset:]) {
		return frame{}, false
	}
	return frame{
		generation: binary.BigEndian.Uint64(data[generationOffset:]),
		sequence:   binary.BigEndian.Uint64(data[sequenceOffset:]),
		payload:    payload,
	}, true
}

// containsFrame reports whether data contains an intact frame of a generation at any offset. Since each frame is written only after
// the previous one was synced, an intact frame after damaged bytes proves that those bytes had been synced.
func containsFrame(data []byte, generation uint64) bool {
	for {
		start := bytes.Index(data, []byte(frameMagic))
		if start < 0 {
			return false
		}
		data = data[start:]
		if found, intact := parseFrame(data); intact && found.generation == generation {
			return true
		}
		data = data[1:]
	}
}
