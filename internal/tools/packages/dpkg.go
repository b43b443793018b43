package main

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
)

// packageDatabase holds what dpkg knows about packages on this machine.
type packageDatabase struct {
	owners       map[string][]string // names of packages, by the path of a file
	dependencies map[string][]string // names of packages, including all alternatives, by the name of an installed package
}

// queryDpkg asks dpkg for the owners of the files and for the dependencies of all installed packages.
func queryDpkg(files []string) (packageDatabase, error) {
	var paths []string
	for _, file := range files {
		paths = append(paths, aliasesOf(file)...)
	}
	owned, err := exec.Command("dpkg-query", append([]string{"--search"}, paths...)...).Output()
	if len(owned) == 0 { // the exit status can't tell: it is 1 if any path has no owner
		return packageDatabase{}, fmt.Errorf("querying dpkg for the owners of files: %w", err)
	}
	installed, err := exec.Command("dpkg-query", "--show", "--showformat", `${Package}\t${Pre-Depends}, ${Depends}\n`).Output()
	if err != nil {
		return packageDatabase{}, fmt.Errorf("querying dpkg for the installed packages: %w", err)
	}
	return packageDatabase{owners: parseOwners(string(owned)), dependencies: parseDepends(string(installed))}, nil
}

// aliasesOf returns the paths under which dpkg may know a file: /bin and /lib are links to folders of /usr.
func aliasesOf(file string) []string {
	if rest, merged := strings.CutPrefix(file, "/usr"); merged {
		return []string{file, rest}
	}
	return []string{file, "/usr" + file}
}

// parseOwners parses lines such as "libc6:amd64, libc6-dev: /usr/lib/x". Lines about diversions name no owner.
func parseOwners(text string) map[string][]string {
	owners := map[string][]string{}
	for line := range strings.Lines(text) {
		packages, path, found := strings.Cut(strings.TrimSpace(line), ": ")
		if !found || strings.HasPrefix(packages, "diversion by ") {
			continue
		}
		for _, name := range strings.Split(packages, ", ") {
			owners[path] = append(owners[path], packageName(name))
		}
	}
	return owners
}

// parseDepends parses lines such as "gcc<tab>, cpp (= 4:12.2.0-3), gcc-12 (>= 12.2.0-1~)".
func parseDepends(text string) map[string][]string {
	depends := map[string][]string{}
	for line := range strings.Lines(text) {
		name, list, _ := strings.Cut(strings.TrimSpace(line), "\t")
		names := []string{}
		for _, wanted := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == '|' }) {
			if wanted = packageName(strings.TrimSpace(wanted)); wanted != "" {
				names = append(names, wanted)
			}
		}
		depends[name] = names
	}
	return depends
}

// packageName returns the package name in text without version and architecture.
func packageName(text string) string {
	name, _, _ := strings.Cut(text, " ")
	name, _, _ = strings.Cut(name, ":")
	return name
}

// check returns the errors in a list of packages: a notInstalledError for each listed package that isn't installed, and an unlistedError
// for each file that is owned neither by a listed package nor by one on which a listed package depends.
func (d packageDatabase) check(files, listed []string) []error {
	var failures []error
	for _, name := range listed {
		if _, installed := d.dependencies[name]; !installed {
			failures = append(failures, &notInstalledError{Package: name})
		}
	}
	provided := d.closure(listed)
	for _, file := range files {
		owners := d.ownersOf(file)
		if !slices.ContainsFunc(owners, func(owner string) bool { return provided[owner] }) {
			failures = append(failures, &unlistedError{File: file, Owners: owners})
		}
	}
	return failures
}

// ownersOf returns the packages that own the file under any of its paths.
func (d packageDatabase) ownersOf(file string) []string {
	for _, name := range aliasesOf(file) {
		if owners := d.owners[name]; owners != nil {
			return owners
		}
	}
	return nil
}

// closure returns the named packages and all their direct and indirect dependencies.
func (d packageDatabase) closure(names []string) map[string]bool {
	reached := map[string]bool{}
	pending := slices.Clone(names)
	for len(pending) > 0 {
		name := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if !reached[name] {
			reached[name] = true
			pending = append(pending, d.dependencies[name]...)
		}
	}
	return reached
}
