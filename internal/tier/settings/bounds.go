package settings

import "time"

// Bounds holds the service-level bounds by their keys in the file, with true as 1 and false as 0. The methods return the known bounds with
// their units, or the default of a bound that the file doesn't give. The tier itself uses only ConfirmWithin, UnstableExtension,
// GracePeriod, RecoveryWithin and the bounds of bad versions. The other bounds are for operators and tests.
type Bounds map[string]float64

// Keys of the known bounds.
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

// Maximum values.
const (
	maxDuration = 365 * 24 * time.Hour
	maxSeconds  = float64(maxDuration / time.Second)
	maxMs       = float64(maxDuration / time.Millisecond)
	maxShare    = 1.0
	maxRequests = 1e12
)

// boundSpec is the unit, default and maximum of a bound.
type boundSpec struct {
	unit         time.Duration // 0: the bound has no unit
	defaultValue float64
	max          float64
}

// boundSpecs lists the known bounds. Unknown bounds in the file are kept if they are numbers.
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

// SeedListDelay is the maximum staleness of the list of seeds.
func (b Bounds) SeedListDelay() time.Duration { return b.duration(seedDelayKey) }

// AddressReuseAfter is the minimum time after which the address of an endpoint that has ended may be reused by another one.
func (b Bounds) AddressReuseAfter() time.Duration { return b.duration(reuseAfterKey) }

// StabilizeWithin is how long a machine must be free of faults before rules with a time limit apply to it (key quietMs).
func (b Bounds) StabilizeWithin() time.Duration { return b.duration(stabilizeKey) }

// ConfirmWithin is the time within which an order of the operator must be acknowledged.
func (b Bounds) ConfirmWithin() time.Duration { return b.duration(confirmKey) }

// CatchUp is how long a machine still counts as failed after it has returned.
func (b Bounds) CatchUp() time.Duration { return b.duration(catchUpKey) }

// DrainWithin is the time after which a draining endpoint must get no more requests.
func (b Bounds) DrainWithin() time.Duration { return b.duration(drainKey) }

// GracePeriod is the time from SIGTERM to SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return b.duration(gracePeriodKey) }

// Slack is the time after the arrival of a request's last byte by which the request counts as received.
func (b Bounds) Slack() time.Duration { return b.duration(slackKey) }

// ApplyWithin is the time from the acknowledgement of a configuration by which every machine must apply it.
func (b Bounds) ApplyWithin() time.Duration { return b.duration(applyKey) }

// DowngradeWithin is how long a machine may still apply an older version after a newer one has had an effect on any machine.
func (b Bounds) DowngradeWithin() time.Duration { return b.duration(downgradeKey) }

// UnstableExtension is the time by which unstable controllers extend the bounds of configuration and roll-back (key stretchMs).
func (b Bounds) UnstableExtension() time.Duration { return b.duration(unstableExtensionKey) }

// BadVersionMaxShare is the share of a service's requests that a bad version may get, from 0 to 1.
func (b Bounds) BadVersionMaxShare() float64 { return b.number(badVersionShareKey) }

// BadVersionSlack is the number of requests that a bad version may get in addition to its share.
func (b Bounds) BadVersionSlack() float64 { return b.number(badVersionSlackKey) }

// RollbackWithin is the time after which a bad version must get no more requests.
func (b Bounds) RollbackWithin() time.Duration { return b.duration(rollbackKey) }

// RecoveryWithin is the time after the last fault by which requests must be served again.
func (b Bounds) RecoveryWithin() time.Duration { return b.duration(recoveryKey) }

// ForwardWithin is the time within which an event of a stream must be forwarded (key pass_ms).
func (b Bounds) ForwardWithin() time.Duration { return b.duration(forwardKey) }

// Again is the value of the key again_s, whose meaning the operators have not specified.
func (b Bounds) Again() time.Duration { return b.duration(againKey) }

// FinishWithin is how long after the end of traffic programs may still end.
func (b Bounds) FinishWithin() time.Duration { return b.duration(finishKey) }

// CommitWithin is the time after which the usage of ended turns must be deducted from the budget (key settleMs).
func (b Bounds) CommitWithin() time.Duration { return b.duration(commitKey) }

// number returns a bound in its unit, or its default.
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

// scaled converts a number of units to a duration.
func scaled(number float64, unit time.Duration) time.Duration {
	return time.Duration(number * float64(unit))
}
