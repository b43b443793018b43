package program

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
	"unicode/utf8"
)

// Image is a machine's state at one moment, or a part of it. It shares the inputs and outputs with the machine, which never
// change, so it is quick to take and may be written by another goroutine while the machine goes on.
type Image struct {
	NowMs    int64           `json:"nowMs"` // the same in all parts
	HeardMs  int64           `json:"heardMs"`
	Number   int             `json:"number,omitempty"` // of the part, from 0
	GoesOn   bool            `json:"goesOn,omitempty"` // there is another part
	More     *contentsRecord `json:"more,omitempty"`   // of the last turn in the parts before
	Programs []programRecord `json:"programs"`         // by last use, the oldest first
	Turns    []turnRecord    `json:"turns"`            // by when they came, so that a parent goes before its children
	contents int64           // bytes of all inputs and outputs
}

// programRecord is a program in an image.
type programRecord struct {
	Name     string `json:"name"`
	Limit    int64  `json:"limit,omitempty"`
	Spent    int64  `json:"spent,omitempty"`
	Reserved int64  `json:"reserved,omitempty"`
	UsedMs   int64  `json:"usedMs"`
}

// turnRecord is a turn in an image.
type turnRecord struct {
	Turn       string `json:"turn"`
	State      state  `json:"state,omitempty"`
	Remembered bool   `json:"remembered,omitempty"`
	Program    string `json:"program,omitempty"` // while under way
	Most       int64  `json:"most,omitempty"`    // while under way
	Parent     int    `json:"parent,omitempty"`  // place of the parent in the list, from 1; 0: none
	KeepMs     int64  `json:"keepMs,omitempty"`
	DueMs      int64  `json:"dueMs,omitempty"` // 0: held by its children alone
	Input      []byte `json:"input,omitempty"`
	Output     []byte `json:"output,omitempty"`
}

// contentsRecord is a piece of the contents of a turn that are larger than a part. It goes behind the pieces before.
type contentsRecord struct {
	Input  []byte `json:"input,omitempty"`
	Output []byte `json:"output,omitempty"`
}

// Room for one record without its contents, used to size a snapshot in advance.
const (
	programRoom = 120
	turnRoom    = 180
)

// Snapshot gives the whole state as one part. Machines that applied the same commands give the same bytes.
func (m *Machine) Snapshot() []byte {
	return m.Image().JSON()
}

// Image gives the whole state as it is now.
func (m *Machine) Image() *Image {
	image := &Image{
		NowMs:    m.clock.nowMs,
		HeardMs:  m.clock.heardMs,
		Programs: make([]programRecord, 0, len(m.programs.byName)),
		contents: m.bytes,
	}
	for p := m.programs.oldest; p != nil; p = p.newer {
		image.Programs = append(image.Programs, recordProgram(p))
	}
	turns := m.inOrder()
	image.Turns = make([]turnRecord, 0, len(turns))
	for _, t := range turns {
		image.Turns = append(image.Turns, recordTurn(t, placeOf(t.parent, turns)))
	}
	return image
}

func recordProgram(p *program) programRecord {
	return programRecord{
		Name:     p.name,
		Limit:    p.limit,
		Spent:    p.spent,
		Reserved: p.reserved,
		UsedMs:   p.usedMs,
	}
}

func recordTurn(t *turn, parent int) turnRecord {
	record := turnRecord{
		Turn:       t.name,
		State:      t.state,
		Remembered: t.remembered,
		Most:       t.most,
		Parent:     parent,
		KeepMs:     t.keepMs,
		DueMs:      t.dueMs,
		Input:      t.input,
		Output:     t.output,
	}
	if t.program != nil {
		record.Program = t.program.name
	}
	return record
}

// placeOf gives the place of a turn in a list by sequence, from 1; 0 for nil.
func placeOf(t *turn, turns []*turn) int {
	if t == nil {
		return 0
	}
	index, _ := slices.BinarySearchFunc(turns, t, bySequence)
	return index + 1
}

// JSON writes the image as Machine.Restore reads it, and as encoding/json would, in less time and memory.
func (i *Image) JSON() []byte {
	return i.appendJSON(make([]byte, 0, i.room()))
}

// appendJSON appends the image's JSON.
func (i *Image) appendJSON(out []byte) []byte {
	out = append(out, `{"nowMs":`...)
	out = strconv.AppendInt(out, i.NowMs, 10)
	out = append(out, `,"heardMs":`...)
	out = strconv.AppendInt(out, i.HeardMs, 10)
	out = appendNumber(out, `,"number":`, int64(i.Number))
	if i.GoesOn {
		out = append(out, `,"goesOn":true`...)
	}
	if i.More != nil {
		out = append(out, `,"more":`...)
		out = appendContents(out, i.More)
	}
	out = append(out, `,"programs":[`...)
	for place := range i.Programs {
		out = appendSeparator(out)
		out = appendProgram(out, &i.Programs[place])
	}
	out = append(out, `],"turns":[`...)
	for place := range i.Turns {
		out = appendSeparator(out)
		out = appendTurn(out, &i.Turns[place])
	}
	return append(out, "]}"...)
}

// room is a little over the length of the JSON as long as names have a usual length.
func (i *Image) room() int {
	contents := int(i.contents)
	contents += contents/3 + contents/100
	return contents + (len(i.Turns)+1)*turnRoom + len(i.Programs)*programRoom
}

func appendProgram(out []byte, p *programRecord) []byte {
	out = append(out, `{"name":`...)
	out = appendString(out, p.Name)
	out = appendNumber(out, `,"limit":`, p.Limit)
	out = appendNumber(out, `,"spent":`, p.Spent)
	out = appendNumber(out, `,"reserved":`, p.Reserved)
	out = append(out, `,"usedMs":`...)
	out = strconv.AppendInt(out, p.UsedMs, 10)
	return append(out, '}')
}

func appendTurn(out []byte, t *turnRecord) []byte {
	out = append(out, `{"turn":`...)
	out = appendString(out, t.Turn)
	out = appendNumber(out, `,"state":`, int64(t.State))
	if t.Remembered {
		out = append(out, `,"remembered":true`...)
	}
	if t.Program != "" {
		out = append(out, `,"program":`...)
		out = appendString(out, t.Program)
	}
	out = appendNumber(out, `,"most":`, t.Most)
	out = appendNumber(out, `,"parent":`, int64(t.Parent))
	out = appendNumber(out, `,"keepMs":`, t.KeepMs)
	out = appendNumber(out, `,"dueMs":`, t.DueMs)
	out = appendBytes(out, `,"input":`, t.Input)
	out = appendBytes(out, `,"output":`, t.Output)
	return append(out, '}')
}

func appendContents(out []byte, contents *contentsRecord) []byte {
	start := len(out)
	out = appendBytes(out, `,"input":`, contents.Input)
	out = appendBytes(out, `,"output":`, contents.Output)
	if len(out) == start {
		return append(out, "{}"...)
	}
	out[start] = '{' // in place of the first comma
	return append(out, '}')
}

// appendSeparator puts a comma in front of all but the first item of a list.
func appendSeparator(out []byte) []byte {
	if out[len(out)-1] == '[' {
		return out
	}
	return append(out, ',')
}

// appendNumber leaves a field out that is 0.
func appendNumber(out []byte, field string, value int64) []byte {
	if value == 0 {
		return out
	}
	out = append(out, field...)
	return strconv.AppendInt(out, value, 10)
}

// appendBytes leaves a field out that is empty.
func appendBytes(out []byte, field string, value []byte) []byte {
	if len(value) == 0 {
		return out
	}
	out = append(out, field...)
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, value)
	return append(out, '"')
}

func appendString(out []byte, text string) []byte {
	if !isPlain(text) {
		quoted, _ := json.Marshal(text) // never fails for a string
		return append(out, quoted...)
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

// isPlain tells whether a text stands in JSON as it is.
func isPlain(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c >= utf8.RuneSelf, c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}
