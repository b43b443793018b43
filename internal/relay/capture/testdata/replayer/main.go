// Command replayer replays captures with the module that it was built with; the test of mutants builds it.
package main

import (
	"fmt"
	"os"

	"mastusher/internal/relay/capture"
)

func main() {
	for _, file := range os.Args[1:] {
		f, err := os.Open(file)
		if err != nil {
			panic(err)
		}
		r, err := capture.NewReader(f)
		if err != nil {
			panic(err)
		}
		_, err = capture.Replay(r, capture.Options{})
		fmt.Printf("%s: %v\n", file, err)
	}
}
