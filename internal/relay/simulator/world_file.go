package simulator

import (
	"fmt"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a time in an experiment's file, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a time.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText writes it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Parse reads a world's file. FlapPeriod error names its key.
func Parse(text string) (*World, error) {
	w := Default()
	if err := Decode(text, &w); err != nil {
		return nil, err
	}
	return &w, w.Validate()
}

var lastKey = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)`)

// Decode reads TOML. Errors name line and key; a key that is not known is one.
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
