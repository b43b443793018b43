package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// tree is a source tree in a temporary folder.
type tree struct {
	t    *testing.T
	root string
}

func newTree(t *testing.T) tree {
	t.Helper()
	files := tree{t, t.TempDir()}
	files.write("Makefile", "check: test\ntest:\n\ttrue\n")
	return files
}

func (f tree) write(name, text string) {
	f.t.Helper()
	path := filepath.Join(f.root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// findings checks the tree's pages and returns the texts of the findings, which name each page by its base name.
func (f tree) findings() []string {
	f.t.Helper()
	found, err := checkPages(f.root, []string{"docs"})
	if err != nil {
		f.t.Fatal(err)
	}
	var texts []string
	for _, one := range found {
		one.page = filepath.Base(one.page)
		texts = append(texts, one.String())
	}
	return texts
}

func TestCheckPages_NamesThatTheTreeLacks_AreFound(t *testing.T) {
	files := newTree(t)
	write := files.write
	write("internal/log/log.go", "package log\n\ntype Log[T any] struct{ Term uint64 }\n\nfunc (l *Log[T]) Append() {}\n\ntype entry struct{ size int }\n\nconst Max = 1\n")
	write("internal/log/log_test.go", "package log\n\nfunc TestLog_Empty_HasNoLast() {}\n")
	write("internal/metrics/metrics.go", "package metrics\n\nimport _ \"github.com/prometheus/client_golang/prometheus\"\n\nvar name = \"orders_total\"\n")
	write("docs/other.md", "nothing\n")

	for name, c := range map[string]struct {
		page string
		want []string
	}{
		"every name exists": {
			"`log.Log`, `log.Log.Append`, `log.Log.Term`, `log.Max`, `internal/log/log.go`, `internal/*/`, [other](other.md#part)\n    make check\n", nil},
		"a missing symbol":             {"`log.Ledger`", []string{"page.md:1: package log declares no Ledger"}},
		"a missing method":             {"one\n`log.Log.Book()`", []string{"page.md:2: package log declares no Log.Book"}},
		"an unexported type's method":  {"`log.entry.size` `log.entry.term`", []string{"page.md:1: package log declares no entry.term"}},
		"an external package":          {"`http.Nothing`", nil},
		"a missing file":               {"see `internal/log/old.go`", []string{"page.md:1: internal/log/old.go does not exist"}},
		"a path in a command":          {"    go test ./internal/old -run X", []string{"page.md:1: no test matches -run X", "page.md:1: internal/old does not exist"}},
		"all packages below a path":    {"`go test ./internal/log/...`", nil},
		"a broken link":                {"[x](nowhere.md)", []string{"page.md:1: link to nowhere.md, which does not exist"}},
		"an external link":             {"[x](https://example.org/x)", nil},
		"a missing make target":        {"`make nothing`", []string{"page.md:1: make nothing: no such target"}},
		"build output":                 {"`bin/tool` and `target/tool`", nil},
		"prose with a slash and a dot": {"and/or e.g. this", nil},
		"a test, and a subtest of it":  {"`TestLog_Empty_HasNoLast`, `TestLog_Empty_HasNoLast/one`", nil},
		"a missing test":               {"`TestBook`", []string{"page.md:1: no package declares TestBook"}},
		"a pattern of tests":           {"    go test ./internal/log -run Empty_HasNo/one -v", nil},
		"a pattern without a match":    {"`go test ./internal/log -run 'BookIs'`", []string{"page.md:1: no test matches -run BookIs"}},
		"a benchmark alone":            {"`go test ./internal/log -run xxx -bench Append`", []string{"page.md:1: no test matches -bench Append"}},
		"a metric and its series":      {"`mastusher_orders_total`, `mastusher_orders_total_count`, `mastusher_orders_total{kind=\"x\"}`", nil},
		"a missing metric":             {"`mastusher_changes_total`", []string{"page.md:1: there is no metric mastusher_changes_total"}},
		"packages in a table": {
			"| package | job |\n| --- | --- |\n| `log`, `internal` | `ledger` |\n\n`ledger`", nil},
		"a missing package": {
			"| package (`internal`) |\n| --- |\n| `log`, `ledger` |", []string{"page.md:3: there is no package ledger"}},
	} {
		t.Run(name, func(t *testing.T) {
			write("docs/page.md", c.page)
			got := files.findings()
			if !slices.Equal(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

func TestCheckPages_PageThatIsNotThere_IsAnError(t *testing.T) {
	if _, err := checkPages(t.TempDir(), []string{"README.md"}); err == nil {
		t.Error("no error for a page that does not exist")
	}
}

func TestCheckPages_LogLines_StandOnThePageAndInTheCode(t *testing.T) {
	files := newTree(t)
	files.write("internal/tier/store/store.go", `package store

import "mastusher/internal/tier/invariant"

const ended = "replica ended"

func run(logger Logger, state string) {
	logger.Log("msg", "shards placed", "base", 1)
	logger.Log(append([]any{"msg", ended}, more()...)...)
	logger.Log("msg", invariant.Message)
	logger.Log("msg", "member "+state)
	logger.Log("peer", "msg")
}
`)
	files.write("internal/tier/invariant/invariant.go", "package invariant\n\nconst Message = \"invariant broken\"\n")
	files.write("internal/tier/store/store_test.go", "package store\n\nfunc test(logger Logger) { logger.Log(\"msg\", \"only in a test\") }\n")
	files.write("internal/tier/soak/soak.go", "package soak\n\nfunc run(logger Logger) { logger.Log(\"msg\", \"only in a harness\") }\n")
	files.write("internal/relay/engine/core.go", `package engine

func (c *Core) run() {
	c.log.Warn("journal not written", "err", c.err)
	c.count.Info("not a log line")
	c.logPhase("draining")
}
`)
	all := "| event | meaning |\n| --- | --- |\n| `shards placed`, `replica ended` | `not an event` |\n| `invariant broken` | |\n" +
		"| `member joined`, `member died` | |\n| `journal not written` | |\n| `draining` | |\n"

	files.write(logPage, all)
	if got := files.findings(); len(got) != 0 {
		t.Errorf("every log line is described: found %q, want none", got)
	}
	files.write(logPage, strings.ReplaceAll(all, "`shards placed`, ", "`shards moved`, "))
	want := []string{`logs.md:3: nothing logs "shards moved"`, `logs.md:0: the log line "shards placed" isn't described`}
	if got := files.findings(); !slices.Equal(got, want) {
		t.Errorf("one log line is described under another name: found %q, want %q", got, want)
	}
	files.write(logPage, strings.ReplaceAll(all, "| `member joined`, `member died` | |\n", ""))
	want = []string{`logs.md:0: the log line "member " isn't described`}
	if got := files.findings(); !slices.Equal(got, want) {
		t.Errorf("a message completed at run time is not described: found %q, want %q", got, want)
	}
}
