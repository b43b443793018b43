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

func TestShapeSet_Header_IsSetOrRefused(t *testing.T) {
	for name, c := range map[string]struct {
		header, value string
		want          Refusal
	}{
		"name in lower case":                {"x-desk", "sports", None},
		"empty value":                       {"X-Desk", "", None},
		"value with a space inside":         {"X-Empty-Name", "a b", None},
		"empty name":                        {"", "x", Unclean},
		"name with a space":                 {"X Desk", "x", Unclean},
		"name with a colon":                 {"X:", "x", Unclean},
		"name with a line break":            {"X-A\r\nX-B", "a", Unclean},
		"value with CR LF":                  {"X-A", "a\r\nb", Unclean},
		"value with LF":                     {"X-A", "a\nb", Unclean},
		"value with a control":              {"X-A", "a\x00", Unclean},
		"value with a space at its head":    {"X-A", " a", Unclean},
		"value with a space at its end":     {"X-A", "a ", Unclean},
		"value beyond ASCII":                {"X-A", "caf\u00e9", Unclean},
		"name that the protocol owns":       {"x-request-ID", "x", Owned},
		"prefix that the protocol owns":     {"signature-input", "x", Owned},
		"Host, of the framing":              {"HOST", "x", Owned},
		"Content-Length, of the framing":    {"content-length", "9", Owned},
		"Transfer-Encoding, of the framing": {"Transfer-Encoding", "chunked", Owned},
		"Proxy-*, of the framing":           {"proxy-connection", "x", Owned},
		"TE, of the framing":                {"Te", "x", Owned},
		"name that is too long":             {strings.Repeat("x", 21), "x", Large},
		"value that is too long":            {"X-A", strings.Repeat("x", 31), Large},
	} {
		t.Run(name, func(t *testing.T) {
			s, got := Shape{"X-One", "1"}.Set(&testFront, &testLimits, c.header, c.value)
			if got != c.want || (got != None) != (len(s) == 2) {
				t.Errorf("%q: %q: %v, %v; want %v", c.header, c.value, got, s, c.want)
			}
		})
	}
}

// threeHeaders is a shape with as many headers as there may be.
func threeHeaders(t *testing.T) Shape {
	t.Helper()
	s := Shape{}
	for _, name := range []string{"X-A", "X-B", "X-C"} {
		var why Refusal
		if s, why = s.Set(&testFront, &testLimits, name, "v"); why != None {
			t.Fatalf("%s: %v", name, why)
		}
	}
	return s
}

func TestShapeSet_OneHeaderTooMany_IsRefused(t *testing.T) {
	if s, why := threeHeaders(t).Set(&testFront, &testLimits, "X-D", "v"); why != Large || len(s) != 6 {
		t.Errorf("%v, %v; want %v", s, why, Large)
	}
}

// TestShape_SetAndRemove_LeaveEarlierShape: a header is set in the place of one of its name, and removed, whatever the case;
// the shape before keeps what it had.
func TestShape_SetAndRemove_LeaveEarlierShape(t *testing.T) {
	before := threeHeaders(t)
	s, set := before.Set(&testFront, &testLimits, "x-b", "other")
	s, removed := s.Remove("x-a")
	if d := cmp.Diff(Shape{"X-B", "other", "X-C", "v"}, s); d != "" || set != None || removed != None {
		t.Error(set, removed, d)
	}
	if _, why := s.Remove("X-A"); why != Absent {
		t.Errorf("a second removal: %v, want %v", why, Absent)
	}
	if d := cmp.Diff(Shape{"X-A", "v", "X-B", "v", "X-C", "v"}, before); d != "" {
		t.Errorf("an earlier shape has changed: %s", d)
	}
	if value, ok := s.Get("x-b"); !ok || value != "other" {
		t.Error(value, ok)
	}
}

// TestShape_AnyHeader_NeverSmuggles: whatever is set, what goes over the wire is one line a header, and none of the protocol's.
func TestShape_AnyHeader_NeverSmuggles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{}
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

func TestRewrite_Body_AsFrontAllows(t *testing.T) {
	locked := Front{}
	keepsFirst := Front{Body: func(before, after []byte) bool { return before[0] == after[0] }}
	for name, c := range map[string]struct {
		front *Front
		body  string
		want  Refusal
	}{
		"front that lets no body be rewritten": {&locked, "b", Locked},
		"guarded part as it was":               {&keepsFirst, "ab", None},
		"guarded part another":                 {&keepsFirst, "ba", Owned},
		"body that is too long":                {&keepsFirst, strings.Repeat("a", 11), Large},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Rewrite(c.front, &testLimits, []byte("a"), []byte(c.body)); got != c.want {
				t.Errorf("%q: %v, want %v", c.body, got, c.want)
			}
		})
	}
}

// TestTighten_AnyAsk_NeverLessCareful: nothing that a plug-in asks makes the relay less careful.
func TestTighten_AnyAsk_NeverLessCareful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Answer{Result: control.Result(rapid.IntRange(0, int(control.Rejected)).Draw(t, "result")),
			RetryAfter: time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * time.Second, Final: rapid.Bool().Draw(t, "over")}
		ask := Ask{RetryAfter: time.Duration(rapid.IntRange(-5, 90).Draw(t, "ask")) * time.Second, Refuse: rapid.Bool().Draw(t, "refuse")}
		after, why := Tighten(before, ask, &testLimits)
		if why != None && after != before {
			t.Fatalf("refused, and yet %+v", after)
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
		t.Errorf("a wait of an hour is cut to %v (%v)", got.RetryAfter, why)
	}
}
