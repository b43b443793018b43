package control

import (
	"math"
	"strings"
	"testing"
)

func TestNew_ImpossibleSettings_Fails(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no slots":      func(s *Settings) { s.Slots = 0 },
		"no classes":    func(s *Settings) { s.Classes = nil },
		"no attempts":   func(s *Settings) { s.MaxAttempts = 0 },
		"negative cold": func(s *Settings) { s.SlowStart = -1 },
		"negative aim":  func(s *Settings) { s.Classes[0].LatencyTarget = -1 },
		"no deadline":   func(s *Settings) { s.Classes[0].Deadline = 0 },
		"NaN worth":     func(s *Settings) { s.Classes[0].Value = math.NaN() },
		"infinite fee":  func(s *Settings) { s.ZoneFee = []float64{0, math.Inf(1)} },
		"NaN share":     func(s *Settings) { s.SlowStartShare = math.NaN() },
	} {
		set := settings()
		if spoil(&set); true {
			if _, err := New(set, 1); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
	}
}

// The own number must be one of those of the senders.
func TestNew_IndexOutOfRange_Fails(t *testing.T) {
	for _, me := range []int{-1, 2} {
		set := settings()
		set.Index = me
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), "Me") {
			t.Errorf("number %d of %d: %v, want an error that names Me", me, set.Peers, err)
		}
	}
}
