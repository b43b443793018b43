// Package policy is what a fleet agrees on: the document that operators change on a fleet in service, the phases that each change goes through,
// and which phase follows which. It does no I/O, reads no clock and starts no goroutine; its types aren't safe for concurrent use.
package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// Format is the newest format of documents that this version understands.
	Format = 1
	// MaxDocumentBytes is the maximum size of a document, in bytes: a datagram must carry it with all else.
	MaxDocumentBytes = 16 << 10

	minLimit = 0.01 // calls a second: one in 100 s
)

// Document is what operators change on a fleet in service. What it does not name stays as each relay's own configuration has it. The JSON keys are
// the operators' words.
type Document struct {
	Format   int                `json:"format"`
	Classes  map[string]Class   `json:"classes,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
	Partners map[string]Partner `json:"partners,omitempty"` // by number
	Accept   []string           `json:"accept,omitempty"`   // relays that accept new messages; empty: all
	Plugins  map[string]Plugin  `json:"plugins,omitempty"`  // by name
	Stamp    bool               `json:"stamp,omitempty"`    // calls carry the version that they are made under, in X-Policy-Version
}

// Class is what changes of a class of messages.
type Class struct {
	Value    *float64 `json:"worth,omitempty"`    // of a message that is in time; nil: unchanged
	Attempts int      `json:"attempts,omitempty"` // attempts that a message may have; 0: what the settings allow
}

// Tenant is what changes of a tenant.
type Tenant struct {
	Quota float64 `json:"quota_per_s"` // messages a second within its share, over all relays
}

// Partner is what changes of a partner.
type Partner struct {
	Shut  bool    `json:"shut,omitempty"`        // nothing is accepted for it and nothing is sent to it
	Limit float64 `json:"limit_per_s,omitempty"` // calls a second that all relays together may make to it; 0: the operator sets no limit
}

// Plugin is what changes of a plug-in. In JSON a string in place of the object is the module alone.
type Plugin struct {
	Module   string          `json:"sha256,omitempty"`   // SHA-256 in hex of the module that each relay must run; empty: whichever it runs
	Settings json.RawMessage `json:"settings,omitempty"` // the plug-in's configuration; empty: as in the relay's own
}

// UnmarshalJSON decodes either form; an unknown key is an error.
func (p *Plugin) UnmarshalJSON(text []byte) error {
	if len(text) > 0 && text[0] == '"' {
		return json.Unmarshal(text, &p.Module)
	}
	type plain Plugin
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields() // the outer decoder's option does not apply here
	return decoder.Decode((*plain)(p))
}

// Terms is what one relay can apply: what its settings and plug-ins permit.
type Terms struct {
	Relays      []string          // names, of the fleet's roster
	Classes     []string          // names
	MaxAttempts int               // that the settings allow a message
	Tenants     []string          // names
	Plugins     map[string]string // SHA-256 of each that runs, by name
}

// KeyError names the key that is at fault, of a document or of the relay's configuration (package config).
type KeyError struct {
	Source string // what the key belongs to, by its package: "policy" or "config"
	Key    string // the path, such as classes.match-event.attempts, or "(whole file)"
	Reason string
}

// Error returns source, key and reason, as in "policy: key format: missing".
func (e *KeyError) Error() string { return fmt.Sprintf("%s: key %s: %s", e.Source, e.Key, e.Reason) }

// keyError returns the error of a document's key.
func keyError(key, reason string) error {
	return &KeyError{Source: "policy", Key: key, Reason: reason}
}

// Parse decodes a document and checks all that does not depend on a relay's terms. Its error is a *KeyError.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, keyError("(whole file)", fmt.Sprintf("%d bytes, want %d at most", len(text), MaxDocumentBytes))
	}
	var head struct {
		Format *int `json:"format"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, keyError("(whole file)", err.Error())
	}
	if head.Format == nil {
		return nil, keyError("format", "missing")
	}
	if *head.Format < 1 || *head.Format > Format {
		return nil, keyError("format", fmt.Sprintf("%d is not known here, want 1 to %d", *head.Format, Format))
	}
	d := &Document{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, keyError(typeError.Field, "want "+typeError.Type.String()+", not a "+typeError.Value)
		}
		return nil, keyError("(whole file)", err.Error())
	}
	return d, d.check()
}

// check returns a *KeyError for the first key, in their order, whose value no relay can apply.
func (d *Document) check() error {
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		class, key := d.Classes[name], "classes."+name
		if class.Value != nil && !(*class.Value >= 0 && *class.Value <= 1e9) {
			return keyError(key+".worth", "want a number from 0 to 1e9")
		}
		if class.Attempts < 0 || class.Attempts > 1000 {
			return keyError(key+".attempts", "want 1 to 1000")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		if quota := d.Tenants[name].Quota; !(quota >= 0 && quota <= 1e9) {
			return keyError("tenants."+name+".quota_per_s", "want a number from 0 to 1e9")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Partners)) {
		if n, err := strconv.ParseUint(name, 10, 16); err != nil || strconv.FormatUint(n, 10) != name {
			return keyError("partners."+name, "want a partner's number")
		}
		if limit := d.Partners[name].Limit; limit != 0 && !(limit >= minLimit && limit <= 1e6) {
			return keyError("partners."+name+".limit_per_s", fmt.Sprintf("want %g to 1e6; shut takes all", minLimit))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Plugins)) {
		plugin := d.Plugins[name]
		if digest, err := hex.DecodeString(plugin.Module); plugin.Module != "" && (err != nil || len(digest) != sha256.Size) {
			return keyError("plugins."+name, "want a SHA-256 in hex")
		}
		if plugin.Module == "" && len(plugin.Settings) == 0 {
			return keyError("plugins."+name, "want sha256, settings or both")
		}
	}
	return nil
}

// Applies returns why a relay of these terms can't apply the document, as a *KeyError; nil: it can.
func (d *Document) Applies(t *Terms) error {
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		if !slices.Contains(t.Classes, name) {
			return keyError("classes."+name, "no class of that name")
		}
		if n := d.Classes[name].Attempts; n > t.MaxAttempts {
			return keyError("classes."+name+".attempts", fmt.Sprintf("%d, and the settings allow %d", n, t.MaxAttempts))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		if !slices.Contains(t.Tenants, name) {
			return keyError("tenants."+name, "no tenant of that name")
		}
	}
	for i, name := range d.Accept {
		if !slices.Contains(t.Relays, name) {
			return keyError(fmt.Sprintf("accept.%d", i), fmt.Sprintf("no relay is called %q", name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Plugins)) {
		switch running, ok := t.Plugins[name]; {
		case !ok:
			return keyError("plugins."+name, "no plug-in of that name runs here")
		case d.Plugins[name].Module != "" && running != d.Plugins[name].Module:
			return keyError("plugins."+name, "another module runs here, "+running)
		}
	}
	return nil
}

// Takes reports whether a relay accepts new messages.
func (d *Document) Takes(relay string) bool {
	return len(d.Accept) == 0 || slices.Contains(d.Accept, relay)
}

// Shut reports whether operators have shut a partner.
func (d *Document) Shut(partner int) bool { return d.Partners[strconv.Itoa(partner)].Shut }

// Digest returns a hash of a document's text, by which relays compare what they have in force.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }
