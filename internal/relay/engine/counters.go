package engine

import "strconv"

// counters are what a core has counted since its start, by class, tenant and partner. There is nothing in them that a journal holds:
// what was taken on before a restart was counted then, its end is counted where it comes about.
type counters map[string]uint64

// MaxCountedPartners bounds the partners that are counted apart, by number; those beyond count together.
const MaxCountedPartners = 10

// The things that are counted. An end is what tell names it.
const (
	countTaken   = "taken"
	countRefused = "refused"
	countRepeats = "repeats"
)

// CounterNames are all of them.
var CounterNames = []string{countTaken, countRefused, countRepeats, "delivered", "handed_back", "given_up", "withdrawn"}

func (c *Core) count(class, tenant, partner int, what string) {
	if c.counters == nil {
		return
	}
	if class >= 0 && class < len(c.settings.Classes) {
		c.counters["class "+c.settings.Classes[class].Name+" "+what]++
	}
	if tenant >= 0 && tenant < len(c.settings.TenantNames) {
		c.counters["tenant "+c.settings.TenantNames[tenant]+" "+what]++
	}
	name := "others"
	if partner >= 0 && partner < MaxCountedPartners {
		name = strconv.Itoa(partner)
	}
	c.counters["partner "+name+" "+what]++
}
