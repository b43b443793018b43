package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sampleOwners = `gcc: /usr/bin/gcc
diversion by dash from: /bin/sh
diversion by dash to: /bin/sh.distrib
dash: /bin/sh
libc6-dev:amd64, libc6-dev-other: /usr/include/stdio.h
linux-libc-dev:amd64: /usr/include/linux/errno.h
`

const sampleInstalled = "gcc\t, cpp (= 4:12.2.0-3), gcc-12 (>= 12.2.0-1~)\n" +
	"gcc-12\t, cpp-12 (= 12.2.0-14), binutils (>= 2.40) | binutils-other:any\n" +
	"libc6-dev\t, libc6 (= 2.36-9), linux-libc-dev\n" +
	"linux-libc-dev\t, \n" +
	"dash\tlibc6 (>= 2.36), debianutils (>= 5.6-0.1)\n"

func sampleDpkg() packageDatabase {
	return packageDatabase{owners: parseOwners(sampleOwners), dependencies: parseDepends(sampleInstalled)}
}

func TestParse_DpkgOutput(t *testing.T) {
	known := sampleDpkg()
	wantOwners := map[string][]string{
		"/usr/bin/gcc":               {"gcc"},
		"/bin/sh":                    {"dash"},
		"/usr/include/stdio.h":       {"libc6-dev", "libc6-dev-other"},
		"/usr/include/linux/errno.h": {"linux-libc-dev"},
	}
	if difference := cmp.Diff(wantOwners, known.owners); difference != "" {
		t.Error(difference)
	}
	wantDepends := map[string][]string{
		"gcc":            {"cpp", "gcc-12"},
		"gcc-12":         {"cpp-12", "binutils", "binutils-other"},
		"libc6-dev":      {"libc6", "linux-libc-dev"},
		"linux-libc-dev": {},
		"dash":           {"libc6", "debianutils"},
	}
	if difference := cmp.Diff(wantDepends, known.dependencies); difference != "" {
		t.Error(difference)
	}
}

func TestCheck_EachKindOfList(t *testing.T) {
	opened := []string{"/usr/bin/gcc", "/usr/bin/sh", "/usr/include/stdio.h", "/usr/include/linux/errno.h"}
	cases := []struct {
		name     string
		opened   []string
		listed   []string
		failures []string
	}{
		{name: "all listed", opened: opened, listed: []string{"dash", "gcc", "libc6-dev", "linux-libc-dev"}},
		{name: "one is a dependency of another", opened: opened, listed: []string{"dash", "gcc", "libc6-dev"}},
		{
			name:     "one is missing",
			opened:   opened,
			listed:   []string{"dash", "gcc"},
			failures: []string{"stdio.h of [libc6-dev libc6-dev-other]", "errno.h of [linux-libc-dev]"},
		},
		{name: "a file without an owner", opened: []string{"/opt/cc1"}, listed: []string{"gcc"}, failures: []string{"/opt/cc1 of []"}},
		{name: "a package that isn't installed", listed: []string{"gcc", "clang"}, failures: []string{"clang is listed"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			failures := sampleDpkg().check(tc.opened, tc.listed)
			if len(failures) != len(tc.failures) {
				t.Fatalf("found %v, want %v", failures, tc.failures)
			}
			for i, want := range tc.failures {
				if !strings.Contains(failures[i].Error(), want) {
					t.Errorf("found %v, want %s", failures[i], want)
				}
			}
		})
	}
}

func TestReadDeployFile_BuildAndPackagesAreRequired(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deploy.toml")
	given := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	given("build = \"mkdir -p target && CGO_ENABLED=1 go build -o target/ ./cmd\"\npackages = [\"gcc\", \"dash\"]\n[roles.a]\n")
	got, err := readDeployFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := deployFile{Build: "mkdir -p target && CGO_ENABLED=1 go build -o target/ ./cmd", Packages: []string{"gcc", "dash"}}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff([]string{"mkdir"}, commandsOf(got.Build)); difference != "" {
		t.Error(difference)
	}
	given("build = \"go build\"\n")
	if _, err := readDeployFile(path); err == nil {
		t.Error("a file without packages is accepted")
	}
}

func TestPathsIn_Trace_GivesCleanAbsolutePaths(t *testing.T) {
	trace := " /usr/lib/gcc/cc1 -quiet -I ./ x.c\n.. /usr/include/stdio.h\n... /usr/lib/gcc/include/../stddef.h\nCOLLECT_LTO_WRAPPER=/usr/lib/gcc/lto-wrapper\n"
	want := []string{"/usr/lib/gcc/cc1", "/usr/include/stdio.h", "/usr/lib/gcc/stddef.h"}
	if difference := cmp.Diff(want, pathsIn(trace)); difference != "" {
		t.Error(difference)
	}
}

func TestWithOutput_ReplacesTheOutputFolder(t *testing.T) {
	got, err := withOutput("mkdir -p bin && go build -o bin/ ./cmd", "/tmp/x/")
	if want := "mkdir -p bin && go build -o /tmp/x/ ./cmd"; err != nil || got != want {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
	if _, err := withOutput("go build ./cmd", "/tmp/x/"); err == nil {
		t.Error("a build line without -o is accepted")
	}
}
