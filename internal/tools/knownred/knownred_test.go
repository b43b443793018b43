package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Events of one package p, as `go test -json` writes them.
const (
	passes = `{"Action":"output","Package":"p","Test":"TestGood","Output":"quiet\n"}
{"Action":"pass","Package":"p","Test":"TestGood"}
`
	failsInPart = `{"Action":"output","Package":"p","Test":"TestBad/part","Output":"wrong\n"}
{"Action":"fail","Package":"p","Test":"TestBad/part"}
{"Action":"fail","Package":"p","Test":"TestBad"}
`
	packagePasses = `{"Action":"output","Package":"p","Output":"PASS\n"}
{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}
{"Action":"pass","Package":"p"}
`
	packageFails = `{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}
{"Action":"fail","Package":"p"}
`
	panics = `{"Action":"output","Package":"p","Test":"TestBad","Output":"panic: oh\n"}
{"Action":"fail","Package":"p","Test":"TestBad"}
`
	hangs = `{"Action":"run","Package":"p","Test":"TestOther"}
{"Action":"output","Package":"p","Test":"TestOther","Output":"=== RUN   TestOther\n"}
`
	notBuilt = `{"ImportPath":"p [p.test]","Action":"build-output","Output":"p/p.go:1: undefined\n"}
{"ImportPath":"p [p.test]","Action":"build-fail"}
{"Action":"fail","Package":"p","FailedBuild":"p [p.test]"}
`
	listsBad = "TestBad p loses a race #7\n"
)

func TestRun_OnlyListedFailures_Pass(t *testing.T) {
	cases := []struct {
		name   string
		list   string
		events string
		status int
		shows  []string
		hides  []string
	}{
		{name: "all pass", events: passes + packagePasses, shows: []string{"ok  \tp"}, hides: []string{"quiet", "FAILED", "NOTE"}},
		{name: "a failure that isn't listed", events: passes + failsInPart + packageFails, status: 1,
			shows: []string{"wrong", "FAILED: TestBad of p failed"}},
		{name: "a listed failure", list: listsBad, events: passes + failsInPart + packageFails,
			shows: []string{"wrong", "NOTE: known to fail: TestBad of p, loses a race, #7"}, hides: []string{"FAILED"}},
		{name: "listed for another package", list: "TestBad q x #7\n", events: failsInPart + packageFails, status: 1,
			shows: []string{"FAILED: TestBad of p failed", "FAILED: TestBad of q is listed and did not run"}},
		{name: "a listed test that passes", list: "TestGood p x #7\n", events: passes + packagePasses,
			shows: []string{"NOTE: passes, though listed as known to fail: TestGood of p, #7"}, hides: []string{"FAILED"}},
		{name: "a listed test that doesn't exist", list: listsBad, events: passes + packagePasses, status: 1,
			shows: []string{"FAILED: TestBad of p is listed and did not run"}},
		{name: "a listed test that panics", list: listsBad, events: panics + packageFails, status: 1,
			shows: []string{"panic: oh", "FAILED: the tests of p broke off or were not built"}},
		{name: "a test that never ends beside a listed one", list: listsBad, events: hangs + failsInPart + packageFails, status: 1,
			shows: []string{"=== RUN   TestOther", "FAILED: the tests of p broke off or were not built"}},
		{name: "a package that isn't built", events: notBuilt, status: 1,
			shows: []string{"undefined", "FAILED: the tests of p broke off or were not built"}},
		{name: "a package that fails by itself", events: passes + packageFails, status: 1,
			shows: []string{"FAILED: p failed with no failed test"}},
		{name: "a package without events", status: 1, shows: []string{"FAILED: the tests of p have no end"}},
		{name: "input that isn't an event", events: "FAIL\n", status: 2, shows: []string{"is not an event"}},
		{name: "a list that can't be read", list: "TestBad\n", events: passes + packagePasses, status: 2, shows: []string{"line 1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var output bytes.Buffer
			if got := run(path, []string{"p"}, strings.NewReader(c.events), &output); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
			for _, text := range c.shows {
				if !strings.Contains(output.String(), text) {
					t.Errorf("the output lacks %q:\n%s", text, &output)
				}
			}
			for _, text := range c.hides {
				if strings.Contains(output.String(), text) {
					t.Errorf("the output has %q:\n%s", text, &output)
				}
			}
		})
	}
}

func TestReadList_EachKindOfLine(t *testing.T) {
	cases := []struct {
		name  string
		text  string
		want  []entry
		fault string
	}{
		{name: "empty"},
		{name: "blank lines", text: "\n \n"},
		{
			name: "a cause of several words",
			text: "TestA mastusher/p the clock goes back #12\n",
			want: []entry{{testID: testID{Package: "mastusher/p", Name: "TestA"}, Cause: "the clock goes back", Issue: "#12"}},
		},
		{name: "no issue", text: "TestA p cause\n", fault: "line 1"},
		{name: "a subtest", text: "\nTestA/b p cause #1\n", fault: "line 2"},
		{name: "no test", text: "BenchmarkA p cause #1\n", fault: "not a test function"},
		{name: "twice", text: "TestA p cause #1\nTestA p other #2\n", fault: "twice"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := readList(strings.NewReader(c.text))
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(entry{})); diff != "" {
				t.Error(diff)
			}
			if (err != nil) != (c.fault != "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Errorf("got %v, want %q", err, c.fault)
			}
		})
	}
}

// The list that `make check` uses must be readable.
func TestReadList_ProjectList_IsValid(t *testing.T) {
	file, err := os.Open("../../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := readList(file); err != nil {
		t.Error(err)
	}
}
