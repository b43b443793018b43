package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestCheckPages_NamesThatTheTreeLacks_AreFound(t *testing.T) {
	root := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("Makefile", "check: test\ntest:\n\ttrue\n")
	write("internal/log/log.go", "package log\n\ntype Log[T any] struct{ Term uint64 }\n\nfunc (l *Log[T]) Append() {}\n\ntype entry struct{ size int }\n\nconst Max = 1\n")
	write("docs/other.md", "nothing\n")

	for name, c := range map[string]struct {
		page string
		want []string
	}{
		"all there": {
			"`log.Log`, `log.Log.Append`, `log.Log.Term`, `log.Max`, `internal/log/log.go`, `internal/*/`, [other](other.md#part)\n    make check\n", nil},
		"a symbol that is gone":        {"`log.Ledger`", []string{"page.md:1: package log declares no Ledger"}},
		"a method that is gone":        {"one\n`log.Log.Book()`", []string{"page.md:2: package log declares no Log.Book"}},
		"an unexported type's method":  {"`log.entry.size` `log.entry.term`", []string{"page.md:1: package log declares no entry.term"}},
		"a package of others":          {"`http.Nothing`", nil},
		"a file that is gone":          {"see `internal/log/old.go`", []string{"page.md:1: internal/log/old.go is not there"}},
		"a path in a command":          {"    go test ./internal/old -run X", []string{"page.md:1: internal/old is not there"}},
		"all packages below a path":    {"`go test ./internal/log/...`", nil},
		"a link that leads nowhere":    {"[x](nowhere.md)", []string{"page.md:1: link to nowhere.md, which is not there"}},
		"a link to the outside":        {"[x](https://example.org/x)", nil},
		"a target that is gone":        {"`make nothing`", []string{"page.md:1: make nothing: no such target"}},
		"what a build leaves":          {"`bin/tool` and `target/tool`", nil},
		"prose with a slash and a dot": {"and/or e.g. this", nil},
	} {
		t.Run(name, func(t *testing.T) {
			write("docs/page.md", c.page)
			found, err := checkPages(root, []string{"docs/page.md"})
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, f := range found {
				f.page = filepath.Base(f.page)
				got = append(got, f.String())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

func TestCheckPages_PageThatIsNotThere_IsAnError(t *testing.T) {
	if _, err := checkPages(t.TempDir(), []string{"README.md"}); err == nil {
		t.Error("no error")
	}
}
