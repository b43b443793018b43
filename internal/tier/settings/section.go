package settings

import (
	"fmt"
	"math"
	"net/netip"

	"go.uber.org/multierr"
	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/validation"
)

// presence specifies whether a key must have a value.
type presence bool

const (
	required presence = true
	optional presence = false
)

const missing = "missing"

// section is a mapping in the file. All sections of a file share one list of errors.
type section struct {
	prefix string // path of the section, with a final dot; empty at the top level
	fields map[string]yaml.Node
	errs   *error
}

// newSection decodes a mapping. If that fails, it records an error and returns a section without keys.
func newSection(key, prefix string, node *yaml.Node, errs *error) section {
	decoded := section{prefix: prefix, errs: errs}
	if err := node.Decode(&decoded.fields); err != nil {
		multierr.AppendInto(errs, &validation.FieldError{Field: key, Reason: fmt.Sprintf("is no mapping of keys to values: %v", err)})
	}
	return decoded
}

// fail records an error for a key.
func (s section) fail(key, format string, args ...any) {
	multierr.AppendInto(s.errs, &validation.FieldError{Field: s.prefix + key, Reason: fmt.Sprintf(format, args...)})
}

// lookup returns the node of a key. A key with an empty value counts as missing.
func (s section) lookup(key string, need presence) (*yaml.Node, bool) {
	node, ok := s.fields[key]
	if ok && !isEmpty(&node) {
		return &node, true
	}
	if need == required {
		s.fail(key, missing)
	}
	return nil, false
}

func isEmpty(node *yaml.Node) bool {
	return node.Kind == 0 || node.ShortTag() == "!!null"
}

// inner returns the section of a key. It has no keys if the key is missing.
func (s section) inner(key string) section {
	prefix := s.prefix + key + "."
	node, ok := s.lookup(key, optional)
	if !ok {
		return section{prefix: prefix, errs: s.errs}
	}
	return newSection(s.prefix+key, prefix, node, s.errs)
}

// value decodes the value of a key, and reports whether there is a valid one. kind describes the expected type, for the error.
func value[T any](s section, key string, need presence, kind string) (T, bool) {
	var read, none T
	node, ok := s.lookup(key, need)
	if !ok {
		return none, false
	}
	if err := node.Decode(&read); err != nil {
		s.fail(key, "line %d: is no %s", node.Line, kind)
		return none, false
	}
	return read, true
}

func (s section) text(key string, need presence) string {
	read, ok := value[string](s, key, need, "text")
	if ok && read == "" && need == required {
		s.fail(key, missing)
	}
	return read
}

func (s section) texts(key string) []string {
	read, _ := value[[]string](s, key, optional, "list of texts")
	return read
}

func (s section) boolean(key string) bool {
	read, _ := value[bool](s, key, optional, "true or false")
	return read
}

// ip reads an IP address.
func (s section) ip(key string, need presence) string {
	read := s.text(key, need)
	if read == "" {
		return ""
	}
	if _, err := netip.ParseAddr(read); err != nil {
		s.fail(key, "%q is no IP address", read)
	}
	return read
}

// address reads an IP address with a port.
func (s section) address(key string, need presence) string {
	read := s.text(key, need)
	if read != "" {
		s.checkAddress(key, read)
	}
	return read
}

// addresses reads a list of IP addresses with ports.
func (s section) addresses(key string) []string {
	read := s.texts(key)
	for i, address := range read {
		s.checkAddress(fmt.Sprintf("%s[%d]", key, i), address)
	}
	return read
}

func (s section) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		s.fail(key, "%q is no IP address with a port", address)
	}
}

// number reads a number of at least 0.
func (s section) number(key string) float64 {
	return s.within(key, math.MaxFloat64)
}

// within reads a number from 0 to highest, or 0 if the key is missing or invalid.
func (s section) within(key string, highest float64) float64 {
	read, _ := value[float64](s, key, optional, "number")
	if !isWithin(read, highest) {
		s.fail(key, outOfRange, read, highest)
		return 0
	}
	return read
}

const outOfRange = "%v is not within 0 and %v"

// isWithin reports whether a number lies from 0 to highest; NaN does not.
func isWithin(number, highest float64) bool {
	return number >= 0 && number <= highest
}

// integer reads a number from 0 to highest, and truncates a fraction.
func (s section) integer(key string, highest int64) int64 {
	return int64(s.within(key, float64(highest)))
}
