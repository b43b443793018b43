package engine

import "time"

// housekeepingInterval is the minimum time between two runs of housekeep.
const housekeepingInterval = time.Second

// housekeep closes idle connections that have grown old and forgets destinations that have long left the list, once a second at most.
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

// forgetRemoved drops the destinations that left the list so long ago that no message can still be in flight there. The order in which it
// walks the maps does not matter.
func (c *Core) forgetRemoved(now time.Time) {
	for number, d := range c.destinations {
		if !d.removedAt.IsZero() && now.Sub(d.removedAt) > c.forgetAfter {
			delete(c.destinations, number)
			if d.front.listed[d.Name] == number {
				delete(d.front.listed, d.Name)
			}
		}
	}
	for name, number := range c.destinationNumbers { // some are only in the journal
		if c.destinations[number] == nil {
			delete(c.destinationNumbers, name)
		}
	}
}
