// Package experiment runs worlds of package simulator under several policies, seeds and values of a swept key, several runs at once,
// and stores the results in versioned CBOR files. cmd/relay-simulator calls it. Run owns its worker goroutines and returns after
// they have ended; nothing else in the package is concurrent.
package experiment

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/policy"
)

// Experiment is a set of runs: one for each policy, with each seed, at each value of the sweep.
type Experiment struct {
	Name        string          `toml:"name"`
	Policies    []string        `toml:"policies"`
	Seeds       []uint64        `toml:"seeds"`
	MeasureHeap bool            `toml:"memory"` // measure the heap in use at the end of each run; the runs then are sequential
	Sweep       Sweep           `toml:"sweep"`
	World       simulator.World `toml:"world"`
}

// Sweep names a key of the world and its successive values.
type Sweep struct {
	Key    string    `toml:"key"`
	Values []float64 `toml:"values"`
}

// sweepKeys holds the keys that a sweep may name, with functions that set them.
var sweepKeys = map[string]func(*simulator.World, float64){
	"rate":          func(w *simulator.World, v float64) { w.Rate = v },
	"relays":        func(w *simulator.World, v float64) { w.Relays = int(v) },
	"uneven":        func(w *simulator.World, v float64) { w.Skew = v },
	"slots":         func(w *simulator.World, v float64) { w.Slots = int(v) },
	"clients.tries": func(w *simulator.World, v float64) { w.Clients.MaxAttempts = int(v) },
	"list_delay":    func(w *simulator.World, v float64) { w.ListDelay = simulator.Duration(v * float64(time.Second)) },
	"partner.count": func(w *simulator.World, v float64) {
		forEachPartner(w, func(p *simulator.Partner) { p.Count = int(v) })
	},
	"partner.endpoints": func(w *simulator.World, v float64) {
		forEachPartner(w, func(p *simulator.Partner) { p.Endpoints = int(v) })
	},
	"partner.queue": func(w *simulator.World, v float64) {
		forEachPartner(w, func(p *simulator.Partner) { p.QueueCapacity = int(v) })
	},
	"trouble.share": func(w *simulator.World, v float64) {
		for i := range w.Faults {
			w.Faults[i].Share = v
		}
	},
	"trouble.factor": func(w *simulator.World, v float64) {
		for i := range w.Faults {
			w.Faults[i].Factor = v
		}
	},
}

func forEachPartner(w *simulator.World, do func(*simulator.Partner)) {
	for i := range w.Partners {
		do(&w.Partners[i])
	}
}

// SweepKeys returns the keys that a sweep may name, sorted.
func SweepKeys() (all []string) {
	for k := range sweepKeys {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// PolicyNames returns the names of all policies, sorted.
func PolicyNames() (all []string) {
	for k := range policy.ByName {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Parse parses and validates an experiment file. Each error names its key.
func Parse(text string) (*Experiment, error) {
	x := Experiment{Name: "experiment", Policies: []string{"module"}, Seeds: []uint64{1}, World: simulator.Default()}
	if err := simulator.Decode(text, &x); err != nil {
		return nil, err
	}
	return &x, x.validate()
}

// validate checks the names and the world, of which it sets the defaults.
func (x *Experiment) validate() error {
	for _, p := range x.Policies {
		if policy.ByName[p] == nil {
			return &simulator.FileError{Key: "policies", Reason: fmt.Sprintf("%q is not one of %s", p, strings.Join(PolicyNames(), ", "))}
		}
	}
	if len(x.Policies) == 0 || len(x.Seeds) == 0 {
		return errNoRuns
	}
	if x.Sweep.Key != "" && sweepKeys[x.Sweep.Key] == nil {
		return &simulator.FileError{Key: "sweep.key", Reason: fmt.Sprintf("%q is not one of %s", x.Sweep.Key, strings.Join(SweepKeys(), ", "))}
	}
	if (x.Sweep.Key == "") != (len(x.Sweep.Values) == 0) {
		return errHalfSweep
	}
	if err := x.World.Validate(); err != nil {
		return fmt.Errorf("world: %w", err)
	}
	return nil
}

// Cell is one run of an experiment.
type Cell struct {
	SweepValue float64           `cbor:"Value"` // of the sweep's key
	Policy     string            `cbor:"Policy"`
	Seed       uint64            `cbor:"Seed"`
	Result     *simulator.Result `cbor:"Result"`
}

// Results are the results of an experiment. They are stored as CBOR under the keys of the tags, which must not change.
type Results struct {
	Version  int    `cbor:"Version"`
	Name     string `cbor:"Name"`
	SweepKey string `cbor:"Key"`
	World    string `cbor:"World"` // as TOML
	Cells    []Cell `cbor:"Cells"`
}

// Version is the format version of the files that Save writes and Load reads. It must change when earlier readers can't read new files.
const Version = 1

// Run executes all runs, up to cores of them concurrently, and calls progress (which may be nil) after each one, never concurrently. The
// order of the cells and the decisions in them do not depend on cores. After an error it starts no further run.
func (x *Experiment) Run(cores int, progress func(done, of int)) (*Results, error) {
	res, err := x.newResults()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex // guards next, done and failed, and serializes progress
	var workers sync.WaitGroup
	next, done := 0, 0
	var failed error
	if x.MeasureHeap {
		cores = 1
	}
	for range max(min(cores, len(res.Cells)), 1) {
		workers.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				stop := failed != nil || i >= len(res.Cells)
				mu.Unlock()
				if stop {
					return
				}
				runErr := x.runCell(&res.Cells[i])
				mu.Lock()
				if runErr != nil && failed == nil {
					failed = runErr
				}
				if done++; progress != nil {
					progress(done, len(res.Cells))
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return res, failed
}

// newResults returns results with a cell for each run, without its result.
func (x *Experiment) newResults() (*Results, error) {
	values := x.Sweep.Values
	if len(values) == 0 {
		values = []float64{0}
	}
	var text strings.Builder
	if err := toml.NewEncoder(&text).Encode(x.World); err != nil {
		return nil, err
	}
	res := &Results{Version: Version, Name: x.Name, SweepKey: x.Sweep.Key, World: text.String()}
	for _, v := range values {
		for _, p := range x.Policies {
			for _, s := range x.Seeds {
				res.Cells = append(res.Cells, Cell{SweepValue: v, Policy: p, Seed: s})
			}
		}
	}
	return res, nil
}

// runCell executes the run of a cell and sets its result.
func (x *Experiment) runCell(c *Cell) error {
	w := x.World
	w.Partners, w.Classes, w.Faults = slices.Clone(w.Partners), slices.Clone(w.Classes), slices.Clone(w.Faults)
	if w.Seed = c.Seed; x.Sweep.Key != "" {
		sweepKeys[x.Sweep.Key](&w, c.SweepValue)
	}
	if err := w.Validate(); err != nil {
		return fmt.Errorf("sweep key %s = %v: %w", x.Sweep.Key, c.SweepValue, err)
	}
	before := uint64(0)
	if x.MeasureHeap {
		before = heapInUse()
	}
	res, r, err := runWorld(&w, c.Policy)
	if c.Result = res; err == nil && x.MeasureHeap {
		after := heapInUse()
		runtime.KeepAlive(r)
		res.HeapBytes = after - min(before, after)
	}
	return err
}

// RunWorld runs a world under the named policy; an unknown name is an *UnknownPolicyError.
func RunWorld(w *simulator.World, name string) (*simulator.Result, error) {
	res, _, err := runWorld(w, name)
	return res, err
}

// runWorld does the work of RunWorld. It also returns the run, so that the caller can keep its memory reachable.
func runWorld(w *simulator.World, name string) (*simulator.Result, *simulator.Run, error) {
	factory := policy.ByName[name]
	if factory == nil {
		return nil, nil, &UnknownPolicyError{Name: name}
	}
	r, err := simulator.New(w, factory)
	if err != nil {
		return nil, nil, err
	}
	if policy.SharesLimits(name) {
		r.EnableSharing(simulator.DefaultSharing())
	}
	start := time.Now()
	res := r.Execute()
	res.Policy, res.WallTime = name, time.Since(start)
	return res, r, nil
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Save writes the results to a file, which Load reads.
func (r *Results) Save(file string) error {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(file, encoded, 0o644)
}

// Load reads a file that Save wrote; a file of another Version is a *VersionError.
func Load(file string) (*Results, error) {
	encoded, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var header struct{ Version int }
	if err := cbor.Unmarshal(encoded, &header); err != nil {
		return nil, fmt.Errorf("%s holds no results: %w", file, err)
	}
	if header.Version != Version {
		return nil, &VersionError{File: file, Version: header.Version}
	}
	var results Results
	return &results, cbor.Unmarshal(encoded, &results)
}
