package capture

import (
	"fmt"
	"slices"
	"time"
)

// Mandate is what the fleet permits its relay to do.
type Mandate struct {
	Version  uint64             `cbor:"1,keyasint,omitempty"`  // of the policy in force; 0: the relay's own configuration file
	Until    time.Duration      `cbor:"2,keyasint,omitempty"`  // the relay may act only before this time; 0: not at all
	Halted   uint64             `cbor:"3,keyasint,omitempty"`  // not 0: the relay does not act, since this version is about to come into force
	Closed   bool               `cbor:"4,keyasint,omitempty"`  // the relay accepts no new messages
	Stamp    bool               `cbor:"5,keyasint,omitempty"`  // attempts carry the version of their policy
	Worth    []float64          `cbor:"6,keyasint,omitempty"`  // value of a message, by class
	Attempts []int              `cbor:"7,keyasint,omitempty"`  // maximum attempts for a message, by class; 0: as in the settings
	Quotas   []float64          `cbor:"8,keyasint,omitempty"`  // by tenant, in messages/s over all relays
	Shut     []int              `cbor:"9,keyasint,omitempty"`  // partners that operators have blocked, sorted
	Most     []PartnerRateLimit `cbor:"10,keyasint,omitempty"` // rate limits of partners, sorted by partner
}

// PartnerRateLimit is a rate limit of a partner, set by operators.
type PartnerRateLimit struct {
	Partner int     `cbor:"1,keyasint,omitempty"`
	Limit   float64 `cbor:"2,keyasint,omitempty"` // calls/s of all relays together
}

// Shuts reports whether operators have blocked a partner. A nil mandate blocks none.
func (m *Mandate) Shuts(partner int) bool {
	return m != nil && slices.Contains(m.Shut, partner)
}

// RateLimitTo returns the rate limit that operators have set for a partner; 0: none.
func (m *Mandate) RateLimitTo(partner int) float64 {
	if m == nil {
		return 0
	}
	if i := slices.IndexFunc(m.Most, func(l PartnerRateLimit) bool { return l.Partner == partner }); i >= 0 {
		return m.Most[i].Limit
	}
	return 0
}

// String returns all fields, for comparisons of printed states.
func (m *Mandate) String() string {
	if m == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *m)
}
