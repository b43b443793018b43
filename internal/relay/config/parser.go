package config

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/fleet/policy"
)

// NewKeyError returns a *policy.KeyError that names the key of the configuration that is at fault.
func NewKeyError(key, reason string) error {
	return &policy.KeyError{Source: "config", Key: key, Reason: reason}
}

// parser reads keys by path and keeps the first error.
type parser struct {
	root gjson.Result
	err  error
}

// fail notes a fault, unless there was one before.
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

// required is a text that must be there.
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

// number is a number between lowest and highest; one that has no default that is allowed must be there.
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

// each calls do with the key of each entry of a list.
func (p *parser) each(key string, do func(at string)) {
	v := p.root.Get(key)
	p.require(key, !v.Exists() || v.IsArray(), "want a list")
	for i := range v.Array() {
		do(fmt.Sprintf("%s.%d", key, i))
	}
}

// maxNameBytes bounds the names that operators give.
const maxNameBytes = 64

// isName tells whether a text can be a name: letters, digits and the characters of punctuation, maxNameBytes at most.
func isName(text, punctuation string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(punctuation, r))
	})
}
