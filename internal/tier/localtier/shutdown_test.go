package localtier

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestEndOfAProcessIsReadFromItsLog(t *testing.T) {
	cases := []struct {
		name, logged string
		took         time.Duration
		told         bool
	}{
		{name: "nothing"},
		{name: "another line", logged: "level=info msg=\"shutdown requested\" grace=2s\n"},
		{name: "a line that breaks off", logged: "level=info msg=\"process has ended\""},
		{name: "the time of another line", logged: "level=info msg=\"process has ended\"\nlevel=info msg=other after=1s\n"},
		{name: "the last of its lines", logged: "msg=\"process has ended\" after=3s\nmsg=\"process has ended\" after=1s\n",
			took: time.Second, told: true},
		{name: "its line", logged: "level=info msg=start after=1s\nlevel=info role=proxy msg=\"process has ended\" after=1.75s\nlevel=error\n",
			took: 1750 * time.Millisecond, told: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if took, told := shutdownTime(c.logged); took != c.took || told != c.told {
				t.Errorf("got %v, %v", took, told)
			}
		})
	}
}

func TestProcessMustSayThatItEndedWithinItsGraceTime(t *testing.T) {
	cases := map[string]string{
		"":                                       "doesn't say how long its end took",
		"msg=\"process has ended\" after=2.1s\n": "took 2.1s for its end, with a grace time of 2s",
		"msg=\"process has ended\" after=1.9s\n": "",
	}
	for logged, want := range cases {
		path := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(path, []byte(logged), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(checkShutdownIn("edge-1/proxy", path), "\n"); !strings.HasSuffix(got, want) || (got == "") != (want == "") {
			t.Errorf("logged %q: got %q", logged, got)
		}
	}
}
