package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"mastusher/control"
)

// watchedFront is a front whose watches the test reports for, each for itself.
type watchedFront struct {
	*fakeFront
	changes chan func(EndpointList) // the callback of each watch that was started
}

func (w watchedFront) Watch(ctx context.Context, after int64, changed func(EndpointList)) error {
	w.changes <- changed
	return w.fakeFront.Watch(ctx, after, changed)
}

// TestWatch_SupersededWatchReportsLate_UndoesNothing: a watch that was superseded still has a list on its way when the next one has spoken.
// Complete list or not, it must undo nothing; before the next one has reported it counts, since the relay must follow what it has heard.
func TestWatch_SupersededWatchReportsLate_UndoesNothing(t *testing.T) {
	list := func(index int64, complete bool, state control.State) EndpointList {
		return EndpointList{Index: index, Complete: complete, Destinations: []Destination{{Name: "s-2", Zone: "a", Kind: "club-sites",
			Partner: 8, State: state}}}
	}
	for _, test := range []struct {
		name          string
		before, after []EndpointList // what the old watch says before the new one speaks, and after that
		want          control.State
	}{
		{"an older complete list", nil, []EndpointList{list(42, true, control.Ready)}, control.Draining},
		{"an older change", nil, []EndpointList{list(42, false, control.Ready)}, control.Draining},
		{"a later one, of a discovery that was left", nil, []EndpointList{list(99, false, control.Ready)}, control.Draining},
		{"a change before the new watch speaks", []EndpointList{list(44, false, control.Ready), list(45, false, control.Draining)}, nil,
			control.Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			front := watchedFront{nil, make(chan func(EndpointList), 9)}
			relay := newHarness(t, t.TempDir(), time.Now(), func(core *Core) {
				f := core.frontsInOrder[0]
				front.fakeFront = f.Front.(*fakeFront)
				f.Front = front
			})
			old := <-front.changes
			relay.turnAfter(0, moved{"platform"})
			next := <-front.changes
			report := func(to func(EndpointList), all []EndpointList) {
				for _, p := range all {
					to(p)
					relay.turnAfter(0, relay.core.drainQueue(nil)...)
				}
			}
			report(old, test.before)
			if len(test.after) > 0 {
				report(next, []EndpointList{list(43, false, control.Draining)})
			}
			report(old, test.after)
			f := relay.core.frontsInOrder[0]
			if got := relay.core.destinations[f.listed["s-2"]].State; got != test.want {
				t.Errorf("s-2 is in state %v, want %v", got, test.want)
			}
			if report(next, []EndpointList{list(46, false, control.Removed)}); relay.core.destinations[f.listed["s-2"]].State != control.Removed {
				t.Error("reports of the new watch are ignored")
			}
		})
	}
}

// TestWatch_Lost_ReopenedByItsCause: when a watch that has ended is opened again depends on what ended it, and on nothing that the module
// must be asked for where what the relay misses soon counts as known.
func TestWatch_Lost_ReopenedByItsCause(t *testing.T) {
	broke := errors.New("reset")
	for _, test := range []struct {
		name          string
		mustSubscribe bool
		up            bool // it had reported a list
		err           error
		want          time.Duration // below 0: the module is asked
	}{
		{"asked for, silent", true, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"pushed, silent", false, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"asked for, broken", true, true, broke, -1},
		{"asked for, never up", true, false, broke, -1},
		{"pushed, broken", false, true, broke, 0},
		{"pushed, never up", false, false, broke, 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := newHarness(t, t.TempDir(), time.Now())
			<-relay.front.watches
			relay.core.settings.MustSubscribe, relay.core.settings.Peers, relay.core.settings.Index = test.mustSubscribe, 4, 1
			relay.core.limits.WatchSpread, relay.core.limits.WatchRetry = 800*time.Millisecond, 50*time.Millisecond
			f := relay.core.frontsInOrder[0]
			if test.up {
				relay.turnAfter(0, listChanged{f, f.lastWatch, EndpointList{Index: 43}})
			}
			watchEnded{f, f.lastWatch, test.err}.apply(relay.core, relay.now)
			asked := len(relay.core.moduleEvents) == 1 && relay.core.moduleEvents[0].Kind == control.ListFailed
			if got := relay.core.watchAt.Sub(relay.now); asked != (test.want < 0) || !asked && got != test.want {
				t.Errorf("opened again after %v, the module is asked %v", got, asked)
			}
		})
	}
}
