package simulator

import (
	"fmt"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a time that files write as in "250ms".
type Duration time.Duration

// UnmarshalText parses a time as time.ParseDuration does.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText formats the time as time.Duration does.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Parse reads a world's file. Each error names its key.
func Parse(text string) (*World, error) {
	w := Default()
	if err := Decode(text, &w); err != nil {
		return nil, err
	}
	return &w, w.Validate()
}

var lastKey = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)`)

// FileError is returned for a key of a TOML file that can't be read.
type FileError struct {
	Line   string // "": not known
	Key    string
	Reason string
}

// Error returns line, key and reason.
func (e *FileError) Error() string {
	if e.Line == "" {
		return fmt.Sprintf("key %s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %s, key %s: %s", e.Line, e.Key, e.Reason)
}

// Decode decodes TOML. A key that is not known, or whose value has the wrong type, is a *FileError.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		if at := lastKey.FindStringSubmatch(err.Error()); at != nil { // most of the library's errors have no type
			return &FileError{Line: at[1], Key: at[2], Reason: at[3]}
		}
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return &FileError{Key: unknown[0].String(), Reason: "not known"}
	}
	return nil
}
