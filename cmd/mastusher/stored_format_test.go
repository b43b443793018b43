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

// storedSettings are settings in which the messages of the journal's testdata, which belong to the third class, may run more than once.
const storedSettings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "machine_types": ["club-sites"], "localities": ["a"],
  "allowed": {"max_attempts": 6, "max_open": 100}, "family_info": {"workers": 8}, "lanes": [
  {"name": "order", "effect": "side_effect", "aim": 30000000, "deadline": 60000000, "worth": 1},
  {"name": "match-event", "effect": "token", "group": "all", "memory_span": 60000000, "aim": 30000000, "deadline": 60000000, "worth": 1},
  {"name": "score-state", "effect": "pure", "aim": 30000000, "deadline": 60000000, "worth": 1}]}`

// TestStoredFormat_StartsOnJournalOfEarlierVersion starts a relay on the journal of an earlier version: as appended, with a truncated
// end, and compacted. The relay must deliver all unfinished messages, send all pending notices, and keep what it cannot send.
func TestStoredFormat_StartsOnJournalOfEarlierVersion(t *testing.T) {
	for _, name := range []string{"appended.log", "torn.log", "compacted.log"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := newStoredRelay(t, filepath.Join("../../internal/relay/journal/testdata", name))
			relay.start(t, relay.file)
			if d := cmp.Diff(storedDeliveries(), relay.awaitDeliveries(len(storedDeliveries()))); d != "" {
				t.Errorf("delivered (-want +got)\n%s", d)
			}
			wantNotices := map[string]string{"handed-back": "handed_back", "given-up": "given_up", "delivered": "given_up"}
			if d := cmp.Diff(wantNotices, relay.awaitNotices(len(wantNotices))); d != "" {
				t.Errorf("notices (-want +got)\n%s", d)
			}
			_ = relay.Process.Signal(syscall.SIGTERM)
			if err := relay.Wait(); err != nil {
				t.Errorf("the relay ended with %v", err)
			}
			want := []*journal.Entry{{Seq: 9, ID: "plain", Front: "activitypub", Tenant: -1, Deadline: time.UnixMicro(1_700_000_000_000_000), Body: []byte{}}}
			if d := cmp.Diff(want, relay.journalEntries(t), cmpopts.IgnoreUnexported(journal.Entry{})); d != "" {
				t.Errorf("left in the journal (-want +got)\n%s", d)
			}
		})
	}
}

// storedDeliveries returns the messages of the journal's testdata that must be delivered, as formatted by awaitDeliveries.
func storedDeliveries() (deliveries []string) {
	for _, id := range []string{"accepted", "in-flight", "never-ran", "ran", "retried"} {
		deliveries = append(deliveries, fmt.Sprintf(`%s key=key-%s body=body of %s desk=["sports"] empty=[""]`, id, id, id))
	}
	return deliveries
}

// storedRelay is a relay with the journal of an earlier version, and the endpoints and the platform that it talks to.
type storedRelay struct {
	*daemon
	dir, file string
	endpoints *standin.Endpoints
	platform  *standin.Discovery
}

// newStoredRelay sets up a relay with a copy of a journal, without starting it.
func newStoredRelay(t *testing.T, journalFile string) *storedRelay {
	t.Helper()
	stored, err := os.ReadFile(journalFile)
	if err != nil {
		t.Fatal(err)
	}
	endpoints, err := standin.NewEndpoints(1, func(standin.Arrival) httpwire.Answer { return httpwire.Answer{Status: 200} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoints.Close)
	endpointList := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, endpoints.Entry(0, 300, "club-sites", "a", "ready"))
	platform, err := standin.NewDiscovery(endpointList)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	relay := &storedRelay{daemon: &daemon{address: freeAddress(t), discovery: platform.Address, endpointList: endpointList}, dir: t.TempDir(),
		endpoints: endpoints, platform: platform}
	relay.file, _ = relay.writeConfig(t, relay.dir, storedSettings)
	writeFile(t, filepath.Join(relay.stateDir(), "journal.log"), stored)
	return relay
}

func (r *storedRelay) stateDir() string { return filepath.Join(r.dir, "state") }

// awaitDeliveries waits until n messages have arrived, and returns them sorted.
func (r *storedRelay) awaitDeliveries(n int) (deliveries []string) {
	for _, a := range r.endpoints.AwaitArrivals(n, 20*time.Second) {
		deliveries = append(deliveries, fmt.Sprintf("%s key=%s body=%s desk=%q empty=%q", a.ID, a.Key, a.Body, a.Header["X-Desk"], a.Header["X-Empty"]))
	}
	slices.Sort(deliveries)
	return deliveries
}

// awaitNotices waits for up to 20 s until n notices have arrived, and returns them by message ID.
func (r *storedRelay) awaitNotices(n int) (notices map[string]string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if notices, _ = r.platform.Notices(); len(notices) >= n {
			break
		}
	}
	return notices
}

// journalEntries returns the messages in the journal of a relay that has ended.
func (r *storedRelay) journalEntries(t *testing.T) []*journal.Entry {
	t.Helper()
	log, err := journal.Open(r.stateDir(), 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	return log.Entries()
}
