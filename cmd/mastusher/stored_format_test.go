package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/standin"
)

// storedLanes are settings in which the messages of the journal's testdata, which are of the third class, may run more than once.
const storedLanes = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "machine_types": ["club-sites"], "localities": ["a"],
  "allowed": {"max_attempts": 6, "max_open": 100}, "family_info": {"workers": 8}, "lanes": [
  {"name": "order", "effect": "side_effect", "aim": 30000000, "deadline": 60000000, "worth": 1},
  {"name": "match-event", "effect": "token", "group": "all", "memory_span": 60000000, "aim": 30000000, "deadline": 60000000, "worth": 1},
  {"name": "score-state", "effect": "pure", "aim": 30000000, "deadline": 60000000, "worth": 1}]}`

// TestStoredFormat_StartsOnJournalOfEarlierVersion: a relay started on the journal that an earlier version left, as it was appended to,
// with a torn end or compacted, delivers all that was not finished, passes on all outstanding notices, and keeps what it can't send.
func TestStoredFormat_StartsOnJournalOfEarlierVersion(t *testing.T) {
	for _, name := range []string{"appended.log", "torn.log", "compacted.log"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stored, err := os.ReadFile(filepath.Join("../../internal/relay/journal/testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			state, file := filepath.Join(dir, "state"), filepath.Join(dir, "config.json")
			if err = os.Mkdir(state, 0o700); err != nil {
				t.Fatal(err)
			}
			if err = os.WriteFile(filepath.Join(state, "journal.log"), stored, 0o600); err != nil {
				t.Fatal(err)
			}
			endpoints, err := standin.NewEndpoints(1, func(standin.Arrival) httpwire.Answer { return httpwire.Answer{Status: 200} })
			if err != nil {
				t.Fatal(err)
			}
			list := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, endpoints.Entry(0, 300, "club-sites", "a", "ready"))
			discovery, err := standin.NewDiscovery(list)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { discovery.Close(); endpoints.Close() })
			address, err := standin.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			text := fmt.Sprintf(`{"name": "t", "listen": %q, "discovery": %q, "state": %q, "known": %s, %s}`, address, discovery.Address, state, list, storedLanes)
			if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			d := &daemon{address: address, discovery: discovery.Address, known: list}
			d.start(t, file)

			var got []string
			for _, a := range endpoints.AwaitArrivals(5, 20*time.Second) {
				got = append(got, fmt.Sprintf("%s key=%s body=%s desk=%q empty=%q", a.ID, a.Key, a.Body, a.Header["X-Desk"], a.Header["X-Empty"]))
			}
			slices.Sort(got)
			var want []string
			for _, id := range []string{"accepted", "in-flight", "never-ran", "ran", "retried"} {
				want = append(want, fmt.Sprintf(`%s key=key-%s body=body of %s desk=["sports"] empty=[""]`, id, id, id))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("delivered (-want +got)\n%s", diff)
			}
			wantNotices := map[string]string{"handed-back": "handed_back", "given-up": "given_up", "delivered": "given_up"}
			var notices map[string]string
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if notices, _ = discovery.Notices(); len(notices) >= len(wantNotices) {
					break
				}
			}
			if diff := cmp.Diff(wantNotices, notices); diff != "" {
				t.Errorf("notices (-want +got)\n%s", diff)
			}
			_ = d.Process.Signal(syscall.SIGTERM)
			if err = d.Wait(); err != nil {
				t.Errorf("the relay ends with %v", err)
			}
			l, err := journal.Open(state, 3<<20)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			kept := []*journal.Entry{{Seq: 9, ID: "plain", Front: "activitypub", Tenant: -1, Deadline: time.UnixMicro(1_700_000_000_000_000), Body: []byte{}}}
			if diff := cmp.Diff(kept, l.Entries(), cmpopts.IgnoreUnexported(journal.Entry{})); diff != "" {
				t.Errorf("kept in the journal (-want +got)\n%s", diff)
			}
		})
	}
}
