package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
)

func main() {
	if folder := os.Getenv(traceVariable); folder != "" {
		os.Exit(compile(folder, os.Args[1:]))
	}
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: packages DEPLOY-FILE...")
		os.Exit(2)
	}
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		fmt.Println("packages: not checked: this machine has no dpkg-query to look up the owners of files")
		return
	}
	status := 0
	for _, path := range os.Args[1:] {
		if err := check(path); err != nil {
			fmt.Fprintf(os.Stderr, "packages: %s: %v\n", path, err)
			status = 1
		}
	}
	os.Exit(status)
}

// check traces the build of one deploy file and checks its list of packages. Its error joins a notInstalledError or unlistedError for
// each fault of the list.
func check(path string) error {
	declared, err := readDeployFile(path)
	if err != nil {
		return err
	}
	opened, err := traceBuild(declared.Build)
	if err != nil {
		return err
	}
	database, err := queryDpkg(opened)
	if err != nil {
		return err
	}
	if err := errors.Join(database.check(opened, declared.Packages)...); err != nil {
		return err
	}
	fmt.Printf("%s: its %d packages, and what they depend on, own the %d files that the build opens\n", path, len(declared.Packages), len(opened))
	return nil
}
