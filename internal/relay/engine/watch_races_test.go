package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"mastusher/control"
)

// watchedFront is a front whose watches the test controls individually.
type watchedFront struct {
	*fakeFront
	changes chan func(EndpointList) // the callback of each started watch
}

func (w watchedFront) Watch(ctx context.Context, after int64, changed func(EndpointList)) error {
	w.changes <- changed
	return w.fakeFront.Watch(ctx, after, changed)
}

// TestWatch_SupersededWatchReportsLate_UndoesNothing: a superseded watch reports a list or a change after its successor has reported. The
// late report must be ignored. Reports of the superseded watch before the successor's first one must still be applied.
func TestWatch_SupersededWatchReportsLate_UndoesNothing(t *testing.T) {
	list := func(index int64, complete bool, state control.State) EndpointList {
		return EndpointList{Index: index, Complete: complete, Destinations: []Destination{{Name: "s-2", Zone: "a", Kind: "club-sites",
			Partner: 8, State: state}}}
	}
	for _, test := range []struct {
		name          string
		before, after []EndpointList // reports of the old watch before and after the new one's first report
		want          control.State
	}{
		{"an older complete list", nil, []EndpointList{list(42, true, control.Ready)}, control.Draining},
		{"an older change", nil, []EndpointList{list(42, false, control.Ready)}, control.Draining},
		{"a newer change, from the former discovery", nil, []EndpointList{list(99, false, control.Ready)}, control.Draining},
		{"changes before the new watch reports", []EndpointList{list(44, false, control.Ready), list(45, false, control.Draining)}, nil,
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
			relay.turnAfter(0, discoveryMoved{"platform"})
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

// TestWatch_Lost_ReopenedByItsCause: when a lost watch is reopened depends on how it was lost. The module is asked only if the settings
// require that and the watch has not timed out: changes missed after a time-out soon count as known to the relay.
func TestWatch_Lost_ReopenedByItsCause(t *testing.T) {
	broke := errors.New("reset")
	for _, test := range []struct {
		name          string
		mustSubscribe bool
		up            bool // the watch had reported a list
		err           error
		want          time.Duration // below 0 if the module is asked
	}{
		{"subscription by module, timed out", true, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"automatic, timed out", false, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"subscription by module, broken", true, true, broke, -1},
		{"subscription by module, never established", true, false, broke, -1},
		{"automatic, broken", false, true, broke, 0},
		{"automatic, never established", false, false, broke, 50 * time.Millisecond},
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
				t.Errorf("reopened after %v, module asked: %v", got, asked)
			}
		})
	}
}
