package main

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// deployFile is what a deploy file says of its build.
type deployFile struct {
	Build    string   // for a shell at the root of the repository
	Packages []string // names of Debian packages
}

// readDeployFile reads a deploy file. It is an error if build or packages is missing; a list may be empty.
func readDeployFile(path string) (deployFile, error) {
	var read deployFile
	known, err := toml.DecodeFile(path, &read)
	if err != nil {
		return deployFile{}, err
	}
	for _, key := range []string{"build", "packages"} {
		if !known.IsDefined(key) {
			return deployFile{}, fmt.Errorf("%s is missing", key)
		}
	}
	return read, nil
}
