package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// pair is a run without the plug-ins and a run with them, under the same load.
type pair struct{ without, with *result }

// comparison collects the results of all pairs.
type comparison struct {
	p50, p99 []float64 // with/without, of the delivery latency of the partners without hostile plug-ins
	cpu      []float64 // µs of CPU time per message, with minus without
	invalid  int       // messages lost, delivered though rejected, delivered twice or reported with two outcomes
}

func (c *comparison) add(p *pair) {
	c.p50 = append(c.p50, p.with.latency(50)/p.without.latency(50))
	c.p99 = append(c.p99, p.with.latency(99)/p.without.latency(99))
	c.cpu = append(c.cpu, p.with.cpu-p.without.cpu)
	for _, r := range []*result{p.without, p.with} {
		c.invalid += r.missing + r.duplicates
	}
}

func (c *comparison) print() {
	fmt.Printf("with/without, others' delivery latency: p50 median %.3f (%.3f to %.3f), p99 median %.3f (%.3f to %.3f); processor time a message %+.0f µs\n",
		median(c.p50), slices.Min(c.p50), slices.Max(c.p50), median(c.p99), slices.Min(c.p99), slices.Max(c.p99), median(c.cpu))
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// benchmark runs all pairs and prints the results.
func (o *options) benchmark() error {
	dir, err := os.MkdirTemp("", "plugin-benchmark")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	keys, err := o.modeKeys(dir)
	if err != nil {
		return err
	}
	if err := unix.SchedGetaffinity(0, &o.cpus); err != nil {
		return err
	}
	if err := avoidLastCPU(); err != nil {
		return fmt.Errorf("keeping this process off the relay's CPU: %w", err)
	}
	o.printHeader()
	var c comparison
	for i := range o.pairs {
		p, err := o.runPair(dir, keys, i)
		if err != nil {
			return err
		}
		c.add(p)
	}
	c.print()
	if c.invalid > 0 {
		return &deliveryError{c.invalid}
	}
	return nil
}

func (o *options) printHeader() {
	fmt.Printf("%d pairs of %d s, %d messages/s to %d partners and %d more that the plug-ins are for; the relay on one processor\n",
		o.pairs, o.seconds, o.rate, o.partners, o.victims)
	fmt.Printf("%-14s %9s %9s %9s %9s %9s %8s %8s %s\n", "run", "p50 ms", "p99 ms", "victims", "cpu µs", "peak MB", "ends", "missing", "")
}

// runPair runs both runs of a pair and prints a line for each. The order of the two alternates from pair to pair.
func (o *options) runPair(dir, keys string, number int) (*pair, error) {
	p := &pair{}
	for k := range 2 {
		runDir, seed := filepath.Join(dir, fmt.Sprint(number, k)), uint64(number+1)
		with := (number+k)%2 == 1
		name, runKeys, slot := "without", "", &p.without
		if with {
			name, runKeys, slot = o.mode, keys, &p.with
		}
		r, err := o.run(runDir, runKeys, seed)
		if err != nil {
			return nil, err
		}
		r.print(number+1, name)
		*slot = r
	}
	return p, nil
}
