package activitypub

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/wiretest"
)

// settings has a class that is deduplicated by key within 4 s and one that is safe to repeat.
const settings = `{"allowed": {"cancel": true, "max_attempts": 6, "max_open": 4000, "max_retry_after": 3000000, "retry_after": true},
  "family_info": {"kind_apart": [true], "per_call": [1], "workers": 64}, "peers_total": 1, "round": 1000,
  "lanes": [{"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000,
    "deadline": 5000000, "worth": 1}, {"name": "score-state", "effect": "pure", "aim": 100000, "deadline": 300000, "worth": 3}],
  "localities": ["a"], "machine_types": ["club"]}`

var (
	clientKey = ed25519.NewKeyFromSeed(make([]byte, 32))
	client    = Signer{KeyID: "http://client.example/actor#main-key", Key: clientKey}
)

// remoteInbox is the inbox of another system, which checks the signatures of the requests to it.
type remoteInbox struct {
	address string
	keys    keyring
}

// newInbox serves an inbox until the end of the test.
func newInbox(t *testing.T, handle func(id string, body gjson.Result) httpwire.Answer) *remoteInbox {
	t.Helper()
	listener := wiretest.Listen(t)
	inbox := &remoteInbox{address: listener.Addr().String(), keys: keyring{}}
	serve(t, listener, func(request *httpwire.Request) httpwire.Answer {
		if _, err := Verify(request, inbox.keys, time.Now(), time.Minute); err != nil {
			t.Errorf("request with an invalid signature: %v", err)
		}
		body := gjson.ParseBytes(request.Body)
		return handle(body.Get("id").String(), body)
	})
	return inbox
}

// serve runs a server until the end of the test.
func serve(t *testing.T, listener net.Listener, handle httpwire.Handler) {
	t.Helper()
	limits := &config.Limits{HeadSize: 16 << 10, BodySize: 64 << 10, ClientConnections: 400, FrontIdle: time.Minute, FrontRead: time.Minute,
		FrontWrite: time.Minute}
	server := httpwire.NewServer(limits, handle)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close(time.Minute) })
}

// start runs a relay with this front, a partner 'herald' with the inboxes, and a client that receives answers at the inbox answers. It
// returns the front and its address.
func start(t *testing.T, answers *remoteInbox, inboxes ...*remoteInbox) (*Front, string) {
	t.Helper()
	dir := t.TempDir()
	private, _ := x509.MarshalPKCS8PrivateKey(clientKey)
	public, _ := x509.MarshalPKIXPublicKey(clientKey.Public())
	for name, block := range map[string]*pem.Block{"key": {Type: "PRIVATE KEY", Bytes: private}, "pub": {Type: "PUBLIC KEY", Bytes: public}} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var urls []string
	for _, inbox := range append(inboxes, answers) {
		inbox.keys["http://relay.example/actor#main-key"] = clientKey.Public()
		urls = append(urls, "http://"+inbox.address+"/inbox")
	}
	text, _ := json.Marshal(map[string]any{"state": dir, "settings": json.RawMessage(settings), "activitypub": map[string]any{
		"listen": "-", "actor": "http://relay.example/actor", "key_file": filepath.Join(dir, "key"),
		"classes":  map[string]string{"Create": "match-event", "Update": "score-state"},
		"partners": []any{map[string]any{"name": "herald", "dest": 7, "kind": "club", "zone": "a", "inboxes": urls[:len(inboxes)]}},
		"clients": []any{map[string]any{"actor": "http://client.example/actor", "key_file": filepath.Join(dir, "pub"),
			"inbox": urls[len(inboxes)]}}}})
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	core, err := engine.New(cfg, log, logger, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	front, destinations, err := New(cfg, core, logger)
	if err != nil {
		t.Fatal(err)
	}
	core.AddFront(Name, front, destinations)
	core.Restore(time.Now())
	ended := make(chan bool)
	go func() { core.Run(); ended <- true }()
	listener := wiretest.Listen(t)
	serve(t, listener, front.Handle)
	t.Cleanup(func() { core.Drain(); <-core.Drained(); core.Stop(); <-ended })
	return front, listener.Addr().String()
}

// activity returns an activity of the client.
func activity(kind, id string) string {
	return fmt.Sprintf(`{"id":"%s","type":"%s","actor":"http://client.example/actor","object":"goal"}`, id, kind)
}

// post submits an activity and returns the status of the response; 0: there was none.
func post(t *testing.T, conn net.Conn, reader *httpwire.Reader, body string) int {
	t.Helper()
	header, err := client.Headers("POST", "relay.example", "/inbox/herald", []byte(body), time.Now())
	if err != nil {
		t.Error(err)
	}
	_, _ = conn.Write(httpwire.AppendRequest(nil, "POST", "/inbox/herald", "relay.example", header, []byte(body)))
	answer, err := reader.ReadResponse()
	if err != nil {
		t.Error(err)
		return 0
	}
	return answer.Status
}

// TestFront_LateInbox_OneFinalAnswer covers an inbox that accepts a message, or rejects its signature, only after the message's deadline:
// the client gets one final answer, and the inbox gets the message only once.
func TestFront_LateInbox_OneFinalAnswer(t *testing.T) {
	for _, status := range []int{202, 401} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			release, answers := make(chan struct{}), make(chan string, 9)
			var seen atomic.Int32
			slow := newInbox(t, func(string, gjson.Result) httpwire.Answer {
				seen.Add(1)
				<-release
				return httpwire.Answer{Status: status}
			})
			answered := newInbox(t, func(_ string, body gjson.Result) httpwire.Answer {
				answers <- body.Get("type").String() + " " + body.Get("object").String() + " " + body.Get("summary").String()
				return httpwire.Answer{Status: 202}
			})
			_, address := start(t, answered, slow)
			conn := wiretest.Dial(t, address)
			if got := post(t, conn, httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14}), activity("Update", "x:1")); got != 202 {
				t.Fatalf("status %d, want 202", got)
			}
			if got, want := <-answers, "Reject x:1 handed_back"; got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
			close(release)
			if len(answers) != 0 || seen.Load() != 1 {
				t.Errorf("%d more answers, want 0; %d calls at the inbox, want 1", len(answers), seen.Load())
			}
		})
	}
}

// activityLog records the requests to the partners' inboxes and the client's inbox.
type activityLog struct {
	mu            sync.Mutex
	calls         int                  // at the partners' inboxes
	effects       map[string]time.Time // when each activity took effect first, by id
	repeated      int                  // repeated effects after the deduplication window of an activity
	notifications int                  // answers posted to the client's inbox
	answers       map[string]int       // by id of the activity
	rejected      map[string]bool      // by id of the activity: the last answer was a rejection
	answered      chan struct{}        // an element for each answer
}

// receive is a partner's inbox, which throttles some calls and fails others after they took effect.
func (log *activityLog) receive(id string, _ gjson.Result) httpwire.Answer {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.calls++
	if log.calls%97 == 0 {
		return httpwire.Answer{Status: 503, Header: []string{"Retry-After", "0.01"}}
	}
	if first, ok := log.effects[id]; !ok {
		log.effects[id] = time.Now()
	} else if time.Since(first) >= 4*time.Second {
		log.repeated++
	}
	if log.calls%61 == 0 { // it took effect, but the answer does not say so
		return httpwire.Answer{Status: 500}
	}
	return httpwire.Answer{Status: 202}
}

// notify is the client's inbox, which fails for some answers: these stay outstanding.
func (log *activityLog) notify(_ string, body gjson.Result) httpwire.Answer {
	log.mu.Lock()
	log.notifications++
	refuse := log.notifications%17 == 0
	log.mu.Unlock()
	if refuse {
		return httpwire.Answer{Status: 500}
	}
	log.answer(body.Get("object").String(), body.Get("type").String() == "Reject")
	return httpwire.Answer{Status: 202}
}

// answer records an answer to an activity.
func (log *activityLog) answer(id string, rejected bool) {
	log.mu.Lock()
	log.answers[id]++
	log.rejected[id] = rejected
	log.mu.Unlock()
	log.answered <- struct{}{}
}

// TestFront_ThousandActivities_OneEndEach submits a thousand match events. The partner's inboxes throttle some calls and fail others after
// they took effect. The client gets one answer to each event, and no event takes effect again after its deduplication window.
func TestFront_ThousandActivities_OneEndEach(t *testing.T) {
	const events, posters = 1000, 8
	log := &activityLog{effects: map[string]time.Time{}, answers: map[string]int{}, rejected: map[string]bool{},
		answered: make(chan struct{}, 4*events)}
	_, address := start(t, newInbox(t, log.notify), newInbox(t, log.receive), newInbox(t, log.receive))
	var posting sync.WaitGroup
	for poster := range posters {
		posting.Add(1)
		go func() {
			defer posting.Done()
			conn := wiretest.Dial(t, address)
			reader := httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14, BodySize: 1 << 14})
			for i := poster; i < events; i += posters {
				switch status := post(t, conn, reader, activity("Create", eventID(i))); status {
				case 200, 202:
				case 429: // this response is the final answer
					log.answer(eventID(i), true)
				default:
					t.Errorf("status %d", status)
				}
			}
		}()
	}
	posting.Wait()
	for range events {
		<-log.answered
	}
	log.check(t, events)
}

// eventID returns the id of a test's activity.
func eventID(i int) string { return fmt.Sprint("x:", i) }

// check fails the test unless each of the events has had exactly one answer, and a correct one.
func (log *activityLog) check(t *testing.T, events int) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	missing, extra, lost := 0, len(log.answered), 0
	for i := range events {
		id := eventID(i)
		if log.answers[id] != 1 {
			missing++
		}
		if _, ok := log.effects[id]; !ok && !log.rejected[id] {
			lost++
		}
	}
	t.Logf("%d of %d events took effect, in %d calls", len(log.effects), events, log.calls)
	if missing+extra+log.repeated+lost != 0 {
		t.Errorf("of %d events %d do not have exactly one answer, %d answers are surplus, %d took effect again after the window, "+
			"%d were reported as delivered but did not take effect", events, missing, extra, log.repeated, lost)
	}
}

// TestMakeKey_SignsAndVerifies: a signature by a key from MakeKey verifies with its public key.
func TestMakeKey_SignsAndVerifies(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := MakeKey(file); err != nil {
		t.Fatal(err)
	}
	if err := MakeKey(file); err == nil {
		t.Error("MakeKey overwrote a key")
	}
	private, err := ReadKey(file)
	if err != nil {
		t.Fatal(err)
	}
	public, err := ReadPublicKey(file + ".pub")
	if err != nil {
		t.Fatal(err)
	}
	signer := Signer{KeyID: "k", Key: private}
	header, err := signer.Headers("POST", "h", "/", nil, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	request := &httpwire.Request{Method: "POST", Path: "/", Header: map[string][]string{"Host": {"h"}}}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	if id, err := Verify(request, keyring{"k": public}, time.Now(), time.Minute); err != nil || id != "k" {
		t.Errorf("key id %q, error %v; want k", id, err)
	}
}

// TestMakeKey_PublicHalfIsThereAlready_LeavesNoPrivateKey: if MakeKey fails it changes nothing, so that it can be called again.
func TestMakeKey_PublicHalfIsThereAlready_LeavesNoPrivateKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file+".pub", []byte("somebody's"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := MakeKey(file); !errors.Is(err, fs.ErrExist) {
		t.Fatalf("error %v, want fs.ErrExist", err)
	}
	if _, err := os.Stat(file); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("private key file: error %v, want fs.ErrNotExist", err)
	}
	if text, err := os.ReadFile(file + ".pub"); err != nil || string(text) != "somebody's" {
		t.Errorf("the existing public key file holds %q, error %v; want it unchanged", text, err)
	}
}

// TestGuard_RewrittenActivity_StaysTheSame: a rewritten body is permitted only if every JSON parser reads it as the same activity by the
// same actor.
func TestGuard_RewrittenActivity_StaysTheSame(t *testing.T) {
	before := []byte(`{"id":"x","type":"Create","actor":"a","n":1}`)
	for after, want := range map[string]bool{
		`{"id":"x","type":"Create","actor":"a"}`:                                  true,
		`{"n":2,"id":"x","type":"Create","actor":"a","m":{"id":"y"}}`:             true,
		`{"id":"y","type":"Create","actor":"a"}`:                                  false,
		`{"id":"x","type":"Delete","actor":"a"}`:                                  false,
		`{"id":"x","type":"Create","actor":"b"}`:                                  false,
		`{"id":"x","type":"Create"}`:                                              false,
		`{"id":"x","type":"Create","actor":"a","id":"y"}`:                         false,
		`{"id":"x","type":"Create","actor":"a","endTime":"2030-01-01T00:00:00Z"}`: false,
		`[{"id":"x","type":"Create","actor":"a"}]`:                                false,
		`{"id":"x"`: false,
		``:          false,
	} {
		if got := PluginHeaders.Body(before, []byte(after)); got != want {
			t.Errorf("%s: %v, want %v", after, got, want)
		}
	}
}
