package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/storage/memorydisk"
)

const (
	settingsPath = "/mastusher/settings"
	rolloutsPath = "/mastusher/rollouts"
)

// callTimeout is how long a caller waits for a response.
const callTimeout = time.Second

// document returns a valid configuration with that version number.
func document(number int) string {
	return fmt.Sprintf(`{"number": %d, "routes": [{"name":"r","host":"play.example","startsWith":"/p/","kind":"retryable","giveUpMs":5000,`+
		`"targetMs":200,"rank":1,"shares":[{"service":"a","share":90},{"service":"b","share":10}],"tries":2}],`+
		`"services":[{"name":"a","healthPath":"/h","maxConnections":9,"protocol":"h1","tls":false},`+
		`{"name":"b","healthPath":"/h","maxConnections":9,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleCloseMs":15000}}`, number)
}

func (f *fixture) put(base, body string) *httptest.ResponseRecorder {
	return f.send(http.MethodPut, settingsPath, body, "If-Match", base)
}

func TestSettingsAPI_PutThenGet_ReturnsNewest(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	wantStatus(t, f.send(http.MethodGet, settingsPath, ""), http.StatusServiceUnavailable)

	// Given two versions, one on top of the other, the second with its If-Match in quotes.
	wantStatus(t, f.put("0", document(3)), http.StatusOK)
	wantStatus(t, f.put(`"3"`, document(8)), http.StatusOK)

	// Then the newest is read back as it was sent.
	response := f.send(http.MethodGet, settingsPath, "")
	wantStatus(t, response, http.StatusOK)
	if diff := cmp.Diff(decoded(t, document(8)), decoded(t, response.Body.String())); diff != "" {
		t.Errorf("configuration (-sent +read back):\n%s", diff)
	}

	// And duplicates are acknowledged, also with other white space, in any sequence.
	wantStatus(t, f.put("3", document(8)), http.StatusOK)
	wantStatus(t, f.put("0", document(3)), http.StatusOK)
	wantStatus(t, f.put("0", strings.ReplaceAll(document(3), ": ", ":")), http.StatusOK)

	// But other configurations on an older version are rejected, and so is one with the same number and other content.
	wantStatus(t, f.put("3", document(9)), http.StatusPreconditionFailed)
	wantStatus(t, f.put("3", strings.Replace(document(8), "90", "80", 1)), http.StatusPreconditionFailed)
	wantStatus(t, f.put("0", document(1)), http.StatusPreconditionFailed)
	wantStatus(t, f.put("8", document(8)), http.StatusBadRequest)
	wantStatus(t, f.put("8", document(7)), http.StatusBadRequest)
}

func TestSettingsAPI_Proposals_Counted(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	wantStatus(t, f.put("0", document(3)), http.StatusOK)
	wantStatus(t, f.put("3", document(3)), http.StatusBadRequest)
	wantStatus(t, f.put("3", "{}"), http.StatusBadRequest)
	response := f.send(http.MethodGet, metrics.Path, "")
	wantStatus(t, response, http.StatusOK)
	for _, want := range []string{
		`mastusher_orders_total{outcome="taken"} 1`,
		`mastusher_orders_total{outcome="refused"} 2`,
		`mastusher_order_seconds_count{step="read"} 3`,
		`mastusher_order_seconds_count{step="check"} 3`,
		`mastusher_order_seconds_count{step="agree"} 2`,
		`mastusher_elections_total 1`,
	} {
		if !strings.Contains(response.Body.String(), want+"\n") {
			t.Errorf("missing %s in:\n%s", want, response.Body)
		}
	}
}

func decoded(t testing.TB, raw string) any {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(raw), &value); err != nil {
		t.Fatal(err)
	}
	return value
}

func TestSettingsAPI_Restart_KeepsConfiguration(t *testing.T) {
	disk := memorydisk.New()
	t.Run("before", func(t *testing.T) {
		f := startFixture(t, disk)
		wantStatus(t, f.put("0", document(3)), http.StatusOK)
		wantStatus(t, f.put("3", document(5)), http.StatusOK)
	})
	disk.LosePower(7)
	f := startFixture(t, disk)
	response := f.send(http.MethodGet, settingsPath, "")
	wantStatus(t, response, http.StatusOK)
	if diff := cmp.Diff(decoded(t, document(5)), decoded(t, response.Body.String())); diff != "" {
		t.Errorf("configuration (-sent +read back):\n%s", diff)
	}
	wantStatus(t, f.put("0", document(3)), http.StatusOK)
	wantStatus(t, f.put("3", document(6)), http.StatusPreconditionFailed)
}

func TestSettingsAPI_InvalidConfiguration_Rejected(t *testing.T) {
	replaced := func(old, replacement string) string {
		if !strings.Contains(document(3), old) {
			t.Fatalf("the document doesn't contain %s", old)
		}
		return strings.Replace(document(3), old, replacement, 1)
	}
	route := document(3)[strings.Index(document(3), `{"name":"r"`):strings.Index(document(3), `],"services"`)]
	tests := []struct {
		name, body, reason string
	}{
		{"empty", "", "read whole"},
		{"cut off", document(3)[:200], "read whole"},
		{"followed by more", document(3) + "{}", "read whole"},
		{"not an object", `[]`, ""},
		{"unknown service of a share", replaced(`{"service":"b"`, `{"service":"c"`), `routes[0].shares[1].service: "c" is not known`},
		{"unknown service", replaced(`"shares":[{"service":"a","share":90},{"service":"b","share":10}]`, `"service":"c"`), `"c" is not known`},
		{"the same host and prefix twice", replaced(route, route+","+route), "same host and prefix"},
		{"shares that add up to 0", replaced(`"share":90},{"service":"b","share":10}`, `"share":0},{"service":"b","share":0}`), "add up to 0"},
		{"giveUpMs of 0", replaced(`"giveUpMs":5000`, `"giveUpMs":0`), "routes[0].giveUpMs"},
		{"number of 0", replaced(`"number": 3`, `"number": 0`), "number"},
		{"number below 0", replaced(`"number": 3`, `"number": -3`), "number"},
		{"prefix without a slash", replaced(`"/p/"`, `"/p"`), "routes[0].startsWith"},
		{"unknown kind", replaced(`"retryable"`, `"sometimes"`), "routes[0].kind"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFixture(t, memorydisk.New())
			response := f.put("0", test.body)
			wantStatus(t, response, http.StatusBadRequest)
			var parsed errorBody
			if err := json.Unmarshal(response.Body.Bytes(), &parsed); err != nil || !strings.Contains(parsed.Error, test.reason) {
				t.Errorf("error %q, want one that contains %q (decoding error: %v)", parsed.Error, test.reason, err)
			}
			wantStatus(t, f.send(http.MethodGet, settingsPath, ""), http.StatusServiceUnavailable)
		})
	}
	for _, base := range []string{"", "x", "-1", `"3`, "*"} {
		t.Run("If-Match "+base, func(t *testing.T) {
			f := startFixture(t, memorydisk.New())
			response := f.put(base, document(3))
			if base == `"3` { // a missing quote is tolerated; the version is not the current one
				wantStatus(t, response, http.StatusPreconditionFailed)
				return
			}
			wantStatus(t, response, http.StatusBadRequest)
		})
	}
}

func TestSettingsAPI_IfMatchForms(t *testing.T) {
	tests := []struct {
		values []string
		want   int
	}{
		{[]string{"7"}, http.StatusOK},
		{[]string{`"7"`}, http.StatusOK},
		{[]string{` "7" `}, http.StatusOK},
		{[]string{"07"}, http.StatusOK},
		{[]string{"6"}, http.StatusPreconditionFailed},
		{[]string{"8"}, http.StatusPreconditionFailed},
		{[]string{"18446744073709551615"}, http.StatusPreconditionFailed},
		{nil, http.StatusBadRequest},
		{[]string{""}, http.StatusBadRequest},
		{[]string{"*"}, http.StatusBadRequest},
		{[]string{`W/"7"`}, http.StatusBadRequest},
		{[]string{"+7"}, http.StatusBadRequest},
		{[]string{"7.0"}, http.StatusBadRequest},
		{[]string{"0x7"}, http.StatusBadRequest},
		{[]string{"18446744073709551616"}, http.StatusBadRequest},
		{[]string{`"7", "8"`}, http.StatusBadRequest},
		{[]string{"7", "8"}, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%q", test.values), func(t *testing.T) {
			f := startFixture(t, memorydisk.New())
			wantStatus(t, f.put("0", document(7)), http.StatusOK)
			request := httptest.NewRequest(http.MethodPut, settingsPath, strings.NewReader(document(9)))
			request.Header["If-Match"] = test.values
			recorder := httptest.NewRecorder()
			f.Handler().ServeHTTP(recorder, request)
			wantStatus(t, recorder, test.want)
		})
	}
}

func TestSettingsAPI_ConcurrentChanges_OneWins(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	wantStatus(t, f.put("0", document(1)), http.StatusOK)
	const writers = 8
	codes := make(chan int, writers)
	for number := range writers {
		go func() { codes <- f.put("1", document(number+2)).Code }()
	}
	count := map[int]int{}
	for range writers {
		count[<-codes]++
	}
	if diff := cmp.Diff(map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: writers - 1}, count); diff != "" {
		t.Errorf("number of responses by status (-want +got):\n%s", diff)
	}
}

// newestRollout returns the newest roll-out of a service that this member has applied.
func (f *fixture) newestRollout(service string) rollout.Rollout {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	newestRollout, _ := f.state.rollouts.Rollout(service)
	return newestRollout
}

func TestRolloutsAPI_Statuses(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	const path = "/mastusher/rollouts"
	wantStatus(t, f.send(http.MethodGet, path+"/lm", ""), http.StatusNotFound)
	bad := map[string]string{
		"invalid JSON":      `{"service":"lm"`,
		"no service":        `{"target":"v2","overS":12}`,
		"no target":         `{"service":"lm","overS":12}`,
		"no duration":       `{"service":"lm","target":"v2"}`,
		"duration below 0":  `{"service":"lm","target":"v2","overS":-1}`,
		"duration too long": `{"service":"lm","target":"v2","overS":1e300}`,
		"duration as text":  `{"service":"lm","target":"v2","overS":"12"}`,
	}
	for name, body := range bad {
		t.Run(name, func(t *testing.T) { wantStatus(t, f.send(http.MethodPost, path, body), http.StatusBadRequest) })
	}

	const order = `{"service":"lm","target":"v2","overS":12.5,"new":{}}`
	wantStatus(t, f.send(http.MethodPost, path, order), http.StatusOK)
	wantStatus(t, f.send(http.MethodPost, path, order), http.StatusOK)
	wantStatus(t, f.send(http.MethodPost, path, strings.Replace(order, "v2", "v3", 1)), http.StatusConflict)
	wantState := func(state rollout.State) {
		t.Helper()
		response := f.send(http.MethodGet, path+"/lm", "")
		wantStatus(t, response, http.StatusOK)
		var parsed rolloutStatus
		if err := json.Unmarshal(response.Body.Bytes(), &parsed); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(rolloutStatus{State: state, Target: "v2"}, parsed); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	}
	wantState(rollout.InService)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	decision := &rollout.Decision{Service: "lm", Target: "v2", ProposalIndex: f.newestRollout("lm").Index, State: rollout.Finished}
	if _, err := f.group.Propose(ctx, Command{RolloutDecision: decision}); err != nil {
		t.Fatal(err)
	}
	wantState(rollout.Finished)
	wantStatus(t, f.send(http.MethodPost, path, order), http.StatusOK)
	wantState(rollout.Finished)
}

func TestAPI_UnknownPathsAndMethods(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	tests := []struct {
		method, path string
		want         int
	}{
		{http.MethodGet, "/", http.StatusNotFound},
		{http.MethodGet, "/mastusher", http.StatusNotFound},
		{http.MethodPost, "/mastusher/settingsx", http.StatusNotFound},
		{http.MethodPost, "/mastusher/retire", http.StatusNotFound},
		{http.MethodGet, "/mastusher/retire/a/b", http.StatusNotFound},
		{http.MethodGet, "/mastusher/retire/storage-1", http.StatusNotFound},
		{http.MethodPost, settingsPath, http.StatusMethodNotAllowed},
		{http.MethodDelete, "/mastusher/retire/storage-1", http.StatusMethodNotAllowed},
	}
	for _, test := range tests {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			response := f.send(test.method, test.path, "")
			wantStatus(t, response, test.want)
			var parsed errorBody
			if err := json.Unmarshal(response.Body.Bytes(), &parsed); err != nil || parsed.Error == "" {
				t.Errorf("body %s contains no error text", response.Body)
			}
		})
	}
}

func TestAPI_OversizedBodies(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	wantStatus(t, f.put("0", strings.Repeat(" ", maxConfigurationBytes+1)), http.StatusRequestEntityTooLarge)

	// The same without a Content-Length.
	request := httptest.NewRequest(http.MethodPut, settingsPath, io.LimitReader(strings.NewReader(strings.Repeat(" ", maxConfigurationBytes+1)), maxConfigurationBytes+1))
	request.ContentLength = -1
	request.Header.Set("If-Match", "0")
	recorder := httptest.NewRecorder()
	f.Handler().ServeHTTP(recorder, request)
	wantStatus(t, recorder, http.StatusRequestEntityTooLarge)
}

// TestAPI_SlowBodies_TimeOut sends a part of a body and then waits.
func TestAPI_SlowBodies_TimeOut(t *testing.T) {
	for _, target := range []string{"PUT " + settingsPath, "POST /mastusher/retire/storage-1"} {
		t.Run(target, func(t *testing.T) {
			f := startFixture(t, memorydisk.New())
			f.bodyTimeout = 20 * time.Millisecond
			server := httptest.NewServer(f.Handler())
			defer server.Close()
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			if err = connection.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(connection, "%s HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: 100\r\n\r\n{\"overS\":", target)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusRequestTimeout || !response.Close {
				t.Errorf("status %d, close %v; want a 408 that closes the connection", response.StatusCode, response.Close)
			}
		})
	}
}

func TestAPI_GroupErrors_KeepCause(t *testing.T) {
	c := &Controller{}
	cause := context.DeadlineExceeded
	tests := []struct {
		name string
		got  error
		want apierror.Kind
	}{
		{"certainly not committed", c.proposalError(&group.NotLeaderError{Dropped: true, Cause: cause}), apierror.NotReady},
		{"may have been committed", c.proposalError(&group.NotLeaderError{Cause: cause}), apierror.Unconfirmed},
		{"the disk failed", c.proposalError(fmt.Errorf("disk: %w", cause)), apierror.Internal},
		{"a read", readError(&group.NotLeaderError{Cause: cause}), apierror.NotReady},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := apierror.KindOf(test.got); got != test.want {
				t.Errorf("kind %s, want %s", got, test.want)
			}
			if !errors.Is(test.got, cause) {
				t.Errorf("%v doesn't wrap its cause", test.got)
			}
		})
	}
}
