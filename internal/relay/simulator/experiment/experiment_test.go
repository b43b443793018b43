package experiment_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/simulator/experiment"
	"mastusher/internal/relay/simulator/report"
)

const text = `
name = "load"
policies = ["module", "single"]
seeds = [1, 2]
[sweep]
key = "rate"
values = [20.0, 60.0]
[world]
length = "3s"
[[world.partner]]
name = "a"
count = 3
workers = 2
[[world.trouble]]
kind = "slow"
factor = 4.0
at = "1s"
for = "1s"
`

// Saved results are equal after loading, and their page has all charts.
func TestResults_SavedAndLoaded_AreEqualAndMakePage(t *testing.T) {
	x, err := experiment.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	res, err := x.Run(3, func(done, of int) {
		if calls++; done != calls || of != 8 {
			t.Errorf("progress reports %d of %d runs", done, of)
		}
	})
	if err != nil || len(res.Cells) != 8 {
		t.Fatalf("%d cells, want 8; error %v", len(res.Cells), err)
	}
	if res.Cells[0].Result.Messages >= res.Cells[4].Result.Messages {
		t.Error("a higher rate gives no more messages")
	}
	file := filepath.Join(t.TempDir(), "results")
	if err = res.Save(file); err != nil {
		t.Fatal(err)
	}
	reread, err := experiment.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(res, reread); d != "" {
		t.Error(d)
	}
	var page bytes.Buffer
	if err := report.Write(&page, reread); err != nil {
		t.Fatal(err)
	}
	if p := page.String(); strings.Count(p, "<svg") != 4+2*5 || strings.Contains(p, "http://") && strings.Contains(p, "<script") {
		t.Errorf("%d charts in a page of %d bytes, want 14 and no external scripts", strings.Count(p, "<svg"), page.Len())
	}
	reread.Version++
	_ = reread.Save(file)
	if _, err := experiment.Load(file); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("file of version 2: error %v, want one that names the version", err)
	}
}

// The error for a bad value names its key.
func TestParse_BadValue_ErrorNamesKey(t *testing.T) {
	for change, want := range map[[2]string]string{
		{`"single"`, `"lucky"`}:          "key policies",
		{`key = "rate"`, `key = "luck"`}: "key sweep.key",
		{`[20.0, 60.0]`, `[]`}:           "sweep.values",
		{`seeds = [1, 2]`, `seeds = []`}: "seeds",
		{`count = 3`, `counts = 3`}:      "key world.partner.counts",
		{`kind = "slow"`, `kind = "x"`}:  "key trouble[0].kind",
	} {
		if _, err := experiment.Parse(strings.Replace(text, change[0], change[1], 1)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v, want one that contains %q", change, err, want)
		}
	}
}
