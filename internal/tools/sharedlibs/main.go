// Command needed prints the shared libraries that an ELF binary asks for, one a line. It is a tool of `make check`.
package main

import (
	"debug/elf"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: needed BINARY")
		os.Exit(2)
	}
	f, err := elf.Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "needed:", err)
		os.Exit(1)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil {
		fmt.Fprintln(os.Stderr, "needed:", err)
		os.Exit(1)
	}
	for _, l := range libs {
		fmt.Println(l)
	}
}
