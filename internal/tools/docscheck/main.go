// Command docscheck checks that what the documentation names exists in the repository: files and folders, links between pages, targets
// of the Makefile, Go symbols written as package.Name, tests, metrics, and packages in tables of packages. It also checks that the page
// of log lines describes exactly those that the code writes. `make check` runs it, so that a rename cannot leave the pages outdated.
//
//	go run ./internal/tools/docscheck README.md docs
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: docscheck PAGE|FOLDER...")
		os.Exit(2)
	}
	findings, err := checkPages(".", os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "docscheck:", err)
		os.Exit(2)
	}
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}
