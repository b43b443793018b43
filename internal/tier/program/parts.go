package program

import "encoding/base64"

// partBytes is about the length of the JSON of one part of a snapshot. Contents of a turn that are longer go over several
// parts.
const partBytes = 128 << 10

// pieceBytes is the length of the pieces that such contents are cut into; a multiple of 3, so that its text has no padding.
const pieceBytes = partBytes / 4 * 3

// Parts hands the whole state over in parts of bounded size, in their order, as Restorer takes them. A part is valid until
// write returns. An error of write ends it and is returned. Machines that applied the same commands give the same parts.
func (m *Machine) Parts(write func(part []byte) error) error {
	w := partWriter{write: write, image: Image{NowMs: m.clock.nowMs, HeardMs: m.clock.heardMs}}
	for p := m.programs.oldest; p != nil; p = p.newer {
		if err := w.addProgram(recordProgram(p)); err != nil {
			return err
		}
	}
	turns := m.inOrder()
	for _, t := range turns {
		if err := w.addTurn(recordTurn(t, placeOf(t.parent, turns))); err != nil {
			return err
		}
	}
	return w.hand()
}

// partWriter gathers records until they make up a part.
type partWriter struct {
	write  func(part []byte) error
	image  Image
	bytes  int // about the length of the image's JSON
	buffer []byte
}

func (w *partWriter) addProgram(record programRecord) error {
	if err := w.reserve(programRoom + len(record.Name)); err != nil {
		return err
	}
	w.image.Programs = append(w.image.Programs, record)
	return nil
}

func (w *partWriter) addTurn(record turnRecord) error {
	contents := contentsRecord{Input: record.Input, Output: record.Output}
	size := turnRoom + len(record.Turn) + len(record.Program)
	isLarge := size+contents.size() > partBytes
	if isLarge {
		record.Input, record.Output = nil, nil
	} else {
		size += contents.size()
	}
	if err := w.reserve(size); err != nil {
		return err
	}
	w.image.Turns = append(w.image.Turns, record)
	if !isLarge {
		return nil
	}
	return w.addContents(contents)
}

// addContents hands the contents of the last turn over in pieces, each in a part of its own. Turns that come later may share
// the last one's.
func (w *partWriter) addContents(contents contentsRecord) error {
	for len(contents.Input)+len(contents.Output) > 0 {
		if err := w.flush(); err != nil {
			return err
		}
		piece := contentsRecord{Input: cutPiece(&contents.Input, pieceBytes)}
		piece.Output = cutPiece(&contents.Output, pieceBytes-len(piece.Input))
		w.image.More = &piece
		w.bytes = piece.size()
	}
	return nil
}

// cutPiece takes up to limit bytes away from the start.
func cutPiece(from *[]byte, limit int) []byte {
	size := min(limit, len(*from))
	piece := (*from)[:size]
	*from = (*from)[size:]
	return piece
}

// reserve makes room for a record.
func (w *partWriter) reserve(size int) error {
	if w.bytes > 0 && w.bytes+size > partBytes {
		if err := w.flush(); err != nil {
			return err
		}
	}
	w.bytes += size
	return nil
}

// flush hands a part over that is not the last one, and begins the next.
func (w *partWriter) flush() error {
	w.image.GoesOn = true
	if err := w.hand(); err != nil {
		return err
	}
	w.image.Number++
	w.image.GoesOn = false
	w.image.More = nil
	w.image.Programs, w.image.Turns = w.image.Programs[:0], w.image.Turns[:0]
	w.bytes = 0
	return nil
}

// hand hands the image over as a part.
func (w *partWriter) hand() error {
	w.buffer = w.image.appendJSON(w.buffer[:0])
	return w.write(w.buffer)
}

// size is the length of the contents' text.
func (c *contentsRecord) size() int {
	return base64.StdEncoding.EncodedLen(len(c.Input)) + base64.StdEncoding.EncodedLen(len(c.Output))
}
