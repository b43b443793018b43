package engine

import "time"

// housekeepingInterval is the minimum time between two runs of housekeep.
const housekeepingInterval = time.Second

// housekeep closes connections that have been idle for too long and forgets destinations that left the list long ago, at most once per
// housekeepingInterval.
func (c *Core) housekeep(now time.Time) {
	if now.Sub(c.lastHousekeeping) <= housekeepingInterval {
		return
	}
	c.lastHousekeeping = now
	for _, f := range c.frontsInOrder {
		f.Front.CloseIdle(nil)
	}
	c.forgetRemoved(now)
}

// forgetRemoved drops the destinations that left the list so long ago that no message can still be in flight to them. The iteration order
// does not matter.
func (c *Core) forgetRemoved(now time.Time) {
	for number, d := range c.destinations {
		if !d.removedAt.IsZero() && now.Sub(d.removedAt) > c.forgetAfter {
			delete(c.destinations, number)
			if d.front.listed[d.Name] == number {
				delete(d.front.listed, d.Name)
			}
		}
	}
	for name, number := range c.destinationNumbers { // also drops numbers of destinations known only from the journal
		if c.destinations[number] == nil {
			delete(c.destinationNumbers, name)
		}
	}
}
