package activitypub

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tidwall/gjson"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/wiretest"
)

// TestInbox_BadInput_HasItsStatus: each kind of invalid request gets its own status and reason, and is not accepted.
func TestInbox_BadInput_HasItsStatus(t *testing.T) {
	good := activity("Create", "http://client.example/1")
	for _, test := range []struct {
		name, path, body string
		change           func(header []string) []string // changes the signed headers; nil: unchanged
		status, why      string
	}{
		{"get", "", good, nil, "405 Method Not Allowed", "want POST"},
		{"unknown destination", "/inbox/nobody", good, nil, "404 Not Found", "no such inbox"},
		{"not an activity", "", good, set("Content-Type", "text/plain"), "415 Unsupported Media Type", "want " + contentType},
		{"unsigned", "", good, set("Signature", ""), "401 Unauthorized", "the request is not signed"},
		{"stranger", "", good, set("Signature", `keyId="x"`), "401 Unauthorized", "the signature's key is not known"},
		{"not all signed", "", good, set("Signature", `keyId="`+client.KeyID+`",headers="date"`), "401 Unauthorized",
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
		t.Run(test.name, func(t *testing.T) {
			inbox := newInbox(t, func(id string, _ gjson.Result) httpwire.Answer {
				t.Errorf("%s was accepted", id)
				return httpwire.Answer{Status: 202}
			})
			front, address := start(t, inbox, inbox)
			method, path := "POST", test.path
			if path == "" {
				path = "/inbox/herald"
			}
			if test.name == "get" {
				method = "GET"
			}
			header, _ := client.Headers(method, "relay.example", path, []byte(test.body), time.Now())
			if test.change != nil {
				header = test.change(header)
			}
			var sentHeaders []string
			for i := 0; i < len(header); i += 2 {
				sentHeaders = append(sentHeaders, "> "+header[i]+": "+header[i+1])
			}
			wiretest.Run(t, wiretest.Dial(t, address), "testdata/inbox.txt", "{method}", method, "{path}", path,
				"{headers}", strings.Join(sentHeaders, "\n"), "{length}", strconv.Itoa(len(test.body)), "{body}", test.body,
				"{status}", test.status, "{why}", test.why)
			if len(front.ended) != 0 {
				t.Error("the front remembers an end, but nothing was accepted")
			}
		})
	}
}

// set returns a function that changes the value of one header.
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

// TestInbox_DuplicateOfEndedActivity_DependsOnItsEnd: whether an ended activity may be submitted again depends on how it ended and on the
// deduplication window.
func TestInbox_DuplicateOfEndedActivity_DependsOnItsEnd(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name      string
		kind      string
		end       end
		delivered bool
		ranAt     time.Time
		err       error
	}{
		{"delivered", "Create", end{delivered: true, ranAt: now}, true, time.Time{}, nil},
		{"never ran", "Create", end{}, false, time.Time{}, nil},
		{"within its window", "Create", end{ranAt: now.Add(-time.Second)}, false, now.Add(-time.Second), nil},
		{"past its window", "Create", end{ranAt: now.Add(-5 * time.Second)}, false, time.Time{},
			&RequestError{409, "it may have taken effect, and can't be repeated any more"}},
		{"safe", "Update", end{ranAt: now.Add(-5 * time.Second)}, false, now.Add(-5 * time.Second), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			inbox := newInbox(t, nil)
			front, _ := start(t, inbox, inbox)
			front.Now = func() time.Time { return now }
			front.ended["x:1"] = test.end
			body := []byte(activity(test.kind, "x:1"))
			header, _ := client.Headers("POST", "h", "/inbox/herald", body, now)
			request := &httpwire.Request{Method: "POST", Path: "/inbox/herald", Header: map[string][]string{"Host": {"h"}}, Body: body}
			for i := 0; i < len(header); i += 2 {
				request.Header.Set(header[i], header[i+1])
			}
			message, delivered, err := front.message(request)
			var want, got *RequestError
			errors.As(test.err, &want)
			errors.As(err, &got)
			if d := cmp.Diff(want, got); d != "" || delivered != test.delivered || test.err == nil &&
				!message.MayHaveRunAt.Equal(test.ranAt) && !delivered {
				t.Errorf("delivered %v, ran at %v, error (-want +got)\n%s", delivered, message.MayHaveRunAt, d)
			}
		})
	}
}

// TestInbox_StandbyRouter_RefusesWithRetryAfter: a standby router refuses new activities and says when to retry.
func TestInbox_StandbyRouter_RefusesWithRetryAfter(t *testing.T) {
	inbox := newInbox(t, nil)
	front, address := start(t, inbox, inbox)
	front.Open = func() bool { return false }
	conn := wiretest.Dial(t, address)
	wiretest.Run(t, conn, "testdata/stand-by.txt")
}
