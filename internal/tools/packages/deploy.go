package main

import (
	"github.com/BurntSushi/toml"
)

// deployFile is the part of a deploy file that describes its build. The fields have the names of the keys.
type deployFile struct {
	Build    string   // command line for a shell at the root of the repository
	Packages []string // names of Debian packages
}

// readDeployFile reads a deploy file. It fails with a missingKeyError if build or packages is missing; the list of
// packages may be empty.
func readDeployFile(path string) (deployFile, error) {
	var decoded deployFile
	keys, err := toml.DecodeFile(path, &decoded)
	if err != nil {
		return deployFile{}, err
	}
	for _, key := range []string{"build", "packages"} {
		if !keys.IsDefined(key) {
			return deployFile{}, &missingKeyError{Key: key}
		}
	}
	return decoded, nil
}
