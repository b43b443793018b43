package rules

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/control"
)

var lim = Limits{Headers: 3, NameSize: 20, ValueSize: 30, HeaderSize: 70, BodySize: 10, MaxRetryAfter: time.Minute}

var front = Front{Name: "f", Owned: []string{"X-Request-Id", "Signature-*"}}

func TestShape_Headers(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        Refusal
	}{
		{"x-desk", "sports", None}, {"X-Desk", "", None}, {"X-Empty-Name", "a b", None},
		{"", "x", Unclean}, {"X Desk", "x", Unclean}, {"X:", "x", Unclean}, {"X-A", "a\r\nb", Unclean}, {"X-A", "a\nb", Unclean},
		{"X-A", "a\x00", Unclean}, {"X-A", " a", Unclean}, {"X-A", "a ", Unclean}, {"X-A", "caf\u00e9", Unclean}, {"X-A\r\nX-B", "a", Unclean},
		{"x-request-ID", "x", Owned}, {"signature-input", "x", Owned}, {"HOST", "x", Owned}, {"content-length", "9", Owned},
		{"Transfer-Encoding", "chunked", Owned}, {"proxy-connection", "x", Owned}, {"Te", "x", Owned},
		{strings.Repeat("x", 21), "x", Large}, {"X-A", strings.Repeat("x", 31), Large},
	} {
		s, got := Shape{"X-One", "1"}.Set(&front, &lim, c.name, c.value)
		if got != c.want || (got != None) != (len(s) == 2) {
			t.Errorf("%q: %q: %v, %v; want %v", c.name, c.value, got, s, c.want)
		}
	}
	s := Shape{}
	for i, name := range []string{"X-A", "X-B", "X-C", "X-D"} {
		var why Refusal
		if s, why = s.Set(&front, &lim, name, "v"); (why == Large) != (i == 3) {
			t.Errorf("header %d: %v", i, why)
		}
	}
	before := s
	s, _ = s.Set(&front, &lim, "x-b", "other")
	s, why := s.Remove("x-a")
	if d := cmp.Diff(Shape{"X-B", "other", "X-C", "v"}, s); d != "" || why != None {
		t.Error(why, d)
	}
	if _, why := s.Remove("X-A"); why != Absent {
		t.Error(why)
	}
	if d := cmp.Diff(Shape{"X-A", "v", "X-B", "v", "X-C", "v"}, before); d != "" {
		t.Errorf("an earlier shape has changed: %s", d)
	}
	if v, ok := s.Get("x-b"); !ok || v != "other" {
		t.Error(v, ok)
	}
}

// TestShape_AnyHeader_NeverSmuggles: whatever is set, what goes over the wire is one line a header, and none of the protocol's.
func TestShape_AnyHeader_NeverSmuggles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{}
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"x-request-id", "Host", "X-A", "x-b"})).Draw(t, "name")
			s, _ = s.Set(&front, &lim, name, rapid.String().Draw(t, "value"))
		}
		wire := ""
		for i := 0; i < len(s); i += 2 {
			wire += s[i] + ": " + s[i+1] + "\r\n"
		}
		if strings.Count(wire, "\n") != len(s)/2 || strings.Count(wire, "\r") != len(s)/2 || len(wire) > lim.HeaderSize {
			t.Fatalf("%q", wire)
		}
		for line := range strings.Lines(wire) {
			if l := strings.ToLower(line); strings.HasPrefix(l, "host:") || strings.HasPrefix(l, "x-request-id:") {
				t.Fatalf("%q", wire)
			}
		}
	})
}

func TestRewrite_GuardedFields(t *testing.T) {
	locked := Front{}
	open := Front{Body: func(a, b []byte) bool { return a[0] == b[0] }}
	for _, c := range []struct {
		f    *Front
		body string
		want Refusal
	}{{&locked, "b", Locked}, {&open, "ab", None}, {&open, "ba", Owned}, {&open, strings.Repeat("a", 11), Large}} {
		if got := Rewrite(c.f, &lim, []byte("a"), []byte(c.body)); got != c.want {
			t.Errorf("%q: %v, want %v", c.body, got, c.want)
		}
	}
}

// TestTighten_AnyAsk_NeverLessCareful: nothing that a plug-in asks makes the relay less careful.
func TestTighten_AnyAsk_NeverLessCareful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Answer{Result: control.Result(rapid.IntRange(0, int(control.Rejected)).Draw(t, "result")),
			RetryAfter: time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * time.Second, Final: rapid.Bool().Draw(t, "over")}
		ask := Ask{RetryAfter: time.Duration(rapid.IntRange(-5, 90).Draw(t, "ask")) * time.Second, Refuse: rapid.Bool().Draw(t, "refuse")}
		after, why := Tighten(before, ask, &lim)
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
	if got, _ := Tighten(Answer{Result: control.Throttled, RetryAfter: time.Second}, Ask{RetryAfter: time.Hour}, &lim); got.RetryAfter != time.Minute {
		t.Errorf("a wait of an hour is cut to %v", got.RetryAfter)
	}
}
