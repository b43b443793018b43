package overloadtest

import (
	"fmt"
	"os"
	"testing"
)

// binaryFolder holds the program that the tests start.
var binaryFolder string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests runs the tests with a folder for the program.
func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "overloadtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaryFolder = folder
	return m.Run()
}
