// Command plugin-benchmark measures the cost of plug-ins, and whether a hostile set of plug-ins slows down partners that they do not apply
// to. It starts the relay on one CPU, and endpoints and clients on the others, and runs the same load with and without the plug-ins in
// turn. Time and number of runs are bounded, and it uses loopback only.
//
// main.go has the flags, benchmark.go the pairs of runs and their report, run.go one run, load.go its clients, result.go its evaluation,
// modules.go the plug-ins and process.go the relay's process. The exit code is 2 for an invalid flag, and 1 if a run fails or a message is
// lost.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/pflag"
	"golang.org/x/sys/unix"
)

// options holds the flags, and the CPUs to use.
type options struct {
	relay    string // path of the relay's program
	pairs    int    // number of pairs of runs
	seconds  int    // length of a run
	rate     int    // messages per second
	partners int    // partners without hostile plug-ins; numbered from 0
	victims  int    // partners with hostile plug-ins; numbered after the others
	mode     string
	cpus     unix.CPUSet // CPUs that this process may run on
}

// bound is the value of a flag and the range of its values.
type bound struct {
	flag       string
	value      int
	min, limit int
}

func (b *bound) check() error {
	if b.value < b.min || b.value > b.limit {
		return &boundError{*b}
	}
	return nil
}

func main() {
	o := parseFlags()
	if err := o.check(); err != nil {
		fail(2, err)
	}
	if err := o.benchmark(); err != nil {
		fail(1, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "plugin-benchmark:", err)
	os.Exit(code)
}

func parseFlags() *options {
	o := &options{}
	pflag.StringVar(&o.relay, "relay", "bin/mastusher", "the relay's program")
	pflag.IntVar(&o.pairs, "pairs", 5, "runs with the plug-ins, each beside one without (1 to 50)")
	pflag.IntVar(&o.seconds, "seconds", 12, "length of a run (2 to 300)")
	pflag.IntVar(&o.rate, "rate", 200, "messages a second (1 to 2000)")
	pflag.IntVar(&o.partners, "partners", 20, "partners that the plug-ins are not for (1 to 200)")
	pflag.IntVar(&o.victims, "victims", 2, "partners that the hostile plug-ins are for (1 to 50)")
	pflag.StringVar(&o.mode, "mode", modeHostile, "the plug-ins: hostile, passing, none, or one of the hostile; or capture, which has no plug-ins and records: loops, traps, hoards, recurses, fans, floods")
	pflag.Parse()
	return o
}

// check returns an error for the first flag that is out of bounds.
func (o *options) check() error {
	for _, b := range []bound{
		{"pairs", o.pairs, 1, 50},
		{"seconds", o.seconds, 2, 300},
		{"rate", o.rate, 1, 2000},
		{"partners", o.partners, 1, 200},
		{"victims", o.victims, 1, 50},
	} {
		if err := b.check(); err != nil {
			return err
		}
	}
	return nil
}
