package trial

import (
	"bufio"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/plugin"
)

// maxLine is the maximum length in bytes of a line in a file of cases.
const maxLine = 1 << 20

// Case is one call and its expected result.
type Case struct {
	Name  string
	Line  int  // number of the line where the case begins
	Fresh bool // run with a new instance and an empty store
	Call  plugin.Call
	Want  []string // the expected result, in the form that Lines returns
}

// Start is the time of calls in cases that don't set "now".
var Start = time.Date(2026, 1, 3, 15, 0, 0, 0, time.UTC)

// New returns a case with the default value for each key.
func New(name string) Case {
	return Case{Name: name, Call: plugin.Call{Phase: plugin.Arrival, Front: "platform", ID: "message-1", Key: "key-1",
		Partner: 1, ClassName: "match-event", TimeLeft: 10 * time.Second, Destination: "endpoint-1", Result: "delivered", Now: Start,
		In: textproto.MIMEHeader{}}}
}

// Set sets a key of a case to a value. Its error is a *KeyError or an *UnknownKeyError.
func (c *Case) Set(key, value string) error {
	set, ok := setters[key]
	if !ok {
		return &UnknownKeyError{Key: key}
	}
	if err := set(c, value); err != nil {
		return &KeyError{Key: key, Err: err}
	}
	return nil
}

// setters has the function that sets each key of a case.
var setters = map[string]func(c *Case, value string) error{
	"phase":   setPhase,
	"front":   textSetter(func(c *Case) *string { return &c.Call.Front }),
	"id":      textSetter(func(c *Case) *string { return &c.Call.ID }),
	"key":     textSetter(func(c *Case) *string { return &c.Call.Key }),
	"partner": numberSetter(func(c *Case) *int { return &c.Call.Partner }),
	"class":   textSetter(func(c *Case) *string { return &c.Call.ClassName }),
	"body":    setBody,
	"in":      addHeader,
	"again":   setResubmitted,
	"left":    durationSetter(func(c *Case) *time.Duration { return &c.Call.TimeLeft }),
	"now":     setNow,
	"status":  setStatus,
	"told":    durationSetter(func(c *Case) *time.Duration { return &c.Call.Answer.RetryAfter }),
	"to":      textSetter(func(c *Case) *string { return &c.Call.Destination }),
	"how":     textSetter(func(c *Case) *string { return &c.Call.Result }),
	"fresh":   setFresh,
}

func textSetter(field func(*Case) *string) func(*Case, string) error {
	return func(c *Case, value string) error {
		*field(c) = value
		return nil
	}
}

func numberSetter(field func(*Case) *int) func(*Case, string) error {
	return func(c *Case, value string) (err error) {
		*field(c), err = strconv.Atoi(value)
		return err
	}
}

func durationSetter(field func(*Case) *time.Duration) func(*Case, string) error {
	return func(c *Case, value string) (err error) {
		*field(c), err = time.ParseDuration(value)
		return err
	}
}

func setPhase(c *Case, value string) error {
	phase, ok := plugin.ParsePhase(value)
	if !ok {
		return &PhaseError{Name: value}
	}
	c.Call.Phase = phase
	return nil
}

func setBody(c *Case, value string) error {
	c.Call.Body = []byte(value)
	return nil
}

func addHeader(c *Case, value string) error {
	name, text, ok := strings.Cut(value, ":")
	if !ok {
		return errHeaderForm
	}
	c.Call.In.Add(textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)), strings.TrimSpace(text))
	return nil
}

func setResubmitted(c *Case, value string) (err error) {
	c.Call.Resubmitted, err = strconv.ParseBool(value)
	return err
}

func setNow(c *Case, value string) (err error) {
	c.Call.Now, err = time.Parse(time.RFC3339Nano, value)
	return err
}

// setStatus sets the status of an answer, and the result that the relay derives from the status.
func setStatus(c *Case, value string) (err error) {
	c.Call.Status, err = strconv.Atoi(value)
	switch status := c.Call.Status; {
	case status == 429 || status == 503:
		c.Call.Answer.Result = control.Throttled
	case status/100 == 2:
		c.Call.Answer.Result = control.Delivered
	default:
		c.Call.Answer.Result = control.Errored
	}
	return err
}

func setFresh(c *Case, _ string) error {
	c.Fresh = true
	return nil
}

// Parse reads a file of cases. Its error is a *LineError, or an error of reading.
func Parse(r io.Reader) ([]Case, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	p := &parser{}
	for number := 1; scanner.Scan(); number++ {
		if err := p.line(number, scanner.Text()); err != nil {
			return nil, &LineError{Line: number, Err: err}
		}
	}
	return p.cases, scanner.Err()
}

// parser parses a file of cases line by line.
type parser struct {
	cases  []Case
	inWant bool // the next lines belong to the last case's Want, not to its keys
}

func (p *parser) line(number int, line string) error {
	text := strings.TrimSpace(line)
	keyword, rest, _ := strings.Cut(text, " ")
	indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
	switch {
	case text == "" || text[0] == '#':
		return nil
	case !indented && keyword == "case":
		p.inWant = false
		p.cases = append(p.cases, New(rest))
		p.last().Line = number
		return nil
	case len(p.cases) == 0:
		return errNoCase
	case !indented && text == "want":
		p.inWant = true
		return nil
	case !indented:
		return errNoKeyword
	case p.inWant:
		p.last().Want = append(p.last().Want, text)
		return nil
	}
	return p.last().Set(keyword, strings.TrimSpace(rest))
}

// last returns the case that is being read.
func (p *parser) last() *Case { return &p.cases[len(p.cases)-1] }
