package control

import (
	"testing"
	"time"
)

// The list must be asked for where it does not come by itself, and again after a failure.
func TestSubscribe_Failures_Retries(t *testing.T) {
	set := settings()
	set.MustSubscribe, set.SubscribeWithin = true, 10*time.Second
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := actionsOf(s.Step(0, nil, nil), Subscribe); len(got) != 1 {
		t.Fatalf("at the start: %v", got)
	}
	asked := 0
	for now := time.Duration(0); now < 30*time.Second; now += 25 * ms {
		evs := []Event{{Kind: Woken}}
		if now == 0 || asked > 0 && len(actionsOf(s.actions, Subscribe)) > 0 {
			evs = append(evs, Event{Kind: ListFailed})
		}
		for _, a := range s.Step(now, evs, nil) {
			if a.Kind == Subscribe {
				asked++
				s.Step(now, []Event{{Kind: ListFailed}}, nil)
			}
		}
	}
	if asked < 5 || asked > 60 {
		t.Errorf("asked %d times in 30 s of failures", asked)
	}
}

// One service answers all who ask for the list, one after another: what makes eighty ask at once must not have them
// ask in the same second, and one that asked in vain lets all others ask first.
func TestSubscribe_ManySenders_TakeTurns(t *testing.T) {
	for _, peers := range []int{1, 3, 80, 300} {
		set := settings()
		set.Peers, set.MustSubscribe, set.SubscribeWithin = peers, true, 10*time.Second
		for _, cause := range []string{"start", "loss", "refused"} {
			asks, last := map[time.Duration]int{}, time.Duration(0)
			for me := range peers {
				set.Index = me
				s, err := New(set, uint64(me))
				if err != nil {
					t.Fatal(err)
				}
				first := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}
				now, from := time.Hour, time.Hour
				left := map[string]int{"start": 1, "loss": 2, "refused": 2}[cause]
				for left > 0 && now < 2*time.Hour {
					evs := first
					first = nil
					for _, a := range s.Step(now, evs, nil) {
						if a.Kind != Subscribe {
							continue
						}
						if left--; left == 0 {
							asks[(now-from)/time.Second]++
							last = max(last, now-from)
							break
						}
						if cause == "loss" { // all of them lose it at once, later
							s.Step(now, []Event{{Kind: Listed, Complete: true}}, nil)
							from = time.Hour + 20*time.Second
							now = from
						}
						first = []Event{{Kind: ListFailed}}
					}
					now += 25 * ms
				}
			}
			busiest := 0
			for _, k := range asks {
				busiest = max(busiest, k)
			}
			if limit := max(15, peers/6); busiest > limit || last > 16*time.Second {
				t.Errorf("%d senders after %s: %d asked in one second, want %d at most; the last after %v", peers, cause, busiest, limit, last)
			}
		}
	}
}
