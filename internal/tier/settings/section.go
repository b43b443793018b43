package settings

import (
	"fmt"
	"math"
	"net/netip"

	"go.uber.org/multierr"
	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/validation"
)

// necessity says whether a key must have a value.
type necessity bool

const (
	required necessity = true
	optional necessity = false
)

const missing = "missing"

// section is one mapping of the file, with the place where its faults are gathered.
type section struct {
	prefix string // path of its keys, ending in a dot; empty at the top
	fields map[string]yaml.Node
	errs   *error
}

// newSection reads a mapping; one that can't be read is a fault, and has no keys.
func newSection(key, prefix string, node *yaml.Node, faults *error) section {
	read := section{prefix: prefix, errs: faults}
	if err := node.Decode(&read.fields); err != nil {
		multierr.AppendInto(faults, &validation.FieldError{Field: key, Reason: fmt.Sprintf("is no mapping of keys to values: %v", err)})
	}
	return read
}

func (s section) fail(key, format string, args ...any) {
	multierr.AppendInto(s.errs, &validation.FieldError{Field: s.prefix + key, Reason: fmt.Sprintf(format, args...)})
}

// lookup finds the value of a key; an empty one counts as missing.
func (s section) lookup(key string, needed necessity) (*yaml.Node, bool) {
	node, ok := s.fields[key]
	if ok && !isEmpty(&node) {
		return &node, true
	}
	if needed == required {
		s.fail(key, missing)
	}
	return nil, false
}

func isEmpty(node *yaml.Node) bool {
	return node.Kind == 0 || node.ShortTag() == "!!null"
}

// inner reads a mapping below a key; an absent one has no keys.
func (s section) inner(key string) section {
	prefix := s.prefix + key + "."
	node, ok := s.lookup(key, optional)
	if !ok {
		return section{prefix: prefix, errs: s.errs}
	}
	return newSection(s.prefix+key, prefix, node, s.errs)
}

// value reads what stands under a key, and tells whether there is such a value; kind names what it must be.
func value[T any](s section, key string, needed necessity, kind string) (T, bool) {
	var read, none T
	node, ok := s.lookup(key, needed)
	if !ok {
		return none, false
	}
	if err := node.Decode(&read); err != nil {
		s.fail(key, "line %d: is no %s", node.Line, kind)
		return none, false
	}
	return read, true
}

func (s section) text(key string, needed necessity) string {
	read, ok := value[string](s, key, needed, "text")
	if ok && read == "" && needed == required {
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
func (s section) ip(key string, needed necessity) string {
	read := s.text(key, needed)
	if read == "" {
		return ""
	}
	if _, err := netip.ParseAddr(read); err != nil {
		s.fail(key, "%q is no IP address", read)
	}
	return read
}

// address reads an IP address with a port.
func (s section) address(key string, needed necessity) string {
	read := s.text(key, needed)
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

// number reads a number of 0 or more.
func (s section) number(key string) float64 {
	return s.within(key, math.MaxFloat64)
}

// within reads a number of 0 to highest.
func (s section) within(key string, highest float64) float64 {
	read, _ := value[float64](s, key, optional, "number")
	if !isWithin(read, highest) {
		s.fail(key, outOfRange, read, highest)
		return 0
	}
	return read
}

const outOfRange = "%v is not within 0 and %v"

// isWithin tells whether a number lies within 0 and highest; one that is no number doesn't.
func isWithin(number, highest float64) bool {
	return number >= 0 && number <= highest
}

// integer reads a number of 0 to highest and drops its fraction.
func (s section) integer(key string, highest int64) int64 {
	return int64(s.within(key, float64(highest)))
}
