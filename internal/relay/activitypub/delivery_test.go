package activitypub

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/control"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/wiretest"
)

// TestFront_EveryAnswer_HasItsOutcome checks the outcome of each kind of status that an inbox answers.
func TestFront_EveryAnswer_HasItsOutcome(t *testing.T) {
	got := map[int]string{}
	for _, status := range []int{200, 202, 301, 400, 401, 403, 404, 408, 410, 429, 500, 503, 504} {
		result := outcome(&httpwire.Response{Status: status, Header: map[string][]string{"Retry-After": {"2"}}})
		got[status] = fmt.Sprint(result.Result, result.RetryAfter)
	}
	const ok, errored, full, rejected = "0 0s", "1 0s", "2 2s", "8 0s"
	want := map[int]string{200: ok, 202: ok, 301: rejected, 400: rejected, 401: rejected, 403: rejected, 404: rejected,
		408: errored, 410: rejected, 429: full, 500: errored, 503: full, 504: errored}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("outcomes by status (-want +got)\n%s", d)
	}
}

// TestFront_MalformedAnswer_StatusCounts: as on the platform front, a malformed answer counts as a delivery if its status line says so;
// any other is just malformed.
func TestFront_MalformedAnswer_StatusCounts(t *testing.T) {
	inbox := newInbox(t, nil)
	front, _ := start(t, inbox, inbox)
	for status, want := range map[string]control.Result{"202": control.Delivered, "503": control.Malformed} {
		listener := wiretest.Listen(t)
		go func() {
			if conn, err := listener.Accept(); err == nil {
				wiretest.Run(t, conn, "testdata/spoilt.txt", "{status}", status)
			}
		}()
		target := &url.URL{Scheme: "http", Host: listener.Addr().String(), Path: "/inbox"}
		if d := cmp.Diff(engine.Outcome{Result: want}, front.post(t.Context(), target, nil, nil, nil)); d != "" {
			t.Errorf("%s (-want +got)\n%s", status, d)
		}
	}
}

// TestFront_PluginHeaders_GoOutSigned: headers set by plug-ins are sent, and the signature covers the body as plug-ins have changed it.
func TestFront_PluginHeaders_GoOutSigned(t *testing.T) {
	inbox := newInbox(t, nil)
	front, _ := start(t, inbox, inbox)
	listener := wiretest.Listen(t)
	got := make(chan *httpwire.Request, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if request, err := httpwire.NewReader(conn, &config.Limits{HeadSize: 1 << 14,
			BodySize: 1 << 16}).ReadRequest(func() error { return nil }); err == nil {
			got <- request
		}
		_, _ = conn.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
	}()
	target := "http://" + listener.Addr().String() + "/inbox"
	front.inboxes[target] = &url.URL{Scheme: "http", Host: listener.Addr().String(), Path: "/inbox"}
	attempt := engine.NewAttempt(engine.Destination{Name: target}, 0, engine.Item{ID: "x:1", Body: []byte(`{"id":"x:1"}`),
		Headers: []string{"X-Desk", "sports"}})
	if outcomes := front.Call(t.Context(), attempt); outcomes[0].Result != control.Delivered || attempt.SampledAnswer() == nil ||
		attempt.SampledAnswer().Status != 202 {
		t.Errorf("outcomes %+v, sampled answer %+v; want a delivery with status 202", outcomes, attempt.SampledAnswer())
	}
	request := <-got
	if request.Header.Get("X-Desk") != "sports" || string(request.Body) != `{"id":"x:1"}` {
		t.Errorf("sent headers %v and body %s, want the plug-in's", request.Header, request.Body)
	}
	public, err := publicPEM(front.signer.Key)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "pub")
	_ = os.WriteFile(file, public, 0o600)
	key, err := ReadPublicKey(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Verify(request, keyring{front.signer.KeyID: key}, front.Now(), time.Hour); err != nil {
		t.Errorf("verifying the signature: %v", err)
	}
}
