package quota

import (
	"maps"
	"slices"
	"time"
)

// available is how much of a key may be leased to a relay in all.
func (l *Allocator) available(relay *relayState, k Key, now time.Duration) int64 {
	if !l.allReported(now) {
		return relay.bound[k] // others may hold the rest
	}
	return max(0, wholeLimit-l.minimumSum-l.leased[k]+relay.bound[k])
}

// Grant answers a relay's request that arrived at came. It holds for as long as the relay's lease that the answer renews; nil:
// that would be over already.
func (l *Allocator) Grant(now, came time.Duration, name string) *Grant {
	l.split(now)
	relay, until := l.relays[name], came+l.options.LeaseDuration
	if relay == nil || until <= now {
		return nil
	}
	l.updateBound(relay, now)
	a := &Grant{Term: l.term}
	if !relay.reported {
		a.ReportLeased = true
		return a
	}
	last := lease{}
	if n := len(relay.leases); n > 0 {
		last = relay.leases[n-1]
	}
	next := l.nextLease(now, relay)
	if last.number == 0 || l.worthSending(&last, &next) {
		relay.lastLease++
		next.number, next.expires = relay.lastLease, until
		relay.leases = append(relay.leases, next)
		if len(relay.leases) > maxUnconfirmedLeases { // it confirms none: a new one waits until these have expired
			relay.leases = relay.leases[:maxUnconfirmedLeases]
			a.LeaseNumber = 0
			return a
		}
		last = next
	}
	for i := range relay.leases {
		if o := &relay.leases[i]; o.number == last.number {
			o.expires = max(o.expires, until)
		}
	}
	l.updateBound(relay, now)
	if a.LeaseNumber = last.number; relay.confirmedLease != last.number || now-relay.sharesSentAt >= resendInterval || relay.verdictChanged {
		relay.sharesSentAt, relay.verdictChanged = now, false
		a.HasShares, a.Minimum, a.Shares = true, toFloat16(float64(last.minimum)/float64(wholeLimit)), EncodeKeyShares(l.keyShares(now, relay, &last))
	}
	return a
}

// maxUnconfirmedLeases bounds the leases of one relay that it has not confirmed.
const maxUnconfirmedLeases = 8

// keyShares is a lease's shares with the newest verdict on all else.
func (l *Allocator) keyShares(now time.Duration, relay *relayState, o *lease) (all []KeyShare) {
	for _, k := range slices.Sorted(maps.Keys(relay.demands)) {
		p := l.keyShare(now, relay, k)
		p.Extra = float64(o.shares[k]) / float64(wholeLimit)
		all = append(all, p)
	}
	return all
}

// nextLease is what would be leased to a relay now.
func (l *Allocator) nextLease(now time.Duration, relay *relayState) lease {
	o := lease{shares: map[Key]int64{}}
	if o.minimum = l.minimumPerRelay(); o.minimum > relay.minimum { // a guaranteed minimum is leased like all else
		room := int64(0)
		if l.allReported(now) {
			room = max(0, wholeLimit-l.minimumSum-l.maxLeased())
		}
		o.minimum = rounded(relay.minimum + min(o.minimum-relay.minimum, room))
	}
	if relay.demands == nil && relay.demandsAt == 0 { // its demands are not known yet: it keeps what it has
		maps.Copy(o.shares, relay.bound)
	}
	for k := range relay.demands {
		o.shares[k] = rounded(min(relay.target[k], max(0, l.available(relay, k, now)-max(0, o.minimum-relay.minimum))))
	}
	return o
}

// rounded is a share as the wire carries it, in units.
func rounded(g int64) int64 { return toUnits(RoundToWire(float64(g) / float64(wholeLimit))) }

// maxLeased is the largest sum of leased shares of any key, in units.
func (l *Allocator) maxLeased() (most int64) {
	for _, g := range l.leased {
		most = max(most, g)
	}
	return most
}

// worthSending tells whether a lease differs enough from the last one to be sent.
func (l *Allocator) worthSending(was, is *lease) bool {
	if was.minimum != is.minimum {
		return true
	}
	for k, g := range is.shares {
		w := was.shares[k]
		if float64(g-w) > growThreshold*float64(w) || float64(w-g) > shrinkThreshold*float64(w) {
			return true
		}
	}
	for k, w := range was.shares {
		if _, ok := is.shares[k]; !ok && w > 0 {
			return true
		}
	}
	return false
}
