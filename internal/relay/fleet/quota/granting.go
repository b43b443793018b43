package quota

import (
	"maps"
	"slices"
	"time"
)

// available returns the maximum of a key that may be leased to a relay now, in units.
func (l *Allocator) available(relay *relayState, key Key, now time.Duration) int64 {
	if !l.allReported(now) {
		return relay.bound[key] // other relays may have leases on the rest
	}
	return max(0, unitsPerLimit-l.minimumSum-l.leased[key]+relay.bound[key])
}

// Grant returns the answer to a relay's request that arrived at arrivedAt and was passed to HandleRequest. The grant is valid for as long
// as the relay lease that is renewed with it. It is nil if the relay is unknown or that lease would have expired already.
func (l *Allocator) Grant(now, arrivedAt time.Duration, name string) *Grant {
	l.split(now)
	relay, until := l.relays[name], arrivedAt+l.options.LeaseDuration
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
		if len(relay.leases) > maxUnconfirmedLeases { // the relay confirms none of them: no new lease until these have expired
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

// maxUnconfirmedLeases bounds the leases that a relay has not confirmed, since each of them counts for the relay's bound.
const maxUnconfirmedLeases = 8

// keyShares returns the shares of a lease, with the fleet's newest limits, verdicts and waits of the keys.
func (l *Allocator) keyShares(now time.Duration, relay *relayState, lease *lease) (all []KeyShare) {
	for _, key := range slices.Sorted(maps.Keys(relay.demands)) {
		share := l.keyShare(now, relay, key)
		share.Extra = toShare(lease.shares[key])
		all = append(all, share)
	}
	return all
}

// nextLease returns the lease that a relay would get now.
func (l *Allocator) nextLease(now time.Duration, relay *relayState) lease {
	next := lease{shares: map[Key]int64{}}
	if next.minimum = l.minimumPerRelay(); next.minimum > relay.minimum { // an increase of the guaranteed minimum needs free units as well
		available := int64(0)
		if l.allReported(now) {
			available = max(0, unitsPerLimit-l.minimumSum-l.maxLeased())
		}
		next.minimum = roundUnits(relay.minimum + min(next.minimum-relay.minimum, available))
	}
	if relay.demands == nil && relay.demandsAt == 0 { // its demands are unknown: it keeps its shares
		maps.Copy(next.shares, relay.bound)
	}
	for key := range relay.demands {
		next.shares[key] = roundUnits(min(relay.target[key], max(0, l.available(relay, key, now)-max(0, next.minimum-relay.minimum))))
	}
	return next
}

// roundUnits returns a share after encoding and decoding, in units.
func roundUnits(units int64) int64 { return toUnits(RoundToWire(toShare(units))) }

// maxLeased returns the maximum of leased units over all keys.
func (l *Allocator) maxLeased() (largest int64) {
	for _, units := range l.leased {
		largest = max(largest, units)
	}
	return largest
}

// differsEnough reports whether a lease differs enough from the last one to replace it; see growThreshold and shrinkThreshold.
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
