package simulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// maxEndpoints bounds the total number of endpoints of all partners.
const maxEndpoints = 1_000_000

// KeyError is returned for a value of a world file that is out of range.
type KeyError struct {
	Key  string // as in the file, such as "partner[0].queue"
	Want string // the accepted values
}

// Error names the key and the accepted values.
func (e *KeyError) Error() string { return fmt.Sprintf("key %s: want %s", e.Key, e.Want) }

// keyErrors collects KeyErrors, in the order of the checks.
type keyErrors []error

// require adds an error for key, which must be what want says, unless ok.
func (k *keyErrors) require(key string, ok bool, want string) {
	if !ok {
		*k = append(*k, &KeyError{Key: key, Want: want})
	}
}

// Validate sets the defaults of the keys that classes, partners and faults leave out, and checks all values. It returns the KeyErrors of
// the keys that are out of range, joined.
func (w *World) Validate() error {
	if len(w.Classes) == 0 {
		w.Classes = defaultClasses()
	}
	var errs keyErrors
	w.validateEnvironment(&errs)
	for i := range w.Classes {
		w.Classes[i].validate(&errs, fmt.Sprintf("class[%d].", i))
	}
	total := 0
	for i := range w.Partners {
		p := &w.Partners[i]
		p.validate(&errs, fmt.Sprintf("partner[%d].", i))
		total += p.Count * p.Endpoints
	}
	errs.require("partner", total <= maxEndpoints, "at most 1,000,000 endpoints over all partners")
	for i := range w.Faults {
		w.Faults[i].validate(&errs, fmt.Sprintf("trouble[%d].", i), w.Partners)
	}
	return errors.Join(errs...)
}

// defaultClasses returns the classes of a world that defines none.
func defaultClasses() []Class {
	return []Class{{Name: "event", Effect: "keyed", Weight: 2, LatencyTarget: Duration(3 * time.Second), Deadline: Duration(16 * time.Second), DedupWindow: Duration(4 * time.Second), Value: 1},
		{Name: "state", Effect: "safe", Weight: 1, LatencyTarget: Duration(2 * time.Second), Deadline: Duration(24 * time.Second), Value: 3}}
}

// validateEnvironment checks the keys outside the lists of classes, partners and faults.
func (w *World) validateEnvironment(errs *keyErrors) {
	errs.require("length", w.Length > 0, "a duration above 0")
	errs.require("relays", w.Relays > 0 && w.Relays <= 1000, "1 to 1,000")
	errs.require("rate", w.Rate > 0 && w.Rate <= 1e7, "above 0, up to 10,000,000")
	errs.require("round", w.TurnInterval > 0, "a duration above 0")
	errs.require("slots", w.Slots > 0, "1 or more")
	errs.require("uneven", w.Skew >= 0 && w.Skew <= 1e6, "0 to 1,000,000")
	errs.require("shift", w.SkewRotation >= 0, "a duration of 0 or more")
	errs.require("max_attempts", w.MaxAttempts > 0, "1 or more")
	errs.require("net.zones", w.Net.Zones > 0, "1 or more")
	errs.require("net.jitter", w.Net.Jitter >= 0 && w.Net.Jitter < 1, "0 up to below 1")
	errs.require("net.same", w.Net.Same >= 0, "a duration of 0 or more")
	errs.require("net.cross", w.Net.Cross >= 0, "a duration of 0 or more")
	errs.require("clients.tries", w.Clients.MaxAttempts > 0, "1 or more")
	errs.require("clients.heed", w.Clients.RetryAfterCompliance >= 0 && w.Clients.RetryAfterCompliance <= 1, "0 to 1")
	errs.require("list_delay", w.ListDelay >= 0, "a duration of 0 or more")
	errs.require("partner", len(w.Partners) > 0, "at least one group of partners")
}

func (c *Class) validate(errs *keyErrors, prefix string) {
	c.Weight, c.Value = cmp.Or(c.Weight, 1), cmp.Or(c.Value, 1)
	errs.require(prefix+"effect", slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect), "safe, keyed or unsafe")
	errs.require(prefix+"aim", c.LatencyTarget > 0, "a duration above 0")
	errs.require(prefix+"deadline", c.Deadline >= c.LatencyTarget, "a duration not below aim")
	errs.require(prefix+"share", c.Weight > 0, "a weight above 0")
	errs.require(prefix+"window", c.Effect != "keyed" || c.DedupWindow > 0, "a duration above 0 for a keyed class")
}

func (p *Partner) validate(errs *keyErrors, prefix string) {
	p.Count, p.Endpoints, p.Weight, p.Workers = max(p.Count, 1), max(p.Endpoints, 1), cmp.Or(p.Weight, 1), max(p.Workers, 1)
	if p.Median == 0 {
		p.Median = Duration(80 * time.Millisecond)
	}
	if p.Burst == 0 {
		p.Burst = Duration(time.Second)
	}
	errs.require(prefix+"name", p.Name != "", "a non-empty name")
	errs.require(prefix+"median", p.Median > 0, "a duration above 0")
	errs.require(prefix+"spread", p.Spread >= 0 && p.Spread < 4, "0 up to below 4")
	errs.require(prefix+"tail", p.TailShare >= 0 && p.TailShare <= 1, "0 to 1")
	errs.require(prefix+"queue", p.QueueCapacity >= 0, "0 or more")
	errs.require(prefix+"limit", p.RateLimit >= 0, "0 or more")
	errs.require(prefix+"burst", p.Burst > 0, "a duration above 0")
	errs.require(prefix+"debt", p.MaxDebt >= 0, "a duration of 0 or more")
}

func (f *Fault) validate(errs *keyErrors, prefix string, partners []Partner) {
	f.Share = cmp.Or(f.Share, 1)
	known := f.Partners == "" || slices.ContainsFunc(partners, func(p Partner) bool { return p.Name == f.Partners })
	needsFactor := f.Kind == FaultSlow || f.Kind == FaultTrafficSurge || f.Kind == FaultLowerLimit
	errs.require(prefix+"kind", slices.Contains(faultKinds, f.Kind), "one of "+strings.Join(faultKinds, ", "))
	errs.require(prefix+"partners", known, "the name of a group of partners")
	errs.require(prefix+"for", f.Length > 0, "a duration above 0")
	errs.require(prefix+"at", f.At >= 0, "a duration of 0 or more")
	errs.require(prefix+"share", f.Share > 0 && f.Share <= 1, "above 0 up to 1")
	errs.require(prefix+"every", f.FlapPeriod >= 0, "a duration of 0 or more")
	errs.require(prefix+"factor", !needsFactor || f.Factor > 0 && !math.IsInf(f.Factor, 0), "above 0")
}
