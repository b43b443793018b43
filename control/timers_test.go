package control

import (
	"testing"
	"time"
)

// With MustSubscribe, the sender requests the list at the start, and again after a failure.
func TestSubscribe_Failures_Retries(t *testing.T) {
	set := settings()
	set.MustSubscribe, set.SubscribeWithin = true, 10*time.Second
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := actionsOf(s.Step(0, nil, nil), Subscribe); len(got) != 1 {
		t.Fatalf("at the start: %v, want one Subscribe", got)
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
		t.Errorf("%d requests in 30 s of failures, want 5 to 60", asked)
	}
}

// One service answers all requests for the list, one after another. An event that makes eighty senders request it must not make them all
// do so in the same second, and a sender whose request failed lets all others go first.
func TestSubscribe_ManySenders_TakeTurns(t *testing.T) {
	for _, peers := range []int{1, 3, 80, 300} {
		set := settings()
		set.Peers, set.MustSubscribe, set.SubscribeWithin = peers, true, 10*time.Second
		for _, cause := range []string{"start", "loss", "refused"} {
			requests, last := map[time.Duration]int{}, time.Duration(0)
			for index := range peers {
				set.Index = index
				s, err := New(set, uint64(index))
				if err != nil {
					t.Fatal(err)
				}
				first := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}
				now, from := time.Hour, time.Hour
				remaining := map[string]int{"start": 1, "loss": 2, "refused": 2}[cause]
				for remaining > 0 && now < 2*time.Hour {
					evs := first
					first = nil
					for _, a := range s.Step(now, evs, nil) {
						if a.Kind != Subscribe {
							continue
						}
						if remaining--; remaining == 0 {
							requests[(now-from)/time.Second]++
							last = max(last, now-from)
							break
						}
						if cause == "loss" { // later, all of them lose the subscription at the same time
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
			for _, count := range requests {
				busiest = max(busiest, count)
			}
			if limit := max(15, peers/6); busiest > limit || last > 16*time.Second {
				t.Errorf("%d senders after %s: %d requests in one second, want at most %d; the last after %v, want at most 16 s", peers, cause, busiest, limit, last)
			}
		}
	}
}
