package upstream

import (
	"errors"

	"mastusher/internal/tier/httphead"
	"mastusher/internal/tier/metrics"
)

// Errors of headGuard.
var (
	errTooManyFields = errors.New("response head has more fields than the configured maximum")
	errNoHeadMemory  = errors.New("no memory for the head of a response")
)

// headGuard bounds the fields and the memory of a head before it is parsed.
type headGuard struct {
	meter     httphead.Meter
	maxFields int
	reserve   func(bytes int64) bool // reserves so much memory in all; nil: it isn't bounded
}

// accept measures the next bytes. The error is errTooManyFields or errNoHeadMemory.
func (g *headGuard) accept(data []byte) error {
	growth := g.meter.Add(data)
	if g.meter.Fields() > g.maxFields {
		return errTooManyFields
	}
	if growth > 0 && g.reserve != nil && !g.reserve(g.meter.Memory()) {
		return errNoHeadMemory
	}
	return nil
}

// headBounds are the bounds that the errors of reading a head stand for.
var headBounds = map[error]metrics.Bound{
	errHeadTooLarge:  metrics.HeadBytes,
	errTooManyFields: metrics.HeadFields,
	errNoHeadMemory:  metrics.Memory,
	errInformational: metrics.Informational,
}

// countDropped counts a response whose head has exceeded a bound.
func countDropped(to *metrics.Metrics, err error) {
	for exceeded, bound := range headBounds {
		if errors.Is(err, exceeded) {
			to.CountDroppedResponse(bound)
		}
	}
}
