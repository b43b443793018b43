package engine

import (
	"fmt"
	"testing"
	"time"

	"mastusher/control"
)

// TestEndpointList_CompleteListOfOneFront_KeepsThoseOfOthers: the complete list of one front must not remove the other front's
// destinations.
func TestEndpointList_CompleteListOfOneFront_KeepsThoseOfOthers(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	relay.core.AddFront("other", relay.front, EndpointList{Destinations: []Destination{{Name: "s-1", Partner: 7}}})
	relay.turnAfter(0, listChanged{relay.core.frontsInOrder[1], relay.core.frontsInOrder[1].listReportedBy, EndpointList{Complete: true}})
	a, _ := relay.arrival("m", 1, 8, time.Second)
	if relay.turnAfter(0, a); (<-relay.front.attempts).To.Name != "s-2" {
		t.Error("the first front's destination was removed")
	}
}

// TestWatch_DiscoveryMoves_WatchAndNoticesFollow: after discovery has moved, the watch continues at the new address from the known list
// index, and notices in flight are sent again there at once. The old discovery accepts no new connections.
func TestWatch_DiscoveryMoves_WatchAndNoticesFollow(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	if got := <-relay.front.watches; got != 0 {
		t.Errorf("the first watch starts after index %d, want 0", got)
	}
	relay.turnAfter(0, listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy, EndpointList{Index: 43}})
	a, _ := relay.arrival("m", 0, 8, 2*time.Second)
	relay.turnAfter(0, a)
	<-relay.front.attempts
	relay.answer(Outcome{Result: control.Rejected})
	<-relay.front.notices // sent to the old discovery, which does not answer
	call := relay.core.frontsInOrder[0].cancelNotify
	relay.turnAfter(0, discoveryMoved{"platform"}, discoveryMoved{"nobody"})
	if got := <-relay.front.watches; got != 43 {
		t.Errorf("the new watch starts after index %d, want 43", got)
	}
	relay.front.accepts <- false
	for range 2 { // the ends of that call and of the old watch
		relay.turnAfter(0, <-relay.core.queue)
	}
	if got := <-relay.front.notices; call == nil || len(got) != 1 || got[0].ID != "m" {
		t.Errorf("notices %+v, want that of m, sent again at once", got)
	}
	if len(relay.front.watches) != 0 {
		t.Error("the end of the old watch has started another one")
	}
}

// TestHousekeeping_DestinationLongRemoved_IsForgotten: a removed destination is forgotten once none of its attempts can be unfinished, so
// that the tables do not grow for as long as the relay runs. Its number is not reused.
func TestHousekeeping_DestinationLongRemoved_IsForgotten(t *testing.T) {
	relay := newHarness(t, t.TempDir(), time.Now())
	for i := range 50 {
		removed := Destination{Name: fmt.Sprint("old-", i), Zone: "a", Kind: "news-groups", Partner: 7}
		relay.turnAfter(time.Second, listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy,
			EndpointList{Index: int64(2 * i), Destinations: []Destination{removed}}})
		removed.State = control.Removed
		relay.turnAfter(time.Second, listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy,
			EndpointList{Index: int64(2*i + 1), Destinations: []Destination{removed}}})
		relay.core.forgetRemoved(relay.now)
	}
	if n, names, list := len(relay.core.destinations), len(relay.core.destinationNumbers),
		len(relay.core.frontsInOrder[0].listed); n > 20 || names != n || list != n {
		t.Errorf("%d destinations, %d names and %d in the list, want those of the last 25 s", n, names, list)
	}
	if relay.core.destinationNumbers["platform s-1"] != 1 || relay.core.destinationNumber(relay.core.frontsInOrder[0], "new") <= 50 {
		t.Error("the destination that is still listed was forgotten, or a number is reused")
	}
	relay.turnAfter(0, listChanged{relay.core.frontsInOrder[0], relay.core.frontsInOrder[0].listReportedBy, EndpointList{Complete: true, Index: 999}})
	relay.core.forgetRemoved(relay.now.Add(time.Minute))
	if len(relay.core.destinations) != 0 || relay.core.serves(relay.core.frontsInOrder[0], 7) {
		t.Errorf("%d destinations are left though the complete list is empty", len(relay.core.destinations))
	}
}
