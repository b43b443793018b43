package quota

import (
	"maps"
	"slices"
	"time"
)

// available is how much of a key may be leased to a relay in all, in units.
func (l *Allocator) available(relay *relayState, key Key, now time.Duration) int64 {
	if !l.allReported(now) {
		return relay.bound[key] // others may hold the rest
	}
	return max(0, unitsPerLimit-l.minimumSum-l.leased[key]+relay.bound[key])
}

// Grant returns the answer to a relay's request that arrived at came, which HandleRequest has taken. It lasts for as long as the relay's own
// lease that the answer renews; nil: the relay is not known, or that would have expired already.
func (l *Allocator) Grant(now, came time.Duration, name string) *Grant {
	l.split(now)
	relay, until := l.relays[name], came+l.options.LeaseDuration
	if relay == nil || until <= now {
		return nil
	}
	l.updateBound(relay, now)
	grant := &Grant{Term: l.term}
	if !relay.reported {
		grant.ReportLeased = true
		return grant
	}
	last := lease{}
	if n := len(relay.leases); n > 0 {
		last = relay.leases[n-1]
	}
	next := l.nextLease(now, relay)
	if last.number == 0 || l.differsEnough(&last, &next) {
		relay.lastLease++
		next.number, next.expires = relay.lastLease, until
		relay.leases = append(relay.leases, next)
		if len(relay.leases) > maxUnconfirmedLeases { // it confirms none of them: a new one waits until these have expired
			relay.leases = relay.leases[:maxUnconfirmedLeases]
			grant.LeaseNumber = 0
			return grant
		}
		last = next
	}
	for i := range relay.leases {
		if lease := &relay.leases[i]; lease.number == last.number {
			lease.expires = max(lease.expires, until)
		}
	}
	l.updateBound(relay, now)
	if grant.LeaseNumber = last.number; relay.confirmedLease != last.number || now-relay.sharesSentAt >= resendInterval || relay.verdictChanged {
		relay.sharesSentAt, relay.verdictChanged = now, false
		grant.HasShares, grant.Minimum, grant.Shares = true, toFloat16(toShare(last.minimum)), EncodeKeyShares(l.keyShares(now, relay, &last))
	}
	return grant
}

// maxUnconfirmedLeases bounds the leases that one relay has not confirmed: each of them still counts as leased to it.
const maxUnconfirmedLeases = 8

// keyShares are the shares of a lease, with the newest that the fleet knows of each key.
func (l *Allocator) keyShares(now time.Duration, relay *relayState, lease *lease) (all []KeyShare) {
	for _, key := range slices.Sorted(maps.Keys(relay.demands)) {
		share := l.keyShare(now, relay, key)
		share.Extra = toShare(lease.shares[key])
		all = append(all, share)
	}
	return all
}

// nextLease is what would be leased to a relay now.
func (l *Allocator) nextLease(now time.Duration, relay *relayState) lease {
	next := lease{shares: map[Key]int64{}}
	if next.minimum = l.minimumPerRelay(); next.minimum > relay.minimum { // a guaranteed minimum is leased like all else
		available := int64(0)
		if l.allReported(now) {
			available = max(0, unitsPerLimit-l.minimumSum-l.maxLeased())
		}
		next.minimum = rounded(relay.minimum + min(next.minimum-relay.minimum, available))
	}
	if relay.demands == nil && relay.demandsAt == 0 { // its demands are not known yet: it keeps what it has
		maps.Copy(next.shares, relay.bound)
	}
	for key := range relay.demands {
		next.shares[key] = rounded(min(relay.target[key], max(0, l.available(relay, key, now)-max(0, next.minimum-relay.minimum))))
	}
	return next
}

// rounded is a share as it arrives after it was encoded, in units.
func rounded(units int64) int64 { return toUnits(RoundToWire(toShare(units))) }

// maxLeased is the largest sum of leased shares of any key, in units.
func (l *Allocator) maxLeased() (largest int64) {
	for _, units := range l.leased {
		largest = max(largest, units)
	}
	return largest
}

// differsEnough reports whether a lease differs enough from the last one to be sent; see growThreshold and shrinkThreshold.
func (l *Allocator) differsEnough(last, next *lease) bool {
	if last.minimum != next.minimum {
		return true
	}
	for key, units := range next.shares {
		former := last.shares[key]
		if float64(units-former) > growThreshold*float64(former) || float64(former-units) > shrinkThreshold*float64(former) {
			return true
		}
	}
	for key, former := range last.shares {
		if _, ok := next.shares[key]; !ok && former > 0 {
			return true
		}
	}
	return false
}
