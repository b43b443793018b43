package simulator

import (
	"fmt"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a time.Duration that TOML files write as text, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Parse reads and validates a world file. Each error names its key.
func Parse(text string) (*World, error) {
	w := Default()
	if err := Decode(text, &w); err != nil {
		return nil, err
	}
	return &w, w.Validate()
}

var tomlErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)`)

// FileError is returned for a key of a TOML file that is unknown or whose value has the wrong type.
type FileError struct {
	Line   string // "": unknown
	Key    string
	Reason string
}

// Error returns the line, the key and the reason.
func (e *FileError) Error() string {
	if e.Line == "" {
		return fmt.Sprintf("key %s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %s, key %s: %s", e.Line, e.Key, e.Reason)
}

// Decode decodes TOML. An unknown key, or a value of the wrong type, is a *FileError.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		if match := tomlErrorPattern.FindStringSubmatch(err.Error()); match != nil { // the library returns most of its errors as plain text
			return &FileError{Line: match[1], Key: match[2], Reason: match[3]}
		}
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return &FileError{Key: unknown[0].String(), Reason: "unknown key"}
	}
	return nil
}
