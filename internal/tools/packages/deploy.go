package main

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// deploy is what a deploy file says of its build.
type deploy struct {
	Build    string   // for a shell at the root of the repository
	Packages []string // names of Debian packages
}

// readDeploy reads a deploy file. It is an error if build or packages is missing; a list may be empty.
func readDeploy(path string) (deploy, error) {
	var read deploy
	known, err := toml.DecodeFile(path, &read)
	if err != nil {
		return deploy{}, err
	}
	for _, key := range []string{"build", "packages"} {
		if !known.IsDefined(key) {
			return deploy{}, fmt.Errorf("%s is missing", key)
		}
	}
	return read, nil
}
