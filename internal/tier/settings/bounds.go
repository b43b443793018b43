package settings

import "time"

// Bounds holds the figures of the rules in force by their keys; true counts as 1 and false as 0.
// Its methods give each figure with its unit, or the usual one where the file gives none.
type Bounds map[string]float64

// The keys of the known bounds.
const (
	seedDelayKey  = "seedDelayS"
	reuseAfterKey = "reuseAfterS"
	quietKey      = "quietMs"
	confirmKey    = "confirmMs"
	catchUpKey    = "catchUpS"
	drainKey      = "drainMs"
	graceKey      = "graceS"
	slackKey      = "slackMs"
	applyKey      = "applyMs"
	downgradeKey  = "downgradeMs"
	stretchKey    = "stretchMs"
	badShareKey   = "badShare"
	badSlackKey   = "badSlack"
	rollbackKey   = "rollbackMs"
	recoveryKey   = "recoveryS"
	passKey       = "pass_ms"
	againKey      = "again_s"
	finishByKey   = "finishByS"
	settleKey     = "settleMs"
)

// The highest values that make sense.
const (
	maxDuration = 365 * 24 * time.Hour
	maxSeconds  = float64(maxDuration / time.Second)
	maxMs       = float64(maxDuration / time.Millisecond)
	maxShare    = 1.0
	maxRequests = 1e12
)

// boundSpec is the unit of a bound, its usual value and the highest value that makes sense.
type boundSpec struct {
	unit         time.Duration // 0: a bare number
	defaultValue float64
	max          float64
}

// boundSpecs lists the known bounds. Others in the file are kept as they are if they are numbers.
var boundSpecs = map[string]boundSpec{
	seedDelayKey:  seconds(3),
	reuseAfterKey: seconds(2),
	quietKey:      milliseconds(3000),
	confirmKey:    milliseconds(4000),
	catchUpKey:    seconds(4),
	drainKey:      milliseconds(3000),
	graceKey:      seconds(8),
	slackKey:      milliseconds(200),
	applyKey:      milliseconds(2000),
	downgradeKey:  milliseconds(250),
	stretchKey:    milliseconds(5000),
	badShareKey:   {defaultValue: 0.1, max: maxShare},
	badSlackKey:   {defaultValue: 50, max: maxRequests},
	rollbackKey:   milliseconds(5000),
	recoveryKey:   seconds(12),
	passKey:       milliseconds(120),
	againKey:      seconds(0),
	finishByKey:   seconds(10),
	settleKey:     milliseconds(1000),
}

func seconds(usual float64) boundSpec {
	return boundSpec{unit: time.Second, defaultValue: usual, max: maxSeconds}
}

func milliseconds(usual float64) boundSpec {
	return boundSpec{unit: time.Millisecond, defaultValue: usual, max: maxMs}
}

// SeedDelay is how far the list of seeds may run behind.
func (b Bounds) SeedDelay() time.Duration { return b.duration(seedDelayKey) }

// ReuseAfter is how soon the address of an endpoint that has ended may go to another.
func (b Bounds) ReuseAfter() time.Duration { return b.duration(reuseAfterKey) }

// Quiet is how long a machine must be free of trouble before the rules with a time hold for it.
func (b Bounds) Quiet() time.Duration { return b.duration(quietKey) }

// ConfirmWithin is the time within which an order of the operator is acknowledged.
func (b Bounds) ConfirmWithin() time.Duration { return b.duration(confirmKey) }

// CatchUp is how long a machine that is back still counts as lost.
func (b Bounds) CatchUp() time.Duration { return b.duration(catchUpKey) }

// DrainWithin is the time within which a draining endpoint must get no more requests.
func (b Bounds) DrainWithin() time.Duration { return b.duration(drainKey) }

// Grace is the time from a SIGTERM to the SIGKILL.
func (b Bounds) Grace() time.Duration { return b.duration(graceKey) }

// Slack is how soon after its last byte a request counts as read.
func (b Bounds) Slack() time.Duration { return b.duration(slackKey) }

// ApplyWithin is the time from the acknowledgement of a configuration until every machine follows it.
func (b Bounds) ApplyWithin() time.Duration { return b.duration(applyKey) }

// DowngradeWithin is how long a machine may still follow an older version after a newer one had an effect.
func (b Bounds) DowngradeWithin() time.Duration { return b.duration(downgradeKey) }

// Stretch is by how much an unstable core lengthens the bounds of configuration and roll-back.
func (b Bounds) Stretch() time.Duration { return b.duration(stretchKey) }

// BadShare is the share of a service's requests that a bad version may get.
func (b Bounds) BadShare() float64 { return b.number(badShareKey) }

// BadSlack is the number of requests that a bad version may get above its share.
func (b Bounds) BadSlack() float64 { return b.number(badSlackKey) }

// RollbackWithin is the time within which a bad version must get no more requests.
func (b Bounds) RollbackWithin() time.Duration { return b.duration(rollbackKey) }

// Recovery is the time after a final fault within which requests are served again.
func (b Bounds) Recovery() time.Duration { return b.duration(recoveryKey) }

// PassWithin is the time within which an event of a stream is passed on.
func (b Bounds) PassWithin() time.Duration { return b.duration(passKey) }

// Again is the figure of the key again_s, which the operators leave unexplained.
func (b Bounds) Again() time.Duration { return b.duration(againKey) }

// FinishBy is how long after the end of traffic programs may still end.
func (b Bounds) FinishBy() time.Duration { return b.duration(finishByKey) }

// Settle is the time after which turns that have ended count with what they used of a budget.
func (b Bounds) Settle() time.Duration { return b.duration(settleKey) }

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

// scaled is a number of units as a duration.
func scaled(number float64, unit time.Duration) time.Duration {
	return time.Duration(number * float64(unit))
}
