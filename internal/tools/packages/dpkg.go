package main

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
)

// packageDatabase is what the package manager knows of this machine.
type packageDatabase struct {
	owners       map[string][]string // packages by the path of a file
	dependencies map[string][]string // by the name of an installed package; all alternatives
}

// queryDpkg asks for the owners of files and for all dependencies.
func queryDpkg(files []string) (packageDatabase, error) {
	var asked []string
	for _, file := range files {
		asked = append(asked, aliasesOf(file)...)
	}
	owned, err := exec.Command("dpkg-query", append([]string{"--search"}, asked...)...).Output()
	if len(owned) == 0 { // its status also tells of names that nobody owns
		return packageDatabase{}, fmt.Errorf("asking for the owners of files: %w", err)
	}
	installed, err := exec.Command("dpkg-query", "--show", "--showformat", `${Package}\t${Pre-Depends}, ${Depends}\n`).Output()
	if err != nil {
		return packageDatabase{}, fmt.Errorf("asking for the installed packages: %w", err)
	}
	return packageDatabase{owners: parseOwners(string(owned)), dependencies: parseDepends(string(installed))}, nil
}

// aliasesOf gives the names under which dpkg may know a file: /bin and /lib have become links to folders of /usr.
func aliasesOf(file string) []string {
	if rest, merged := strings.CutPrefix(file, "/usr"); merged {
		return []string{file, rest}
	}
	return []string{file, "/usr" + file}
}

// parseOwners reads lines such as "libc6:amd64, libc6-dev: /usr/lib/x". Lines about diversions tell of no owner.
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

// parseDepends reads lines such as "gcc<tab>, cpp (= 4:12.2.0-3), gcc-12 (>= 12.2.0-1~)".
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

// packageName strips version and architecture.
func packageName(text string) string {
	name, _, _ := strings.Cut(text, " ")
	name, _, _ = strings.Cut(name, ":")
	return name
}

// check returns what is wrong with a list: a file that none of its packages and none that these depend on owns, or a package
// that isn't installed here, of which the build proves nothing.
func (d packageDatabase) check(files, listed []string) []error {
	var faults []error
	for _, name := range listed {
		if _, installed := d.dependencies[name]; !installed {
			faults = append(faults, fmt.Errorf("%s is listed and not installed here", name))
		}
	}
	brought := d.closure(listed)
	for _, file := range files {
		owners := d.ownersOf(file)
		if !slices.ContainsFunc(owners, func(owner string) bool { return brought[owner] }) {
			faults = append(faults, fmt.Errorf("the build opens %s of %v, which isn't listed", file, owners))
		}
	}
	return faults
}

func (d packageDatabase) ownersOf(file string) []string {
	for _, name := range aliasesOf(file) {
		if owners := d.owners[name]; owners != nil {
			return owners
		}
	}
	return nil
}

// closure returns the packages and all that they depend on.
func (d packageDatabase) closure(names []string) map[string]bool {
	brought := map[string]bool{}
	open := slices.Clone(names)
	for len(open) > 0 {
		name := open[len(open)-1]
		open = open[:len(open)-1]
		if !brought[name] {
			brought[name] = true
			open = append(open, d.dependencies[name]...)
		}
	}
	return brought
}
