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

// maxEndpoints bounds the endpoints of all partners together.
const maxEndpoints = 1_000_000

// KeyError is returned for a value of a world's file that is out of range.
type KeyError struct {
	Key  string // as the file names it, such as "partner[0].queue"
	Want string // what would be accepted
}

// Error names the key and what it wants.
func (e *KeyError) Error() string { return fmt.Sprintf("key %s: want %s", e.Key, e.Want) }

// keyErrors collects errors of keys, in the order of the checks.
type keyErrors []error

// need records that key must be what want says, unless ok.
func (k *keyErrors) need(key string, ok bool, want string) {
	if !ok {
		*k = append(*k, &KeyError{Key: key, Want: want})
	}
}

// Validate fills in the defaults of what a class, partner or fault leaves out. It returns a KeyError for each key that is out of
// range, joined.
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
	errs.need("partner", total <= maxEndpoints, "a million endpoints in all at most")
	for i := range w.Faults {
		w.Faults[i].validate(&errs, fmt.Sprintf("trouble[%d].", i), w.Partners)
	}
	return errors.Join(errs...)
}

// defaultClasses are those of a world that names none.
func defaultClasses() []Class {
	return []Class{{Name: "event", Effect: "keyed", Weight: 2, LatencyTarget: Duration(3 * time.Second), Deadline: Duration(16 * time.Second), DedupWindow: Duration(4 * time.Second), Value: 1},
		{Name: "state", Effect: "safe", Weight: 1, LatencyTarget: Duration(2 * time.Second), Deadline: Duration(24 * time.Second), Value: 3}}
}

// validateEnvironment checks the keys that stand in no list.
func (w *World) validateEnvironment(errs *keyErrors) {
	errs.need("length", w.Length > 0, "a time above 0")
	errs.need("relays", w.Relays > 0 && w.Relays <= 1000, "1 to 1,000")
	errs.need("rate", w.Rate > 0 && w.Rate <= 1e7, "above 0, up to 10,000,000")
	errs.need("round", w.TurnInterval > 0, "a time above 0")
	errs.need("slots", w.Slots > 0, "1 or more")
	errs.need("uneven", w.Skew >= 0 && w.Skew <= 1e6, "0 to 1,000,000")
	errs.need("shift", w.SkewRotation >= 0, "no time below 0")
	errs.need("max_attempts", w.MaxAttempts > 0, "1 or more")
	errs.need("net.zones", w.Net.Zones > 0, "1 or more")
	errs.need("net.jitter", w.Net.Jitter >= 0 && w.Net.Jitter < 1, "0 up to below 1")
	errs.need("net.same", w.Net.Same >= 0, "no time below 0")
	errs.need("net.cross", w.Net.Cross >= 0, "no time below 0")
	errs.need("clients.tries", w.Clients.MaxAttempts > 0, "1 or more")
	errs.need("clients.heed", w.Clients.RetryAfterCompliance >= 0 && w.Clients.RetryAfterCompliance <= 1, "0 to 1")
	errs.need("list_delay", w.ListDelay >= 0, "no time below 0")
	errs.need("partner", len(w.Partners) > 0, "one group of partners at least")
}

func (c *Class) validate(errs *keyErrors, prefix string) {
	c.Weight, c.Value = cmp.Or(c.Weight, 1), cmp.Or(c.Value, 1)
	errs.need(prefix+"effect", slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect), "safe, keyed or unsafe")
	errs.need(prefix+"aim", c.LatencyTarget > 0, "a time above 0")
	errs.need(prefix+"deadline", c.Deadline >= c.LatencyTarget, "a time no shorter than the aim")
	errs.need(prefix+"share", c.Weight > 0, "a weight above 0")
	errs.need(prefix+"window", c.Effect != "keyed" || c.DedupWindow > 0, "a time above 0 for a keyed class")
}

func (p *Partner) validate(errs *keyErrors, prefix string) {
	p.Count, p.Endpoints, p.Weight, p.Workers = max(p.Count, 1), max(p.Endpoints, 1), cmp.Or(p.Weight, 1), max(p.Workers, 1)
	if p.Median == 0 {
		p.Median = Duration(80 * time.Millisecond)
	}
	if p.Burst == 0 {
		p.Burst = Duration(time.Second)
	}
	errs.need(prefix+"name", p.Name != "", "a name")
	errs.need(prefix+"median", p.Median > 0, "a time above 0")
	errs.need(prefix+"spread", p.Spread >= 0 && p.Spread < 4, "0 up to below 4")
	errs.need(prefix+"tail", p.TailShare >= 0 && p.TailShare <= 1, "0 to 1")
	errs.need(prefix+"queue", p.QueueCapacity >= 0, "0 or more")
	errs.need(prefix+"limit", p.RateLimit >= 0, "0 or more")
	errs.need(prefix+"burst", p.Burst > 0, "a time above 0")
	errs.need(prefix+"debt", p.MaxDebt >= 0, "no time below 0")
}

func (f *Fault) validate(errs *keyErrors, prefix string, partners []Partner) {
	f.Share = cmp.Or(f.Share, 1)
	known := f.Partners == "" || slices.ContainsFunc(partners, func(p Partner) bool { return p.Name == f.Partners })
	needsFactor := f.Kind == FaultSlow || f.Kind == FaultTrafficSurge || f.Kind == FaultLowerLimit
	errs.need(prefix+"kind", slices.Contains(faultKinds, f.Kind), "one of "+strings.Join(faultKinds, ", "))
	errs.need(prefix+"partners", known, "the name of a group of partners")
	errs.need(prefix+"for", f.Length > 0, "a time above 0")
	errs.need(prefix+"at", f.At >= 0, "no time below 0")
	errs.need(prefix+"share", f.Share > 0 && f.Share <= 1, "above 0 up to 1")
	errs.need(prefix+"every", f.FlapPeriod >= 0, "no time below 0")
	errs.need(prefix+"factor", !needsFactor || f.Factor > 0 && !math.IsInf(f.Factor, 0), "above 0")
}
