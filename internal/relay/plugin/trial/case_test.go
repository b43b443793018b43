package trial

import (
	"errors"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/control"
	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
)

const caseFile = `# a comment
case every key
  phase answer
  front activitypub
  id m-1
  key k-1
  partner 7
  class score-state
  body {"a": 1}
  in x-team: a
  again true
  left 1500ms
  now 2026-02-03T04:05:06Z
  status 503
  told 2s
  to endpoint-2
  how given_up
  fresh
want
  pass
  log a line

case nothing named
want
	pass
`

func TestParse_File_HasCasesWithDefaults(t *testing.T) {
	all, err := Parse(strings.NewReader(caseFile))
	if err != nil {
		t.Fatal(err)
	}
	defaults := New("nothing named")
	defaults.Line, defaults.Want = 23, []string{"pass"}
	want := []Case{{Name: "every key", Line: 2, Fresh: true, Want: []string{"pass", "log a line"}, Call: plugin.Call{
		Phase: plugin.Answer, Front: "activitypub", ID: "m-1", Key: "k-1", Partner: 7, ClassName: "score-state", Body: []byte(`{"a": 1}`),
		In: textproto.MIMEHeader{"X-Team": {"a"}}, Resubmitted: true, TimeLeft: 1500 * time.Millisecond,
		Now: time.Date(2026, 2, 3, 4, 5, 6, 0, time.UTC), Status: 503, Destination: "endpoint-2", Result: "given_up",
		Answer: rules.Answer{Result: control.Throttled, RetryAfter: 2 * time.Second}}}, defaults}
	if d := cmp.Diff(want, all, cmpopts.IgnoreUnexported(plugin.Call{})); d != "" {
		t.Errorf("cases (-want +got)\n%s", d)
	}
}

func TestParse_UnreadableLine_IsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		file string
		line int
		want string
	}{
		"no case before the first line": {"wrong\n", 1, "line 1: want a case"},
		"key before the first case":     {"\n  id a\n", 2, "line 2: want a case"},
		"unknown keyword":               {"case a\nthen\n", 2, `line 2: want "case", "want" or an indented line`},
		"unknown key":                   {"case a\n  size 1\n", 2, `line 2: unknown key "size"`},
		"unknown phase":                 {"case a\n  phase noon\n", 2, `line 2: phase: "noon" is none of arrival, answer, end`},
		"header without a value":        {"case a\n\n  in X-Team\n", 3, "line 3: in: want NAME: VALUE"},
		"invalid number":                {"case a\n  partner x\n", 2, `line 2: partner: strconv.Atoi: parsing "x": invalid syntax`},
		"time without a unit":           {"case a\n  left 5\n", 2, `line 2: left: time: missing unit in duration "5"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(c.file))
			var line *LineError
			if !errors.As(err, &line) || line.Line != c.line || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestCase_UnusableValue_NamesKey(t *testing.T) {
	c := New("a")
	var key *KeyError
	if err := c.Set("partner", "x"); !errors.As(err, &key) || key.Key != "partner" {
		t.Errorf("error %v, want one that names the key partner", err)
	}
	var unknown *UnknownKeyError
	if err := c.Set("size", "1"); !errors.As(err, &unknown) || unknown.Key != "size" {
		t.Errorf("error %v, want one that names the key size", err)
	}
}
