package plugin

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/plugin/wasmtest"
)

// TestReload_NewVersion_TakesOverBetweenMessages: after a reload messages are handled by the new version. A faulty version changes
// nothing, and an unchanged plug-in is not loaded again.
func TestReload_NewVersion_TakesOverBetweenMessages(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Header("X-Desk", "one"), "").with("q", wasmtest.Counts("n"), "")
	h := s.host()
	desk := func() string {
		m := message("m", 7)
		h.OnArrival("platform", m)
		return strings.Join(m.ExtraHeaders, ":")
	}
	unchanged := versionAt(h, 1)
	for _, c := range []struct {
		name   string
		module []byte
		key    string // in the error
		want   string
	}{
		{"another version", wasmtest.Header("X-Desk", "two"), "", "X-Desk:two"},
		{"no module", []byte("broken"), "plugins.0", "X-Desk:two"},
		{"ABI of a later relay", wasmtest.Later(), "plugins.0", "X-Desk:two"},
		{"ABI 1", wasmtest.ABI1(0, 0), "", ""},
		{"back to ABI 2", wasmtest.Header("X-Desk", "three"), "", "X-Desk:three"},
	} {
		s.writeModule("p", c.module)
		err := h.Reload(s.config())
		var key *policy.KeyError
		if errors.As(err, &key); (key == nil) != (c.key == "") || key != nil && (key.Source != "config" || key.Key != c.key) {
			t.Errorf("%s: error %v, want one that names %q", c.name, err, c.key)
		}
		if got := desk(); got != c.want {
			t.Errorf("%s: headers %q, want %q", c.name, got, c.want)
		}
		if st, err := ReadStatus(s.config()); err != nil || (st.Error == "") != (c.key == "") || len(st.Plugins) != 2 {
			t.Errorf("%s: status %+v, %v; want two plug-ins, and an error exactly if the load failed", c.name, st, err)
		}
	}
	if versionAt(h, 1) != unchanged {
		t.Error("an unchanged plug-in was loaded again")
	}
}

// TestReload_UnderLoad_LosesNothing: during ten reloads in a row every message is accepted and handled by a single generation, and
// replaced versions are closed.
func TestReload_UnderLoad_LosesNothing(t *testing.T) {
	const reloads = 10
	s := newSetup(t).with("p", wasmtest.Header("X-A", "0"), "").with("q", wasmtest.Header("X-B", "0"), "")
	h := s.host()
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for partner := range 4 {
		senders.Go(func() { sendUntil(t, h, partner, stop) })
	}
	for i := range reloads {
		s.writeModule("p", wasmtest.Header("X-A", fmt.Sprint(i+1)))
		s.writeModule("q", wasmtest.Header("X-B", fmt.Sprint(i+1)))
		if err := h.Reload(s.config()); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	senders.Wait()
	m := message("last", 7)
	h.OnArrival("platform", m)
	last := fmt.Sprint(reloads)
	if d := cmp.Diff([]string{"X-A", last, "X-B", last}, m.ExtraHeaders); d != "" {
		t.Errorf("headers after the last reload (-want +got)\n%s", d)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes are still in use after Close, want 0", n)
	}
}

// sendUntil passes messages for a partner to the host one after another, until stop is closed. Both plug-ins of a generation set a
// header to the same value, so that different values show a message handled by two generations.
func sendUntil(t *testing.T, h *Host, partner int, stop chan struct{}) {
	t.Helper()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		m := message(fmt.Sprint(partner, i), partner)
		if r := h.OnArrival("platform", m); r.Verdict != engine.Accepted {
			t.Errorf("got %+v, want the message accepted", r)
		}
		if len(m.ExtraHeaders) == 4 && m.ExtraHeaders[1] != m.ExtraHeaders[3] {
			t.Errorf("headers of two generations: %v", m.ExtraHeaders)
		}
		h.OnEnd("platform", engine.End{ID: m.ID, Partner: partner, Result: "delivered"})
	}
}

// TestStore_OutlivesVersionsAndProcess: a plug-in's store keeps its entries when the version is replaced, and over a restart of the relay.
func TestStore_OutlivesVersionsAndProcess(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Counts("n"), "")
	h := s.host()
	h.OnArrival("platform", message("a", 7))
	s.writeModule("p", passingWithMask(1))
	if err := h.Reload(s.config()); err != nil {
		t.Fatal(err)
	}
	s.writeModule("p", wasmtest.Counts("n"))
	if err := h.Reload(s.config()); err != nil {
		t.Fatal(err)
	}
	h.OnArrival("platform", message("b", 7))
	h.Close()
	restarted := s.host()
	restarted.OnArrival("platform", message("c", 7))
	if v, _ := restarted.stores["p"].Begin(time.Now()).Get("n"); string(v) != "\x03" {
		t.Errorf("the store holds %q, want 3", v)
	}
}
