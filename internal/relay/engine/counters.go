package engine

import "strconv"

// counters are what a core has counted since its start, by class, tenant and partner. There is nothing in them that a journal holds:
// what was accepted before a restart was counted then, its end is counted when it has it.
type counters map[string]uint64

// MaxCountedPartners bounds the partners that are counted by number: those from it on are counted together, as "others".
const MaxCountedPartners = 10

// What is counted beside ends, by its name in counters.
const (
	countTaken   = "taken"
	countRefused = "refused"
	countRepeats = "repeats"
)

// The ends of a message, by their names in counters and in End.Result.
const (
	endDelivered  = "delivered"
	endHandedBack = "handed_back"
	endGivenUp    = "given_up"
	endWithdrawn  = "withdrawn"
)

// CounterNames are the names of all that is counted.
var CounterNames = []string{countTaken, countRefused, countRepeats, endDelivered, endHandedBack, endGivenUp, endWithdrawn}

// count counts one message for its class, tenant and partner; an index that the settings don't have is not counted.
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
