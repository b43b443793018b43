package localtier

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestShutdownTime_Log_IsParsed(t *testing.T) {
	cases := []struct {
		name, content string
		took          time.Duration
		logged        bool
	}{
		{name: "an empty log"},
		{name: "another line", content: "level=info msg=\"shutdown requested\" grace=2s\n"},
		{name: "a line without a time", content: "level=info msg=\"process has ended\""},
		{name: "a time on another line only", content: "level=info msg=\"process has ended\"\nlevel=info msg=other after=1s\n"},
		{name: "the last of several shutdowns", content: "msg=\"process has ended\" after=3s\nmsg=\"process has ended\" after=1s\n",
			took: time.Second, logged: true},
		{name: "a shutdown among other lines", content: "level=info msg=start after=1s\nlevel=info role=proxy msg=\"process has ended\" after=1.75s\nlevel=error\n",
			took: 1750 * time.Millisecond, logged: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if took, logged := shutdownTime(c.content); took != c.took || logged != c.logged {
				t.Errorf("got %v, %v", took, logged)
			}
		})
	}
}

func TestCheckShutdown_EndedLateOrUnlogged_IsReported(t *testing.T) {
	cases := map[string]string{
		"":                                       "has not logged how long its shutdown took",
		"msg=\"process has ended\" after=2.1s\n": "took 2.1s to shut down, more than its grace time of 2s",
		"msg=\"process has ended\" after=1.9s\n": "",
	}
	for content, want := range cases {
		path := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(checkShutdownIn("edge-1/proxy", path), "\n"); !strings.HasSuffix(got, want) || (got == "") != (want == "") {
			t.Errorf("logged %q: got %q", content, got)
		}
	}
}
