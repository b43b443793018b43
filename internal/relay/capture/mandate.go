package capture

import (
	"fmt"
	"slices"
	"time"
)

// Mandate is what a fleet lets its relay do.
type Mandate struct {
	Version  uint64             `cbor:"1,keyasint,omitempty"`  // of the policy in force; 0: the relay's own file
	Until    time.Duration      `cbor:"2,keyasint,omitempty"`  // it may act before that only; 0: not at all
	Halted   uint64             `cbor:"3,keyasint,omitempty"`  // it acts on nothing: that version is about to be in force
	Closed   bool               `cbor:"4,keyasint,omitempty"`  // it takes nothing new
	Stamp    bool               `cbor:"5,keyasint,omitempty"`  // attempts tell their version
	Worth    []float64          `cbor:"6,keyasint,omitempty"`  // of all classes
	Attempts []int              `cbor:"7,keyasint,omitempty"`  // that a message may have, by class; 0: what the settings allow
	Quotas   []float64          `cbor:"8,keyasint,omitempty"`  // of all tenants, messages/s over all relays
	Shut     []int              `cbor:"9,keyasint,omitempty"`  // partners, sorted
	Most     []PartnerRateLimit `cbor:"10,keyasint,omitempty"` // sorted by partner
}

// PartnerRateLimit is a limit that operators set by hand.
type PartnerRateLimit struct {
	Partner int     `cbor:"1,keyasint,omitempty"`
	Limit   float64 `cbor:"2,keyasint,omitempty"` // calls/s from all relays together
}

// Shuts tells whether a partner is shut by hand. No mandate shuts none.
func (s *Mandate) Shuts(partner int) bool { return s != nil && slices.Contains(s.Shut, partner) }

// RateLimitTo is the limit of a partner by hand; 0: none.
func (s *Mandate) RateLimitTo(partner int) float64 {
	if s == nil {
		return 0
	}
	if i := slices.IndexFunc(s.Most, func(m PartnerRateLimit) bool { return m.Partner == partner }); i >= 0 {
		return s.Most[i].Limit
	}
	return 0
}

// String tells two stands apart where states are compared by what they print.
func (s *Mandate) String() string {
	if s == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *s)
}
