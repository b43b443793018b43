package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. All numbers are big-endian. The checksum covers the header behind the magic, and the payload,
// so that a frame moved to another place or left over from another generation is recognised too.
const (
	frameMagic = "\x00\x1fG\x01" // holds bytes that JSON text never holds

	generationAt = len(frameMagic)
	sequenceAt   = generationAt + 8
	lengthAt     = sequenceAt + 8 // of the payload
	checksumAt   = lengthAt + 4
	headerBytes  = checksumAt + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the header from the generation up to the checksum itself, and the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, header), castagnoli, payload)
}

// frame is a frame that was read.
type frame struct {
	generation uint64 // of the slot or log that it belongs to
	sequence   uint64 // its position there, from 0; see lastFrame for that of a slot's last one
	payload    []byte
}

// size returns the bytes that it takes on the disk.
func (f *frame) size() int64 { return int64(headerBytes + len(f.payload)) }

// beginFrame appends a header that finishFrame completes once the payload is appended.
func beginFrame(buffer []byte, generation, sequence uint64) []byte {
	buffer = append(buffer, frameMagic...)
	buffer = binary.BigEndian.AppendUint64(buffer, generation)
	buffer = binary.BigEndian.AppendUint64(buffer, sequence)
	return append(buffer, make([]byte, headerBytes-lengthAt)...)
}

// finishFrame fills in the length and the checksum of the one frame that the buffer holds.
func finishFrame(buffer []byte) {
	payload := buffer[headerBytes:]
	binary.BigEndian.PutUint32(buffer[lengthAt:], uint32(len(payload)))
	sum := checksum(buffer[generationAt:checksumAt], payload)
	binary.BigEndian.PutUint32(buffer[checksumAt:], sum)
}

// payloadLength returns the length that a header states; -1 when it is no header.
func payloadLength(header []byte) int64 {
	if len(header) < headerBytes || string(header[:generationAt]) != frameMagic {
		return -1
	}
	return int64(binary.BigEndian.Uint32(header[lengthAt:]))
}

// parseFrame returns the frame that data begins with; false unless that frame is intact: complete and with the right checksum.
func parseFrame(data []byte) (frame, bool) {
	length := payloadLength(data)
	if length < 0 || length > int64(len(data)-headerBytes) {
		return frame{}, false
	}
	end := headerBytes + int(length)
	payload := data[headerBytes:end:end]
	if checksum(data[generationAt:checksumAt], payload) != binary.BigEndian.Uint32(data[checksumAt:]) {
		return frame{}, false
	}
	return frame{
		generation: binary.BigEndian.Uint64(data[generationAt:]),
		sequence:   binary.BigEndian.Uint64(data[sequenceAt:]),
		payload:    payload,
	}, true
}

// containsFrame reports whether an intact frame of a generation lies anywhere in data. Since a frame is written only after the
// one before it was synced, one behind bytes that are no intact frame proves that those had been synced.
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
