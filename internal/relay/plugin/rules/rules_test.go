package rules

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/control"
)

// testLimits are small enough for random headers to reach them.
var testLimits = Limits{Headers: 3, NameSize: 20, ValueSize: 30, HeaderSize: 70, BodySize: 10, MaxRetryAfter: time.Minute}

var testFront = Front{Name: "f", Owned: []string{"X-Request-Id", "Signature-*"}}

func TestExtraHeadersSet_Header_IsSetOrRefused(t *testing.T) {
	for name, c := range map[string]struct {
		header, value string
		want          Refusal
	}{
		"name in lower case":              {"x-desk", "sports", None},
		"empty value":                     {"X-Desk", "", None},
		"value with a space inside":       {"X-Empty-Name", "a b", None},
		"empty name":                      {"", "x", Unclean},
		"name with a space":               {"X Desk", "x", Unclean},
		"name with a colon":               {"X:", "x", Unclean},
		"name with a line break":          {"X-A\r\nX-B", "a", Unclean},
		"value with CR LF":                {"X-A", "a\r\nb", Unclean},
		"value with LF":                   {"X-A", "a\nb", Unclean},
		"value with a control character":  {"X-A", "a\x00", Unclean},
		"value with a leading space":      {"X-A", " a", Unclean},
		"value with a trailing space":     {"X-A", "a ", Unclean},
		"value beyond ASCII":              {"X-A", "caf\u00e9", Unclean},
		"name that the protocol owns":     {"x-request-ID", "x", Owned},
		"prefix that the protocol owns":   {"signature-input", "x", Owned},
		"Host, of HTTP framing":           {"HOST", "x", Owned},
		"Content-Length, of HTTP framing": {"content-length", "9", Owned},
		"Transfer-Encoding, HTTP framing": {"Transfer-Encoding", "chunked", Owned},
		"Proxy-*, of HTTP framing":        {"proxy-connection", "x", Owned},
		"TE, of HTTP framing":             {"Te", "x", Owned},
		"name that is too long":           {strings.Repeat("x", 21), "x", Large},
		"value that is too long":          {"X-A", strings.Repeat("x", 31), Large},
	} {
		t.Run(name, func(t *testing.T) {
			s, got := ExtraHeaders{"X-One", "1"}.Set(&testFront, &testLimits, c.header, c.value)
			if got != c.want || (got != None) != (len(s) == 2) {
				t.Errorf("%q: %q: %v, %v; want %v", c.header, c.value, got, s, c.want)
			}
		})
	}
}

// threeHeaders returns as many headers as testLimits allows.
func threeHeaders(t *testing.T) ExtraHeaders {
	t.Helper()
	s := ExtraHeaders{}
	for _, name := range []string{"X-A", "X-B", "X-C"} {
		var why Refusal
		if s, why = s.Set(&testFront, &testLimits, name, "v"); why != None {
			t.Fatalf("%s: %v", name, why)
		}
	}
	return s
}

func TestExtraHeadersSet_OneHeaderTooMany_IsRefused(t *testing.T) {
	if s, why := threeHeaders(t).Set(&testFront, &testLimits, "X-D", "v"); why != Large || len(s) != 6 {
		t.Errorf("%v, %v; want %v", s, why, Large)
	}
}

// TestExtraHeaders_SetAndRemove_LeaveEarlierValue: Set and Remove ignore the case of names, Set replaces a header with the same name, and
// neither modifies its receiver.
func TestExtraHeaders_SetAndRemove_LeaveEarlierValue(t *testing.T) {
	before := threeHeaders(t)
	s, set := before.Set(&testFront, &testLimits, "x-b", "other")
	s, removed := s.Remove("x-a")
	if d := cmp.Diff(ExtraHeaders{"X-B", "other", "X-C", "v"}, s); d != "" || set != None || removed != None {
		t.Error(set, removed, d)
	}
	if _, why := s.Remove("X-A"); why != Absent {
		t.Errorf("a second removal: %v, want %v", why, Absent)
	}
	if d := cmp.Diff(ExtraHeaders{"X-A", "v", "X-B", "v", "X-C", "v"}, before); d != "" {
		t.Errorf("the receiver of Set was modified: %s", d)
	}
	if value, ok := s.Get("x-b"); !ok || value != "other" {
		t.Error(value, ok)
	}
}

// TestExtraHeaders_AnyHeader_NeverSmuggles: whatever a plug-in sets, each header takes one line on the wire, and none of them is a header
// that the protocol owns.
func TestExtraHeaders_AnyHeader_NeverSmuggles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ExtraHeaders{}
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"x-request-id", "Host", "X-A", "x-b"})).Draw(t, "name")
			s, _ = s.Set(&testFront, &testLimits, name, rapid.String().Draw(t, "value"))
		}
		wire := ""
		for i := 0; i < len(s); i += 2 {
			wire += s[i] + ": " + s[i+1] + "\r\n"
		}
		if strings.Count(wire, "\n") != len(s)/2 || strings.Count(wire, "\r") != len(s)/2 || len(wire) > testLimits.HeaderSize {
			t.Fatalf("%q", wire)
		}
		for line := range strings.Lines(wire) {
			if l := strings.ToLower(line); strings.HasPrefix(l, "host:") || strings.HasPrefix(l, "x-request-id:") {
				t.Fatalf("%q", wire)
			}
		}
	})
}

func TestCheckBody_NewBody_AsFrontAllows(t *testing.T) {
	locked := Front{}
	keepsFirst := Front{Body: func(before, after []byte) bool { return before[0] == after[0] }}
	for name, c := range map[string]struct {
		front *Front
		body  string
		want  Refusal
	}{
		"front that allows no new body": {&locked, "b", Locked},
		"protected part unchanged":      {&keepsFirst, "ab", None},
		"protected part changed":        {&keepsFirst, "ba", Owned},
		"body that is too long":         {&keepsFirst, strings.Repeat("a", 11), Large},
	} {
		t.Run(name, func(t *testing.T) {
			if got := CheckBody(c.front, &testLimits, []byte("a"), []byte(c.body)); got != c.want {
				t.Errorf("%q: %v, want %v", c.body, got, c.want)
			}
		})
	}
}

// TestTighten_AnyAsk_NeverLessCareful: no request of a plug-in makes the relay less careful.
func TestTighten_AnyAsk_NeverLessCareful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Answer{Result: control.Result(rapid.IntRange(0, int(control.Rejected)).Draw(t, "result")),
			RetryAfter: time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * time.Second, Final: rapid.Bool().Draw(t, "over")}
		ask := Ask{RetryAfter: time.Duration(rapid.IntRange(-5, 90).Draw(t, "ask")) * time.Second, Refuse: rapid.Bool().Draw(t, "refuse")}
		after, why := Tighten(before, ask, &testLimits)
		if why != None && after != before {
			t.Fatalf("the request was refused, but the answer changed to %+v", after)
		}
		if after.Final != before.Final || after.RetryAfter < before.RetryAfter {
			t.Fatalf("%+v becomes %+v", before, after)
		}
		if after.Result != before.Result && !(before.Result == control.Throttled && after.Result == control.Rejected && before.RetryAfter == 0) {
			t.Fatalf("%+v becomes %+v", before, after)
		}
		if !before.Result.NeverRan() && after.Result.NeverRan() {
			t.Fatalf("%+v may have run, %+v claims that it did not", before, after)
		}
	})
}

func TestTighten_WaitOverTheLimit_IsCut(t *testing.T) {
	answer := Answer{Result: control.Throttled, RetryAfter: time.Second}
	if got, why := Tighten(answer, Ask{RetryAfter: time.Hour}, &testLimits); got.RetryAfter != time.Minute || why != None {
		t.Errorf("a wait of an hour is cut to %v (%v), want a minute", got.RetryAfter, why)
	}
}
