package overloadtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	dripBytes    = 512 // that a dripping endpoint sends at once
	dripPause    = 10 * time.Millisecond
	blockBytes   = 16 << 10 // of a write of a body
	repeatedHead = 8        // responses with another id, or informational ones, before the ordinary one
)

// errStalled ends a flood that has come to its stall point.
var errStalled = errors.New("stalled")

// floodWriter sends one flood on a connection.
type floodWriter struct {
	flood
	ctx        context.Context
	connection net.Conn
	attempt    string // id of the request
	random     *rand.Rand
	sent       int
}

// play sends the flood until the other side closes the connection or ctx ends.
func (w *floodWriter) play() {
	if err := w.send(); errors.Is(err, errStalled) {
		hold(w.ctx, w.connection)
	}
}

// send sends the head and the body.
func (w *floodWriter) send() error {
	if err := w.sendHead(); err != nil {
		return err
	}
	return w.sendBody()
}

// Write sends bytes at the flood's pace. It returns errStalled at the stall point.
func (w *floodWriter) Write(data []byte) (int, error) {
	if w.pace == stalled && w.sent+len(data) > w.stallAt {
		data = data[:max(w.stallAt-w.sent, 0)]
	}
	for rest := data; len(rest) > 0; {
		piece := rest
		if w.pace == dripped {
			piece = rest[:min(len(rest), dripBytes)]
			pause(w.ctx.Done(), dripPause)
		}
		n, err := w.connection.Write(piece)
		w.sent += n
		if err != nil {
			return 0, err
		}
		rest = rest[n:]
	}
	if w.pace == stalled && w.sent >= w.stallAt {
		return len(data), errStalled
	}
	return len(data), w.ctx.Err()
}

// sendHead sends the head, or bytes without end in its place.
func (w *floodWriter) sendHead() error {
	switch w.head {
	case endlessLineHead:
		return w.repeat("HTTP/1.1 200 ", strings.Repeat("o", blockBytes))
	case endlessFieldHead:
		return w.repeat("HTTP/1.1 200 OK\r\nFiller: ", strings.Repeat("x", blockBytes))
	case endlessFieldsHead:
		return w.repeat("HTTP/1.1 200 OK\r\n", strings.Repeat("a:\n", blockBytes/3))
	case continuationHead:
		return w.repeat("HTTP/1.1 200 OK\r\nFiller: x\r\n", strings.Repeat(" x\n", blockBytes/3))
	case endless1xxHead:
		return w.repeat("", "HTTP/1.1 103 Early Hints\r\n"+manyFields(w.headBytes)+"\r\n")
	case endlessForeignHead:
		return w.repeat("", w.response("200 OK", "another", "", manyFields(w.headBytes)))
	case noiseHead:
		for {
			if _, err := w.Write(w.noise()); err != nil {
				return err
			}
		}
	case foreignHead:
		if err := w.repeatTimes(w.response("200 OK", "another", "seal", manyFields(w.headBytes)), repeatedHead); err != nil {
			return err
		}
	case informationalHead:
		if err := w.repeatTimes("HTTP/1.1 103 Early Hints\r\n"+manyFields(w.headBytes)+"\r\n", repeatedHead); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, w.finiteHead())
	return err
}

// finiteHead returns a head that ends.
func (w *floodWriter) finiteHead() string {
	status, seal, fields := "200 OK", "X-Server-Seal: seal\r\n", ""
	switch w.head {
	case distinctFieldsHead:
		fields = manyFields(w.headBytes)
	case sameFieldHead:
		fields = strings.Repeat("a:\n", w.headBytes/3)
	case trailerNamesHead:
		fields = "Trailer: " + manyNames(w.headBytes) + "\r\n"
	case optionNamesHead:
		fields = "Connection: " + manyNames(w.headBytes) + "\r\n"
	case longValueHead:
		fields = "Filler: " + strings.Repeat("x", w.headBytes) + "\r\n"
	case unsealedHead:
		seal = ""
	case noContentHead:
		status = "204 No Content"
	}
	return "HTTP/1.1 " + status + "\r\n" + attemptHeader + ": " + w.attempt + "\r\n" + seal + w.framingFields() + fields + "\r\n"
}

// framingFields returns the fields that tell how the body ends.
func (w *floodWriter) framingFields() string {
	switch w.framing {
	case lengthFraming:
		return "Content-Length: 1000000000000\r\n"
	case overrunFraming:
		return "Content-Length: 20000\r\n"
	case closeFraming:
		return "Connection: close\r\n"
	case contradictFraming:
		return "Content-Length: 1000\r\nTransfer-Encoding: chunked\r\n"
	}
	return "Transfer-Encoding: chunked\r\n"
}

// sendBody sends the body, which never ends.
func (w *floodWriter) sendBody() error {
	const tinyChunks = 1 << 10 // in one write
	switch w.framing {
	case trailerFraming:
		return w.repeat("0\r\n", manyFields(blockBytes))
	case endlessSize:
		return w.repeat("", strings.Repeat("0", blockBytes))
	case endlessExtension:
		return w.repeat("5;x=", strings.Repeat("y", blockBytes))
	case tinyChunkFraming:
		return w.repeat("", strings.Repeat("1\r\n\n\r\n", tinyChunks))
	}
	for number := 1; ; number++ {
		block := w.block(number)
		switch w.framing {
		case chunkFraming, contradictFraming:
			block = fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
		case extensionFraming:
			block = fmt.Appendf(nil, "%x;%s\r\n%s\r\n", len(block), strings.Repeat("e", 4<<10), block)
		}
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
}

// block returns the next bytes of the body.
func (w *floodWriter) block(number int) []byte {
	const longID, mediumData, eventsPerBlock = 500 << 10, 200 << 10, 1 << 10
	switch w.body {
	case noiseBody:
		return w.noise()
	case tinyEvents:
		return bytes.Repeat([]byte("data:\n\n"), eventsPerBlock)
	case numbered:
		var events bytes.Buffer
		for i := range eventsPerBlock {
			fmt.Fprintf(&events, "id: %d\ndata: x\n\n", number*eventsPerBlock+i)
		}
		return events.Bytes()
	case comments:
		return bytes.Repeat([]byte(":\n"), eventsPerBlock)
	case emptyLines:
		return bytes.Repeat([]byte("\n"), blockBytes)
	case longEvent:
		return bytes.Repeat([]byte("data: xxxxxxxxxxxxxxxx\n"), eventsPerBlock)
	case longIDs:
		return fmt.Appendf(nil, "id: %s%d\ndata: x\n\n", strings.Repeat("i", longID), number)
	case manyIDs:
		return bytes.Repeat([]byte("id: "+strings.Repeat("i", 1000)+"\n"), blockBytes/1000)
	case mediumEvents:
		return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", mediumData))
	case moreResponses:
		return []byte(strings.Repeat(w.response("200 OK", w.attempt, "seal", ""), 100))
	}
	return bytes.Repeat([]byte("x"), blockBytes)
}

// response returns a complete small response.
func (w *floodWriter) response(status, attempt, seal, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nX-Server-Seal: %s\r\nContent-Length: 2\r\n%s\r\nok", status, attemptHeader, attempt, seal, fields)
}

// noise returns random bytes.
func (w *floodWriter) noise() []byte {
	noise := make([]byte, blockBytes)
	for i := range noise {
		noise[i] = byte(w.random.Uint32())
	}
	return noise
}

// repeat sends a text once, and another one without end.
func (w *floodWriter) repeat(once, again string) error {
	if _, err := io.WriteString(w, once); err != nil {
		return err
	}
	for {
		if _, err := io.WriteString(w, again); err != nil {
			return err
		}
	}
}

// repeatTimes sends a text several times.
func (w *floodWriter) repeatTimes(text string, times int) error {
	for range times {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// manyFields returns header fields with different names, as many as fit into a number of bytes.
func manyFields(total int) string {
	var fields strings.Builder
	for i := 0; fields.Len()+6 < total; i++ {
		fields.WriteString(shortName(i) + ":\n")
	}
	return fields.String()
}

// manyNames returns a list of different names, as many as fit into a number of bytes.
func manyNames(total int) string {
	var names strings.Builder
	for i := 0; names.Len()+6 < total; i++ {
		names.WriteString(shortName(i) + ",")
	}
	return names.String() + "z"
}

// shortName returns one of some 33,000 names of three characters, in lower case.
func shortName(number int) string {
	const letters, characters = 26, "abcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{characters[number%letters], characters[number/letters%len(characters)],
		characters[number/letters/len(characters)%len(characters)]})
}
