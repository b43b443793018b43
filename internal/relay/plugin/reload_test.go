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

// TestReload_NewVersion_TakesOverBetweenMessages: a new version takes over between messages; a faulty one changes nothing, and the same again is kept.
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
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if st, err := ReadStatus(s.config()); err != nil || (st.Error == "") != (c.key == "") || len(st.Plugins) != 2 {
			t.Errorf("%s: status %+v, %v", c.name, st, err)
		}
	}
	if versionAt(h, 1) != unchanged {
		t.Error("a plug-in that has not changed was loaded anew")
	}
}

// TestReload_UnderLoad_LosesNothing: ten reloads in a row while messages and answers are under way; none is lost, each is shaped
// by one whole generation, and what is replaced is closed.
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
		t.Errorf("the last version is not there (-want +got)\n%s", d)
	}
	h.Close()
	if n := h.memories.used.Load(); n != 0 {
		t.Errorf("%d bytes of versions that were replaced are still held", n)
	}
}

// sendUntil has messages of a partner arrive and end, one after another. Each is shaped by one generation of two plug-ins
// that set headers of one value.
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
			t.Errorf("got %+v", r)
		}
		if len(m.ExtraHeaders) == 4 && m.ExtraHeaders[1] != m.ExtraHeaders[3] {
			t.Errorf("shaped by two generations: %v", m.ExtraHeaders)
		}
		h.OnEnd("platform", engine.End{ID: m.ID, Partner: partner, Result: "delivered"})
	}
}

// TestStore_OutlivesVersionsAndProcess: the store outlives versions, and with a folder the process.
func TestStore_OutlivesVersionsAndProcess(t *testing.T) {
	s := newSetup(t).with("p", wasmtest.Counts("n"), "")
	h := s.host()
	h.OnArrival("platform", message("a", 7))
	s.writeModule("p", emptyPhase(1))
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
