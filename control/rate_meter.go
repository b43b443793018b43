package control

import (
	"math"
	"time"
)

// rateWindow is the time constant of all rate meters: after this time an event counts for 1/e.
const rateWindow = 10 * time.Second

// rateMeter is an exponentially decaying rate of events.
type rateMeter struct {
	count     float64
	updatedAt time.Duration
	startedAt time.Duration // nothing was counted before; rate corrects for it
}

func (m *rateMeter) add(now time.Duration) {
	m.count = m.count*math.Exp(-float64(now-m.updatedAt)/float64(rateWindow)) + 1
	m.updatedAt = now
}

// rate returns the events a second.
func (m *rateMeter) rate(now time.Duration) float64 {
	count := m.count * math.Exp(-float64(now-m.updatedAt)/float64(rateWindow))
	return count / (rateWindow.Seconds() * (1 - math.Exp(-float64(now-m.startedAt+time.Second)/float64(rateWindow))))
}
