package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tidwall/gjson"
)

func validOptions() *options {
	return &options{pairs: 1, seconds: 2, rate: 1, partners: 3, victims: 2, mode: modeHostile}
}

func TestOptions_OutOfBounds_AreNamed(t *testing.T) {
	if err := validOptions().check(); err != nil {
		t.Fatalf("valid options: %v", err)
	}
	for name, c := range map[string]struct {
		change func(*options)
		want   string
	}{
		"no pair":           {func(o *options) { o.pairs = 0 }, "--pairs: want 1 to 50"},
		"run too short":     {func(o *options) { o.seconds = 1 }, "--seconds: want 2 to 300"},
		"rate too high":     {func(o *options) { o.rate = 2001 }, "--rate: want 1 to 2000"},
		"too many partners": {func(o *options) { o.partners = 201 }, "--partners: want 1 to 200"},
		"no victim":         {func(o *options) { o.victims = 0 }, "--victims: want 1 to 50"},
	} {
		t.Run(name, func(t *testing.T) {
			o := validOptions()
			c.change(o)
			if err := o.check(); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

// TestModeKeys_Hostile_AreForVictimsAndFloodsLast checks that hostile plug-ins apply to the victims only, that their modules are written,
// and that the one that rejects messages comes last. Otherwise, the plug-ins after it would never be called.
func TestModeKeys_Hostile_AreForVictimsAndFloodsLast(t *testing.T) {
	dir := t.TempDir()
	keys, err := validOptions().modeKeys(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	gjson.Get("{"+strings.TrimSuffix(keys, ", ")+"}", "plugins").ForEach(func(_, p gjson.Result) bool {
		names = append(names, p.Get("name").String())
		if got := p.Get("partners").Raw; got != "[3,4]" {
			t.Errorf("plug-in %s applies to partners %s, want 3 and 4", p.Get("name"), got)
		}
		if want := filepath.Join(dir, p.Get("name").String()+".wasm"); p.Get("file").String() != want {
			t.Errorf("module file %s, want %s", p.Get("file"), want)
		}
		if _, err := os.Stat(p.Get("file").String()); err != nil {
			t.Error(err)
		}
		return true
	})
	if d := cmp.Diff([]string{"fans", "hoards", "loops", "recurses", "traps", "floods"}, names); d != "" {
		t.Errorf("plug-ins (-want +got)\n%s", d)
	}
}

func TestModeKeys_UnknownMode_IsNamed(t *testing.T) {
	o := validOptions()
	o.mode = "dance"
	_, err := o.modeKeys(t.TempDir())
	var unknown *modeError
	if !errors.As(err, &unknown) || err.Error() != `--mode: there is no "dance"` {
		t.Errorf("error %v, want a modeError that names the mode", err)
	}
}

func TestMedian_EvenAndOdd(t *testing.T) {
	for name, c := range map[string]struct {
		values []float64
		want   float64
	}{
		"one value":  {[]float64{3}, 3},
		"odd count":  {[]float64{9, 1, 4}, 4},
		"even count": {[]float64{9, 1, 4, 2}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			if got := median(c.values); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
