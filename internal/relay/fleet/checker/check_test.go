package checker

import (
	"testing"
	"time"
)

func TestJudge_EachHistory_BreaksItsRuleOrNone(t *testing.T) {
	const ms = time.Millisecond
	act := func(at int, relay string, version uint64) Entry {
		return Entry{At: time.Duration(at) * ms, Kind: Acted, Relay: relay, Version: version}
	}
	change := func(at, until int, base, version uint64) Entry {
		return Entry{At: time.Duration(at) * ms, Until: time.Duration(until) * ms, Kind: Proposed, Base: base, Version: version}
	}
	report := func(at int, version, digest uint64, dropped bool) Entry {
		return Entry{At: time.Duration(at) * ms, Kind: Reported, Relay: "c", Version: version, Digest: digest, Dropped: dropped}
	}
	call := func(at int, version uint64) Entry {
		e := act(at, "a", version)
		e.To = "p"
		return e
	}
	good := []Entry{act(1, "a", 0), act(2, "b", 0), change(3, 9, 0, 1), act(7, "a", 1), act(8, "b", 1), report(9, 1, 5, false), report(9, 2, 6, true),
		change(10, 30, 1, 3), act(20, "a", 3), {At: 21 * ms, Kind: Accepted, ID: "x"}, {At: 22 * ms, Kind: Ended, ID: "x", Text: "called"}}
	for _, test := range []struct {
		name    string
		more    []Entry
		options Options
		want    string
	}{
		{"all rules kept", nil, Options{AllMustEnd: true}, ""},
		{"act under an old version after a newer one", []Entry{act(25, "b", 1)}, Options{}, NoStaleAct},
		{"act under an old version, seen late within the slack", []Entry{act(25, "b", 1)}, Options{Slack: 10 * ms}, ""},
		{"act under an old version, where partitioned relays serve", []Entry{act(25, "b", 1)}, Options{ServePartitioned: true}, ""},
		{"two digests of a version", []Entry{report(30, 1, 7, false)}, Options{}, ReportsAgree},
		{"version dropped and in force", []Entry{report(30, 2, 6, false)}, Options{}, ReportsAgree},
		{"act under a dropped version", []Entry{act(30, "a", 2)}, Options{ServePartitioned: true}, NoActUnderDropped},
		{"act under a version before its change was proposed", []Entry{change(40, 50, 3, 4), act(35, "a", 4)}, Options{}, Linearizable},
		{"two changes of the same base", []Entry{change(31, 40, 1, 5), act(45, "a", 5)}, Options{}, Linearizable},
		{"accepted message without an outcome", []Entry{{At: 50 * ms, Kind: Accepted, ID: "y"}}, Options{AllMustEnd: true}, SingleOutcome},
		{"message with two outcomes", []Entry{{At: 50 * ms, Kind: Ended, ID: "x", Text: "given_up"}}, Options{}, SingleOutcome},
		{"calls beyond the limit", []Entry{call(100, 3), call(200, 3), call(300, 3)}, Options{Bounds: []Bound{{3, "p", 2, 2, 0, 0}}}, WithinLimit},
		{"calls within the limit", []Entry{call(100, 3), call(700, 3), call(1300, 3)}, Options{Bounds: []Bound{{3, "p", 2, 2, 0, 0}}}, ""},
		{"bound of another version", []Entry{call(100, 3), call(200, 3), call(300, 3)}, Options{Bounds: []Bound{{4, "p", 2, 2, 0, 0}}}, ""},
		{"calls beyond the limit, partly outside the bound's time", []Entry{call(100, 3), call(200, 3), call(300, 3)}, Options{Bounds: []Bound{{0, "p", 2, 2, 150 * ms, time.Second}}}, ""},
		{"calls beyond the limit within the bound's time", []Entry{call(100, 3), call(200, 3), call(300, 3)}, Options{Bounds: []Bound{{0, "p", 2, 2, 50 * ms, time.Second}}}, WithinLimit},
		{"recorded breach", []Entry{{At: 50 * ms, Kind: Breached, Text: "sent twice"}}, Options{}, NoOtherBreach},
	} {
		got := ""
		if b := Check(append(append([]Entry{}, good...), test.more...), test.options); b != nil {
			got = b.Rule
		}
		if got != test.want {
			t.Errorf("%s: broken rule %q, want %q", test.name, got, test.want)
		}
	}
}

func TestStale_ActsUnderOldVersion_CountFromTheFirstUnderNewer(t *testing.T) {
	history := []Entry{{At: 1, Kind: Acted, Relay: "a"}, {At: 5, Kind: Acted, Relay: "b", Version: 2}, {At: 7, Kind: Acted, Relay: "a"}, {At: 9, Kind: Acted, Relay: "a"}}
	if count, longest := CountStaleActs(history); count != 2 || longest != 4 {
		t.Errorf("%d stale acts for up to %v, want 2 for up to 4ns", count, longest)
	}
}
