package control

import (
	"cmp"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any seed, one to 300 senders, one to 40 slots, tenants with shares or none and weights that are true or not, nothing
// brings a send before a told wait's end, past a drain or past the message's time, or a second call with a message that may
// have run out of its zone or window, and nothing keeps a message from its one end.
func TestSpreadsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.Peers = rapid.IntRange(1, 300).Draw(t, "peers")
		set.Index = rapid.IntRange(0, set.Peers-1).Draw(t, "me")
		set.MustSubscribe, set.SubscribeWithin = true, 10*time.Second
		set.Slots, set.MaxOpen = rapid.IntRange(1, 40).Draw(t, "slots"), rapid.IntRange(0, 60).Draw(t, "open")
		for range rapid.IntRange(0, 3).Draw(t, "tenants") {
			set.Tenants = append(set.Tenants, Tenant{Quota: rapid.Float64Range(0, 20).Draw(t, "quota")})
		}
		weight := rapid.SampledFrom([]float64{0, 1e-9, 0.5, 20, 1e9}).Draw(t, "weight")
		s, err := New(set, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		drainAt := now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "drain after ms"))*time.Millisecond
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		evs := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1, Weight: weight}, {ID: 2, Destination: 1, Weight: weight},
			{ID: 3, Zone: 1, Weight: weight}, {ID: 4, Zone: 1, Kind: 1, Destination: 2, Weight: weight}}}}
		type run struct {
			zone int
			at   time.Duration
		}
		ran, zones, class := map[uint64]run{}, map[uint32]int{3: 1, 4: 1}, map[uint64]int{}
		route := map[uint32]uint32{3: 1} // 1 and 3 are one destination
		waits, deadlines, ends, drained := map[uint32]time.Duration{}, map[uint64]time.Duration{}, map[uint64]int{}, false
		for id := uint64(1); now < time.Hour+20*time.Second; now += 25 * time.Millisecond {
			if now < time.Hour+8*time.Second && rapid.IntRange(0, 9).Draw(t, "arrives") == 0 {
				deadlines[id] = now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "for ms"))*time.Millisecond
				evs = append(evs, Event{Kind: Arrived, ID: id, Destination: int(id % 3), Deadline: deadlines[id],
					Class: rapid.IntRange(0, 2).Draw(t, "class"), Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant")})
				class[id] = evs[len(evs)-1].Class
				id++
			}
			if now >= drainAt && !drained {
				drained = true
				evs = append(evs, Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Draining}}})
			}
			acts := s.Step(now, append(evs, Event{Kind: Woken}), nil)
			evs = evs[:0:0]
			told := map[uint32]time.Duration{} // by answers that come with the next step
			for _, a := range acts {
				switch a.Kind {
				case Send:
					to := cmp.Or(route[a.Endpoint], a.Endpoint)
					if r, risky := ran[a.ID]; risky && (class[a.ID] == 2 ||
						class[a.ID] == 1 && (r.zone != zones[a.Endpoint] || now >= r.at+set.Classes[1].Memory)) {
						t.Fatalf("%v at %v: of class %d, and may have run in zone %d at %v", a, now, class[a.ID], r.zone, r.at)
					}
					if drained && a.Endpoint == 1 || now < waits[to] || now >= deadlines[a.ID] || ends[a.ID] > 0 {
						t.Fatalf("%v at %v: drained %v, wait until %v, message until %v, ends %d", a, now, drained, waits[to], deadlines[a.ID], ends[a.ID])
					}
					ev := outcome(a.ID, s.messages[a.ID].attempts-1, a.Endpoint, Delivered)
					ev.Reported, ev.Limit, ev.Remaining = limit > 0, limit, rapid.Float64Range(0, 1).Draw(t, "share")
					switch rapid.IntRange(0, 3).Draw(t, "refused") {
					case 0:
						ends[a.ID]++
					case 1:
						ev.Result, ev.Final = rapid.SampledFrom([]Result{Errored, Reset, TimedOut}).Draw(t, "result"), false
						if _, risky := ran[a.ID]; !risky {
							ran[a.ID] = run{zones[a.Endpoint], now}
						}
					default:
						ev.Result, ev.Final = Throttled, false
						ev.RetryAfter = time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait ms")) * time.Millisecond
						told[to] = max(told[to], now+25*time.Millisecond+ev.RetryAfter)
					}
					evs = append(evs, ev)
				case Refuse, Fail:
					if ends[a.ID]++; ends[a.ID] > 1 {
						t.Fatalf("%v: the second end of its message", a)
					}
				}
			}
			for e, until := range told {
				waits[e] = max(waits[e], until)
			}
		}
		for id := range deadlines {
			if ends[id] != 1 {
				t.Fatalf("message %d had %d ends", id, ends[id])
			}
		}
	})
}
