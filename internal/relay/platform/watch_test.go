package platform

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/wiretest"
)

// TestWatch_ReportsListAndChanges: lists and changes are reported, whether an entry is on one line or on several.
func TestWatch_ReportsListAndChanges(t *testing.T) {
	one := engine.Destination{Name: "s-1", Address: "h:1", Zone: "a", Kind: "m2", Partner: 3, State: control.Draining}
	two := engine.Destination{Name: "s-2", State: control.Removed}
	odd := engine.Destination{Name: `s-1 }] "{`, Address: "h:1", Zone: "a", Kind: "m2", Partner: 3}
	for file, want := range map[string][]engine.EndpointList{
		"testdata/watch.txt": {{Index: 43, Destinations: []engine.Destination{one, two}}},
		"testdata/watch-indented.txt": {{Index: 43, Complete: true, Destinations: []engine.Destination{odd}},
			{Index: 44, Destinations: []engine.Destination{two}}},
	} {
		listener := wiretest.Listen(t)
		front := New(configure(t, listener.Addr().String(), "-"), nil)
		done := make(chan bool, 1)
		go runExchange(t, listener, file, done)
		var got []engine.EndpointList
		if err := front.Watch(context.Background(), 41, func(p engine.EndpointList) { got = append(got, p) }); err == nil || errors.Is(err,
			engine.ErrWatchTimeout) {
			t.Errorf("%s: the watch ended with %v", file, err)
		}
		<-done
		if d := cmp.Diff(want, got, cmpopts.IgnoreUnexported(engine.Destination{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", file, d)
		}
	}
}

// TestWatch_SilentOrBroken_AreDistinguished: an established watch that is then silent ends with ErrWatchTimeout, also if it stops in the
// middle of a list and only empty lines follow, which are no heartbeats there.
func TestWatch_SilentOrBroken_AreDistinguished(t *testing.T) {
	for name, text := range map[string]string{"nothing": "\n", "half a line": `{"index":43,"endpo`, "half a list": "{\"index\":43,\n\n\n\n"} {
		listener := wiretest.Listen(t)
		cfg := configure(t, listener.Addr().String(), "-")
		cfg.Limits.WatchTimeout = 200 * time.Millisecond
		ended := make(chan struct{})
		go answerOne(listener, func(conn net.Conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + text))
			for connected := name == "half a list"; connected; time.Sleep(10 * time.Millisecond) { // until the reader closes it
				_, err := conn.Write([]byte("\n"))
				connected = err == nil
			}
			<-ended
		})
		err := New(cfg, nil).Watch(t.Context(), 41, func(engine.EndpointList) { t.Errorf("%s: a list is reported, want none", name) })
		if !errors.Is(err, engine.ErrWatchTimeout) {
			t.Errorf("%s: the watch ends with %v, want ErrWatchTimeout", name, err)
		}
		close(ended)
	}
}
