package engine

import "strconv"

// counters count messages since the process started, by class, tenant and partner. A restart resets them: a message that was accepted
// before it is not counted as accepted again, but its end is counted when it comes.
type counters map[string]uint64

// MaxCountedPartners bounds the partners that are counted individually: partner numbers from it on are counted together, as "others".
const MaxCountedPartners = 10

// Names of the counters other than those of ends.
const (
	countAccepted = "taken"
	countRefused  = "refused"
	countRepeats  = "repeats"
)

// Names of a message's ends in counters and in End.Result.
const (
	endDelivered  = "delivered"
	endHandedBack = "handed_back"
	endGivenUp    = "given_up"
	endWithdrawn  = "withdrawn"
)

// CounterNames lists the names of all counters, without their class, tenant or partner.
var CounterNames = []string{countAccepted, countRefused, countRepeats, endDelivered, endHandedBack, endGivenUp, endWithdrawn}

// count increments the counter what for the message's class, tenant and partner; a class or tenant index outside the settings is skipped.
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
