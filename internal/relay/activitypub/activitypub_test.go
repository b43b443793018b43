package activitypub

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/wiretest"
)

const settings = `{"allowed": {"cancel": true, "max_attempts": 6, "max_open": 4000, "max_retry_after": 3000000, "retry_after": true},
  "family_info": {"kind_apart": [true], "per_call": [1], "workers": 64}, "peers_total": 1, "round": 1000,
  "lanes": [{"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000,
    "deadline": 5000000, "worth": 1}, {"name": "score-state", "effect": "pure", "aim": 100000, "deadline": 300000, "worth": 3}],
  "localities": ["a"], "machine_types": ["club"]}`

var (
	clientKey = ed25519.NewKeyFromSeed(make([]byte, 32))
	client    = Signer{KeyID: "http://client.example/actor#main-key", Key: clientKey}
)

// standIn is a system outside: an inbox that checks the signature of what it gets.
type standIn struct {
	address string
	keys    keyring
}

func stand(t *testing.T, handle func(id string, body gjson.Result) httpwire.Answer) *standIn {
	l := wiretest.Listen(t)
	in := &standIn{address: l.Addr().String(), keys: keyring{}}
	serve(t, l, func(q *httpwire.Request) httpwire.Answer {
		if _, err := Verify(q, in.keys, time.Now(), time.Minute); err != nil {
			t.Errorf("a request whose signature is not good: %v", err)
		}
		body := gjson.ParseBytes(q.Body)
		return handle(body.Get("id").String(), body)
	})
	return in
}

func serve(t *testing.T, l net.Listener, handle httpwire.Handler) {
	lim := &config.Limits{HeadSize: 16 << 10, BodySize: 64 << 10, ClientConnections: 400, FrontIdle: time.Minute, FrontRead: time.Minute, FrontWrite: time.Minute}
	s := httpwire.NewServer(lim, handle)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close(time.Minute) })
}

// start runs a relay with this front, a partner 'herald' and a client; it returns the front and its address.
func start(t *testing.T, answers *standIn, inboxes ...*standIn) (*Front, string) {
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
	for _, in := range append(inboxes, answers) {
		in.keys["http://relay.example/actor#main-key"] = clientKey.Public()
		urls = append(urls, "http://"+in.address+"/inbox")
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
	jour, err := journal.Open(cfg.State, cfg.Limits.DiskBytes)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	core, err := engine.New(cfg, jour, log, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f, pool, err := New(cfg, core, log)
	if err != nil {
		t.Fatal(err)
	}
	core.AddFront(Name, f, pool)
	core.Restore(time.Now())
	ended := make(chan bool)
	go func() { core.Run(); ended <- true }()
	l := wiretest.Listen(t)
	serve(t, l, f.Handle)
	t.Cleanup(func() { core.Drain(); <-core.Drained(); core.Stop(); <-ended })
	return f, l.Addr().String()
}

func activity(kind, id string) string {
	return fmt.Sprintf(`{"id":"%s","type":"%s","actor":"http://client.example/actor","object":"goal"}`, id, kind)
}

// TestInbox_BadInput_HasItsStatus: each kind of bad input gets a status that says what is wrong, and nothing is taken on.
func TestInbox_BadInput_HasItsStatus(t *testing.T) {
	good := activity("Create", "http://client.example/1")
	for _, c := range []struct {
		name, path, body string
		change           func(h []string) []string // of the signed headers
		status, why      string
	}{
		{"get", "", good, nil, "405 Method Not Allowed", "want POST"},
		{"unknown destination", "/inbox/nobody", good, nil, "404 Not Found", "no such inbox"},
		{"not an activity", "", good, set("Content-Type", "text/plain"), "415 Unsupported Media Type", "want " + contentType},
		{"unsigned", "", good, set("Signature", ""), "401 Unauthorized", "the request is not signed"},
		{"stranger", "", good, set("Signature", `keyId="x"`), "401 Unauthorized", "the signature's key is not known"},
		{"part unsigned", "", good, set("Signature", `keyId="`+client.KeyID+`",headers="date"`), "401 Unauthorized",
			"the signature does not cover (request-target)"},
		{"too old", "", good, set("Date", "Mon, 02 Jan 2006 15:04:05 GMT"), "401 Unauthorized",
			"the date is too far from this relay's clock"},
		{"wrong digest", "", good, set("Digest", digestOf(nil)), "400 Bad Request", "the digest is not that of the body"},
		{"signed by another", "", good, set("Signature", `keyId="`+client.KeyID+`",headers="(request-target) host date digest",signature="AAAA"`),
			"401 Unauthorized", "the signature is wrong"},
		{"not JSON", "", `{"id":`, nil, "400 Bad Request", "the body is not JSON"},
		{"no id", "", `{"type":"Create"}`, nil, "400 Bad Request", "the activity has no usable id"},
		{"another's activity", "", strings.Replace(good, "client.ex", "other.ex", 2), nil, "403 Forbidden",
			"the activity's actor does not own the key"},
		{"no class", "", activity("Like", "x"), nil, "422 Unprocessable Content", "no class for this type of activity"},
		{"bad time", "", strings.Replace(good, `"object"`, `"endTime":"soon","object"`, 1), nil, "400 Bad Request", "endTime can't be read"},
		{"too late", "", strings.Replace(good, `"object"`, `"endTime":"2006-01-02T15:04:05Z","object"`, 1), nil,
			"422 Unprocessable Content", "endTime has passed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			none := stand(t, func(id string, _ gjson.Result) httpwire.Answer {
				t.Errorf("%s was taken on", id)
				return httpwire.Answer{Status: 202}
			})
			f, at := start(t, none, none)
			method, path := "POST", c.path
			if path == "" {
				path = "/inbox/herald"
			}
			if c.name == "get" {
				method = "GET"
			}
			h, _ := client.Headers(method, "relay.example", path, []byte(c.body), time.Now())
			if c.change != nil {
				h = c.change(h)
			}
			var lines []string
			for i := 0; i < len(h); i += 2 {
				lines = append(lines, "> "+h[i]+": "+h[i+1])
			}
			wiretest.Run(t, wiretest.Dial(t, at), "testdata/inbox.txt", "{method}", method, "{path}", path,
				"{headers}", strings.Join(lines, "\n"), "{length}", strconv.Itoa(len(c.body)), "{body}", c.body,
				"{status}", c.status, "{why}", c.why)
			if len(f.ended) != 0 {
				t.Error("it has had an end")
			}
		})
	}
}

func set(name, value string) func([]string) []string {
	return func(h []string) []string {
		for i := range h {
			if h[i] == name {
				h[i+1] = value
			}
		}
		return h
	}
}

// post hands in an activity and returns the immediate answer's status.
func post(t *testing.T, conn net.Conn, r *httpwire.Reader, body string) int {
	t.Helper()
	h, err := client.Headers("POST", "relay.example", "/inbox/herald", []byte(body), time.Now())
	if err != nil {
		t.Error(err)
	}
	_, _ = conn.Write(httpwire.AppendRequest(nil, "POST", "/inbox/herald", "relay.example", h, []byte(body)))
	p, err := r.ReadResponse()
	if err != nil {
		t.Error(err)
		return 0
	}
	return p.Status
}

// TestFront_LateInbox_OneFinalAnswer covers an inbox that accepts but answers only when the message's time is up, and one that refuses
// the signature only then: one final answer, one copy out at a time, and none again once it has been given.
func TestFront_LateInbox_OneFinalAnswer(t *testing.T) {
	for _, status := range []int{202, 401} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			release, answers := make(chan struct{}), make(chan string, 9)
			var seen atomic.Int32
			slow := stand(t, func(string, gjson.Result) httpwire.Answer {
				seen.Add(1)
				<-release
				return httpwire.Answer{Status: status}
			})
			back := stand(t, func(_ string, b gjson.Result) httpwire.Answer {
				answers <- b.Get("type").String() + " " + b.Get("object").String() + " " + b.Get("summary").String()
				return httpwire.Answer{Status: 202}
			})
			_, at := start(t, back, slow)
			conn := wiretest.Dial(t, at)
			if got := post(t, conn, httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14}), activity("Update", "x:1")); got != 202 {
				t.Fatalf("status %d", got)
			}
			if got, want := <-answers, "Reject x:1 handed_back"; got != want {
				t.Errorf("answer %q, want %q", got, want)
			}
			close(release)
			if len(answers) != 0 || seen.Load() != 1 {
				t.Errorf("%d more answers, %d calls at the inbox", len(answers), seen.Load())
			}
		})
	}
}

// TestFront_ThousandActivities_OneEndEach hands in a thousand match events. The partner's inboxes refuse some, fail some after they took
// effect, and lose some; every client hears one end of each, and nothing takes effect twice outside its window.
func TestFront_ThousandActivities_OneEndEach(t *testing.T) {
	const events, posters = 1000, 8
	var mu sync.Mutex
	calls, told, effects := 0, 0, map[string]time.Time{}
	twice := 0
	handle := func(id string, _ gjson.Result) httpwire.Answer {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls%97 == 0 {
			return httpwire.Answer{Status: 503, Header: []string{"Retry-After", "0.01"}}
		}
		if first, ok := effects[id]; !ok {
			effects[id] = time.Now()
		} else if time.Since(first) >= 4*time.Second {
			twice++
		}
		if calls%61 == 0 { // it took effect, but the answer says nothing of that
			return httpwire.Answer{Status: 500}
		}
		return httpwire.Answer{Status: 202}
	}
	answers, all := map[string]int{}, make(chan struct{}, 4*events)
	rejected := map[string]bool{}
	back := stand(t, func(_ string, b gjson.Result) httpwire.Answer {
		mu.Lock()
		defer mu.Unlock()
		if told++; told%17 == 0 { // the answer was not taken: it is owed still
			return httpwire.Answer{Status: 500}
		}
		id := b.Get("object").String()
		answers[id]++
		rejected[id] = b.Get("type").String() == "Reject"
		all <- struct{}{}
		return httpwire.Answer{Status: 202}
	})
	_, at := start(t, back, stand(t, handle), stand(t, handle))
	var posting sync.WaitGroup
	for p := range posters {
		posting.Add(1)
		go func() {
			defer posting.Done()
			conn := wiretest.Dial(t, at)
			r := httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14, BodySize: 1 << 14})
			for i := p; i < events; i += posters {
				id := fmt.Sprint("x:", i)
				if got := post(t, conn, r, activity("Create", id)); got == 429 { // that is its one answer
					mu.Lock()
					answers[id]++
					rejected[id] = true
					mu.Unlock()
					all <- struct{}{}
				} else if got != 202 && got != 200 {
					t.Errorf("status %d", got)
				}
			}
		}()
	}
	posting.Wait()
	for range events {
		<-all
	}
	mu.Lock()
	defer mu.Unlock()
	missing, extra, silent := 0, len(all), 0
	for i := range events {
		id := fmt.Sprint("x:", i)
		if answers[id] != 1 {
			missing++
		}
		if _, ok := effects[id]; !ok && !rejected[id] {
			silent++
		}
	}
	t.Logf("%d of %d events took effect, in %d calls", len(effects), events, calls)
	if missing+extra+twice+silent != 0 {
		t.Errorf("of %d events %d have no one answer, %d answers are too many, %d took effect twice outside the window, "+
			"%d were said to be delivered and were not", events, missing, extra, twice, silent)
	}
}

// TestInbox_ActivityComesAgain: an activity that comes again after its end.
func TestInbox_ActivityComesAgain(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		kind  string
		end   end
		again bool
		ranAt time.Time
		err   error
	}{
		{"delivered", "Create", end{delivered: true, ranAt: now}, true, time.Time{}, nil},
		{"never ran", "Create", end{}, false, time.Time{}, nil},
		{"within its window", "Create", end{ranAt: now.Add(-time.Second)}, false, now.Add(-time.Second), nil},
		{"past its window", "Create", end{ranAt: now.Add(-5 * time.Second)}, false, time.Time{},
			&RequestError{409, "it may have taken effect, and can't be repeated any more"}},
		{"safe", "Update", end{ranAt: now.Add(-5 * time.Second)}, false, now.Add(-5 * time.Second), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			none := stand(t, nil)
			f, _ := start(t, none, none)
			f.Now = func() time.Time { return now }
			f.ended["x:1"] = c.end
			body := []byte(activity(c.kind, "x:1"))
			h, _ := client.Headers("POST", "h", "/inbox/herald", body, now)
			q := &httpwire.Request{Method: "POST", Path: "/inbox/herald", Header: map[string][]string{"Host": {"h"}}, Body: body}
			for i := 0; i < len(h); i += 2 {
				q.Header.Set(h[i], h[i+1])
			}
			m, again, err := f.message(q)
			var want, got *RequestError
			errors.As(c.err, &want)
			errors.As(err, &got)
			if d := cmp.Diff(want, got); d != "" || again != c.again || c.err == nil && !m.MayHaveRunAt.Equal(c.ranAt) && !again {
				t.Errorf("again %v, ran at %v, error (-want +got)\n%s", again, m.MayHaveRunAt, d)
			}
		})
	}
}

// TestInbox_StandbyRouter_RefusesWithRetryAfter: a router that is not active takes nothing new on, and says when to come again.
func TestInbox_StandbyRouter_RefusesWithRetryAfter(t *testing.T) {
	none := stand(t, nil)
	f, at := start(t, none, none)
	f.Open = func() bool { return false }
	conn := wiretest.Dial(t, at)
	wiretest.Run(t, conn, "testdata/stand-by.txt")
}

// TestFront_EveryAnswer_HasItsOutcome maps every answer of an inbox.
func TestFront_EveryAnswer_HasItsOutcome(t *testing.T) {
	got := map[int]string{}
	for _, s := range []int{200, 202, 301, 400, 401, 403, 404, 408, 410, 429, 500, 503, 504} {
		o := outcome(&httpwire.Response{Status: s, Header: map[string][]string{"Retry-After": {"2"}}})
		got[s] = fmt.Sprint(o.Result, o.RetryAfter)
	}
	const ok, errored, full, rejected = "0 0s", "1 0s", "2 2s", "8 0s"
	want := map[int]string{200: ok, 202: ok, 301: rejected, 400: rejected, 401: rejected, 403: rejected, 404: rejected,
		408: errored, 410: rejected, 429: full, 500: errored, 503: full, 504: errored}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestFront_MalformedAnswer_FirstLineCounts: as on the other front, the first line of a spoilt answer tells a delivery, and nothing else.
func TestFront_MalformedAnswer_FirstLineCounts(t *testing.T) {
	none := stand(t, nil)
	f, _ := start(t, none, none)
	for status, want := range map[string]control.Result{"202": control.Delivered, "503": control.Malformed} {
		l := wiretest.Listen(t)
		go func() {
			if conn, err := l.Accept(); err == nil {
				wiretest.Run(t, conn, "testdata/spoilt.txt", "{status}", status)
			}
		}()
		u := &url.URL{Scheme: "http", Host: l.Addr().String(), Path: "/inbox"}
		if d := cmp.Diff(engine.Outcome{Result: want}, f.post(t.Context(), u, nil, nil, nil)); d != "" {
			t.Errorf("%s (-want +got)\n%s", status, d)
		}
	}
}

// TestMakeKey_SignsAndVerifies: a key made by make-key signs, and its public half checks that.
func TestMakeKey_SignsAndVerifies(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := MakeKey(file); err != nil {
		t.Fatal(err)
	}
	if err := MakeKey(file); err == nil {
		t.Error("a key was written over")
	}
	private, err := ReadKey(file)
	if err != nil {
		t.Fatal(err)
	}
	public, err := ReadPublicKey(file + ".pub")
	if err != nil {
		t.Fatal(err)
	}
	s := Signer{KeyID: "k", Key: private}
	h, err := s.Headers("POST", "h", "/", nil, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	q := &httpwire.Request{Method: "POST", Path: "/", Header: map[string][]string{"Host": {"h"}}}
	for i := 0; i < len(h); i += 2 {
		q.Header.Set(h[i], h[i+1])
	}
	if id, err := Verify(q, keyring{"k": public}, time.Now(), time.Minute); err != nil || id != "k" {
		t.Errorf("id %q, error %v", id, err)
	}
}

// TestFront_PluginHeaders_GoOutSigned: headers that plug-ins have set go out, and what is signed is the body as they have left it.
func TestFront_PluginHeaders_GoOutSigned(t *testing.T) {
	none := stand(t, nil)
	f, _ := start(t, none, none)
	l := wiretest.Listen(t)
	got := make(chan *httpwire.Request, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if q, err := httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14, BodySize: 1 << 16}).ReadRequest(func() error { return nil }); err == nil {
			got <- q
		}
		_, _ = conn.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
	}()
	inbox := "http://" + l.Addr().String() + "/inbox"
	f.inboxes[inbox] = &url.URL{Scheme: "http", Host: l.Addr().String(), Path: "/inbox"}
	step := engine.NewAttempt(engine.Destination{Name: inbox}, 0, engine.Item{ID: "x:1", Body: []byte(`{"id":"x:1"}`), Headers: []string{"X-Desk", "sports"}})
	if o := f.Call(t.Context(), step); o[0].Result != control.Delivered || step.SampledAnswer() == nil || step.SampledAnswer().Status != 202 {
		t.Errorf("%+v, seen %+v", o, step.SampledAnswer())
	}
	q := <-got
	if q.Header.Get("X-Desk") != "sports" || string(q.Body) != `{"id":"x:1"}` {
		t.Errorf("%v %s", q.Header, q.Body)
	}
	public, err := publicPEM(f.signer.Key)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "pub")
	_ = os.WriteFile(file, public, 0o600)
	key, err := ReadPublicKey(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Verify(q, keyring{f.signer.KeyID: key}, f.Now(), time.Hour); err != nil {
		t.Errorf("the signature: %v", err)
	}
}

// TestGuard_RewrittenActivity_StaysTheSame: a rewritten activity stays the same activity by the same actor, in every reader's eyes.
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
		if got := Guard.Body(before, []byte(after)); got != want {
			t.Errorf("%s: %v, want %v", after, got, want)
		}
	}
}
