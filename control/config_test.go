package control

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestNew_ImpossibleSettings_Fails(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no slots":                func(s *Settings) { s.Slots = 0 },
		"no classes":              func(s *Settings) { s.Classes = nil },
		"no attempts":             func(s *Settings) { s.MaxAttempts = 0 },
		"negative slow start":     func(s *Settings) { s.SlowStart = -1 },
		"negative latency target": func(s *Settings) { s.Classes[0].LatencyTarget = -1 },
		"no deadline":             func(s *Settings) { s.Classes[0].Deadline = 0 },
		"NaN value":               func(s *Settings) { s.Classes[0].Value = math.NaN() },
		"infinite fee":            func(s *Settings) { s.ZoneFee = []float64{0, math.Inf(1)} },
		"NaN slow start share":    func(s *Settings) { s.SlowStartShare = math.NaN() },
	} {
		set := settings()
		if invalidate(&set); true {
			var invalid *SettingError
			if _, err := New(set, 1); !errors.As(err, &invalid) {
				t.Errorf("%s: error %v, want a SettingError", name, err)
			}
		}
	}
}

// Index must be at least 0 and below Peers.
func TestNew_IndexOutOfRange_Fails(t *testing.T) {
	for _, index := range []int{-1, 2} {
		set := settings()
		set.Index = index
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), "Me") {
			t.Errorf("index %d of %d senders: %v, want an error that names Me", index, set.Peers, err)
		}
	}
}

// Operators see these texts when a relay checks its configuration.
func TestSettingError_NamesKeyAndFigure(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"control: settings: Me is 7, want a number below Peers, 2":                     func(s *Settings) { s.Index, s.Peers = 7, 2 },
		"control: settings: Classes[0].LateWorth is -0.5, want a number of 0 at least": func(s *Settings) { s.Classes[0].LateValue = -0.5 },
	} {
		set := settings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
