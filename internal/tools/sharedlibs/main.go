// Command sharedlibs prints the shared libraries that an ELF binary needs (its DT_NEEDED entries), one a line in the order of the
// file. The scripts in .ci check with it that a binary is linked dynamically against the C library. The exit status is 1 for a
// file that can't be read, and 2 without exactly one argument.
package main

import (
	"debug/elf"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: sharedlibs BINARY")
		os.Exit(2)
	}
	libraries, err := neededLibraries(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "sharedlibs:", err)
		os.Exit(1)
	}
	for _, library := range libraries {
		fmt.Println(library)
	}
}

// neededLibraries returns the names of the shared libraries that the binary at path needs; none if it is linked statically.
func neededLibraries(path string) ([]string, error) {
	binary, err := elf.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	defer binary.Close()
	libraries, err := binary.ImportedLibraries()
	if err != nil {
		return nil, fmt.Errorf("reading the libraries of %s: %w", path, err)
	}
	return libraries, nil
}
