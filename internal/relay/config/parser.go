package config

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/fleet/policy"
)

// NewKeyError returns a *policy.KeyError for an invalid key of the configuration.
func NewKeyError(key, reason string) error {
	return &policy.KeyError{Source: "config", Key: key, Reason: reason}
}

// parser reads the values of keys, given by path, and keeps the first error.
type parser struct {
	root gjson.Result
	err  error
}

// fail sets the error, unless there is one already.
func (p *parser) fail(key, why string) {
	if p.err == nil {
		p.err = NewKeyError(key, why)
	}
}

func (p *parser) require(key string, ok bool, why string) {
	if !ok {
		p.fail(key, why)
	}
}

func (p *parser) text(key, def string) string {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	p.require(key, v.Type == gjson.String, "want a string")
	return v.String()
}

// required returns a text that must not be missing or empty.
func (p *parser) required(key string) string {
	v := p.text(key, "")
	p.require(key, v != "", "missing or empty")
	return v
}

func (p *parser) url(key string) string {
	v := p.required(key)
	p.require(key, strings.HasPrefix(v, "http://"), "want a URL with http://")
	return v
}

func (p *parser) ip(key string) net.IP {
	ip := net.ParseIP(p.required(key))
	p.require(key, ip != nil, "want an IP address")
	return ip
}

func (p *parser) flag(key string, def bool) bool {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	p.require(key, v.IsBool(), "want true or false")
	return v.Bool()
}

// number returns a number from lowest to highest. A default below lowest means that the key must be present.
func (p *parser) number(key string, def, lowest, highest float64) float64 {
	v := p.root.Get(key)
	if !v.Exists() {
		p.require(key, def >= lowest, "missing")
		return def
	}
	p.require(key, v.Type == gjson.Number && v.Num >= lowest && v.Num <= highest,
		fmt.Sprintf("want a number from %v to %v", lowest, highest))
	return v.Num
}

func (p *parser) duration(key string, def time.Duration) time.Duration {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	d, err := time.ParseDuration(v.String())
	p.require(key, err == nil && d > 0, `want a duration such as "250ms"`)
	return d
}

// each calls do with the path of each element of a list.
func (p *parser) each(key string, do func(path string)) {
	v := p.root.Get(key)
	p.require(key, !v.Exists() || v.IsArray(), "want a list")
	for i := range v.Array() {
		do(fmt.Sprintf("%s.%d", key, i))
	}
}

// maxNameBytes limits names in the configuration.
const maxNameBytes = 64

// isName reports whether a text is a name: 1 to maxNameBytes letters, digits or characters of punctuation.
func isName(text, punctuation string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(punctuation, r))
	})
}
