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

// Decode decodes TOML. Errors name line and key; an unknown key is an error.
func Decode(text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		if at := lastKey.FindStringSubmatch(err.Error()); at != nil { // most of the library's errors have no type
			return fmt.Errorf("line %s, key %s: %s", at[1], at[2], at[3])
		}
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("key %s: not known", unknown[0])
	}
	return nil
}
