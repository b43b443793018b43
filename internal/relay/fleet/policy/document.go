// Package policy has the replicated state of a fleet: the document that operators change while the fleet is in service, and the phases of
// each change. It does no I/O, reads no clock and starts no goroutine; its types aren't safe for concurrent use.
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
	// MaxDocumentBytes is the maximum size of a document, in bytes: it must fit into a datagram with the rest of a message.
	MaxDocumentBytes = 16 << 10

	minLimit = 0.01 // calls/s: one in 100 s
)

// Document has the settings that operators change while the fleet is in service. For those that it does not have, each relay's own
// configuration applies. The JSON keys are part of the operators' interface.
type Document struct {
	Format   int                `json:"format"`
	Classes  map[string]Class   `json:"classes,omitempty"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
	Partners map[string]Partner `json:"partners,omitempty"` // by number
	Accept   []string           `json:"accept,omitempty"`   // names of the relays that accept new messages; empty: all
	Plugins  map[string]Plugin  `json:"plugins,omitempty"`  // by name
	Stamp    bool               `json:"stamp,omitempty"`    // calls carry the policy's version in the header X-Policy-Version
}

// Class has the settings of a class of messages.
type Class struct {
	Value    *float64 `json:"worth,omitempty"`    // of a message that is delivered in time; nil: unchanged
	Attempts int      `json:"attempts,omitempty"` // maximum attempts for a message; 0: as many as the settings allow
}

// Tenant has the settings of a tenant.
type Tenant struct {
	Quota float64 `json:"quota_per_s"` // messages/s that the tenant may send, over all relays
}

// Partner has the settings of a partner.
type Partner struct {
	Shut  bool    `json:"shut,omitempty"`        // no messages are accepted for it, and none are sent to it
	Limit float64 `json:"limit_per_s,omitempty"` // calls/s to it from all relays together; 0: no limit by the operator
}

// Plugin has the settings of a plug-in. In JSON, a string instead of the object sets Module only.
type Plugin struct {
	Module   string          `json:"sha256,omitempty"`   // SHA-256 in hex of the module that each relay must run; empty: any
	Settings json.RawMessage `json:"settings,omitempty"` // the plug-in's configuration; empty: that of the relay's own configuration
}

// UnmarshalJSON decodes an object or a string. An unknown key is an error.
func (p *Plugin) UnmarshalJSON(text []byte) error {
	if len(text) > 0 && text[0] == '"' {
		return json.Unmarshal(text, &p.Module)
	}
	type plain Plugin
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields() // the option of the outer decoder does not apply here
	return decoder.Decode((*plain)(p))
}

// Terms is what a relay's settings and plug-ins permit in a document.
type Terms struct {
	Relays      []string          // names in the fleet's roster
	Classes     []string          // names
	MaxAttempts int               // maximum that the settings allow for a message
	Tenants     []string          // names
	Plugins     map[string]string // SHA-256 in hex of the running plug-ins, by name
}

// KeyError is an error in the value of a key, in a document or in a relay's configuration (package config).
type KeyError struct {
	Source string // where the key is: "policy" or "config"
	Key    string // the path, such as classes.match-event.attempts, or "(whole file)"
	Reason string
}

// Error returns source, key and reason, as in "policy: key format: missing".
func (e *KeyError) Error() string { return fmt.Sprintf("%s: key %s: %s", e.Source, e.Key, e.Reason) }

// keyError returns a KeyError for a document.
func keyError(key, reason string) error {
	return &KeyError{Source: "policy", Key: key, Reason: reason}
}

// Parse decodes a document and checks everything that does not depend on a relay's terms. Its error is a *KeyError.
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

// check returns a *KeyError for the first key, in order, whose value is invalid for every relay.
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
			return keyError("partners."+name+".limit_per_s", fmt.Sprintf("want %g to 1e6; to stop all calls set shut", minLimit))
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

// CheckTerms returns a *KeyError for the first key that a relay with these terms can't apply; nil: it can apply the document.
func (d *Document) CheckTerms(t *Terms) error {
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

// AcceptsMessages reports whether a relay accepts new messages.
func (d *Document) AcceptsMessages(relay string) bool {
	return len(d.Accept) == 0 || slices.Contains(d.Accept, relay)
}

// Shut reports whether the document shuts a partner.
func (d *Document) Shut(partner int) bool { return d.Partners[strconv.Itoa(partner)].Shut }

// Digest returns a hash of a document's text, with which relays compare their policies.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }
