package settings

import "time"

// Bounds holds the service-level bounds by their keys in the file; true counts as 1 and false as 0. The methods return each known
// bound with its unit, or its default where the file gives none. The programs go by ConfirmWithin, UnstableExtension, GracePeriod,
// RecoveryWithin and the bounds of bad versions; the others are read for those who operate and test them.
type Bounds map[string]float64

// The keys of the known bounds.
const (
	seedDelayKey         = "seedDelayS"
	reuseAfterKey        = "reuseAfterS"
	stabilizeKey         = "quietMs"
	confirmKey           = "confirmMs"
	catchUpKey           = "catchUpS"
	drainKey             = "drainMs"
	gracePeriodKey       = "graceS"
	slackKey             = "slackMs"
	applyKey             = "applyMs"
	downgradeKey         = "downgradeMs"
	unstableExtensionKey = "stretchMs"
	badVersionShareKey   = "badShare"
	badVersionSlackKey   = "badSlack"
	rollbackKey          = "rollbackMs"
	recoveryKey          = "recoveryS"
	forwardKey           = "pass_ms"
	againKey             = "again_s"
	finishKey            = "finishByS"
	commitKey            = "settleMs"
)

// The highest values accepted.
const (
	maxDuration = 365 * 24 * time.Hour
	maxSeconds  = float64(maxDuration / time.Second)
	maxMs       = float64(maxDuration / time.Millisecond)
	maxShare    = 1.0
	maxRequests = 1e12
)

// boundSpec is the unit, default and maximum of a bound.
type boundSpec struct {
	unit         time.Duration // 0: a number without unit
	defaultValue float64
	max          float64
}

// boundSpecs lists the known bounds. Unknown ones in the file are kept if they are numbers.
var boundSpecs = map[string]boundSpec{
	seedDelayKey:         seconds(3),
	reuseAfterKey:        seconds(2),
	stabilizeKey:         milliseconds(3000),
	confirmKey:           milliseconds(4000),
	catchUpKey:           seconds(4),
	drainKey:             milliseconds(3000),
	gracePeriodKey:       seconds(8),
	slackKey:             milliseconds(200),
	applyKey:             milliseconds(2000),
	downgradeKey:         milliseconds(250),
	unstableExtensionKey: milliseconds(5000),
	badVersionShareKey:   {defaultValue: 0.1, max: maxShare},
	badVersionSlackKey:   {defaultValue: 50, max: maxRequests},
	rollbackKey:          milliseconds(5000),
	recoveryKey:          seconds(12),
	forwardKey:           milliseconds(120),
	againKey:             seconds(0),
	finishKey:            seconds(10),
	commitKey:            milliseconds(1000),
}

func seconds(defaultValue float64) boundSpec {
	return boundSpec{unit: time.Second, defaultValue: defaultValue, max: maxSeconds}
}

func milliseconds(defaultValue float64) boundSpec {
	return boundSpec{unit: time.Millisecond, defaultValue: defaultValue, max: maxMs}
}

// SeedListDelay is how stale the list of seeds may be.
func (b Bounds) SeedListDelay() time.Duration { return b.duration(seedDelayKey) }

// AddressReuseAfter is how soon the address of an endpoint that has ended may be reused by another.
func (b Bounds) AddressReuseAfter() time.Duration { return b.duration(reuseAfterKey) }

// StabilizeWithin is how long a machine must be free of faults before rules with a time apply to it (key quietMs).
func (b Bounds) StabilizeWithin() time.Duration { return b.duration(stabilizeKey) }

// ConfirmWithin is the time within which an order of the operator is acknowledged.
func (b Bounds) ConfirmWithin() time.Duration { return b.duration(confirmKey) }

// CatchUp is how long a machine that has returned still counts as failed.
func (b Bounds) CatchUp() time.Duration { return b.duration(catchUpKey) }

// DrainWithin is the time within which a draining endpoint must get no more requests.
func (b Bounds) DrainWithin() time.Duration { return b.duration(drainKey) }

// GracePeriod is the time from a SIGTERM to the SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return b.duration(gracePeriodKey) }

// Slack is how soon after its last byte a request counts as received.
func (b Bounds) Slack() time.Duration { return b.duration(slackKey) }

// ApplyWithin is the time from the acknowledgement of a configuration until every machine applies it.
func (b Bounds) ApplyWithin() time.Duration { return b.duration(applyKey) }

// DowngradeWithin is how long a machine may still apply an older version after a newer one had an effect anywhere.
func (b Bounds) DowngradeWithin() time.Duration { return b.duration(downgradeKey) }

// UnstableExtension is by how much unstable controllers extend the bounds of configuration and roll-back (key stretchMs).
func (b Bounds) UnstableExtension() time.Duration { return b.duration(unstableExtensionKey) }

// BadVersionMaxShare is the share of a service's requests that a bad version may get, 0 to 1.
func (b Bounds) BadVersionMaxShare() float64 { return b.number(badVersionShareKey) }

// BadVersionSlack is the number of requests that a bad version may get above its share.
func (b Bounds) BadVersionSlack() float64 { return b.number(badVersionSlackKey) }

// RollbackWithin is the time within which a bad version must get no more requests.
func (b Bounds) RollbackWithin() time.Duration { return b.duration(rollbackKey) }

// RecoveryWithin is the time after the last fault within which requests are served again.
func (b Bounds) RecoveryWithin() time.Duration { return b.duration(recoveryKey) }

// ForwardWithin is the time within which an event of a stream is forwarded (key pass_ms).
func (b Bounds) ForwardWithin() time.Duration { return b.duration(forwardKey) }

// Again is the value of the key again_s, which the operators leave unexplained.
func (b Bounds) Again() time.Duration { return b.duration(againKey) }

// FinishWithin is how long after the end of traffic programs may still end.
func (b Bounds) FinishWithin() time.Duration { return b.duration(finishKey) }

// CommitWithin is the time after which turns that have ended count with what they used of a budget (key settleMs).
func (b Bounds) CommitWithin() time.Duration { return b.duration(commitKey) }

// number returns a bound without its unit, or its default.
func (b Bounds) number(key string) float64 {
	value, ok := b[key]
	if !ok {
		return boundSpecs[key].defaultValue
	}
	return value
}

func (b Bounds) duration(key string) time.Duration {
	return scaled(b.number(key), boundSpecs[key].unit)
}

// scaled returns a number of units as a duration.
func scaled(number float64, unit time.Duration) time.Duration {
	return time.Duration(number * float64(unit))
}
