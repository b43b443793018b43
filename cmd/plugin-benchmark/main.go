// Command plugin-benchmark measures what plug-ins cost, and whether a hostile set of them costs the other partners anything.
// It starts the relay on one processor, endpoints and clients on the others, and plays the same load with and without
// the plug-ins in turn. It is bounded in time and count, and uses loopback only.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/pflag"
	"golang.org/x/sys/unix"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/wasmtest"
	"mastusher/internal/relay/standin"
)

// options are the flags.
type options struct {
	relay    string
	pairs    int
	seconds  int
	rate     int
	partners int
	victims  int
	mode     string
	cpus     unix.CPUSet // that there are
}

func main() {
	o := &options{}
	pflag.StringVar(&o.relay, "relay", "bin/mastusher", "the relay's program")
	pflag.IntVar(&o.pairs, "pairs", 5, "runs with the plug-ins, each beside one without (1 to 50)")
	pflag.IntVar(&o.seconds, "seconds", 12, "length of a run (2 to 300)")
	pflag.IntVar(&o.rate, "rate", 200, "messages a second (1 to 2000)")
	pflag.IntVar(&o.partners, "partners", 20, "partners that the plug-ins are not for (1 to 200)")
	pflag.IntVar(&o.victims, "victims", 2, "partners that the hostile plug-ins are for (1 to 50)")
	pflag.StringVar(&o.mode, "mode", "hostile", "the plug-ins: hostile, passing, none, or one of the hostile; or capture, which has no plug-ins and records: loops, traps, hoards, recurses, fans, floods")
	pflag.Parse()
	for name, v := range map[string][3]int{"pairs": {o.pairs, 1, 50}, "seconds": {o.seconds, 2, 300}, "rate": {o.rate, 1, 2000},
		"partners": {o.partners, 1, 200}, "victims": {o.victims, 1, 50}} {
		if v[0] < v[1] || v[0] > v[2] {
			fmt.Fprintf(os.Stderr, "plugin-benchmark: --%s: want %d to %d\n", name, v[1], v[2])
			os.Exit(2)
		}
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "plugin-benchmark:", err)
		os.Exit(1)
	}
}

func (o *options) run() error {
	dir, err := os.MkdirTemp("", "plugin-benchmark")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	plugins, err := o.plugins(dir)
	if err != nil {
		return err
	}
	if err := unix.SchedGetaffinity(0, &o.cpus); err != nil {
		return err
	}
	if err := keepOff(); err != nil {
		return fmt.Errorf("keeping off the relay's processor: %w", err)
	}
	fmt.Printf("%d pairs of %d s, %d messages/s to %d partners and %d more that the plug-ins are for; the relay on one processor\n",
		o.pairs, o.seconds, o.rate, o.partners, o.victims)
	fmt.Printf("%-14s %9s %9s %9s %9s %9s %8s %8s %s\n", "run", "p50 ms", "p99 ms", "victims", "cpu µs", "peak MB", "ends", "missing", "")
	var ratios [2][]float64
	var cpu []float64
	bad := 0
	for i := range o.pairs {
		var pair [2]*result
		for k := range 2 {
			with := (i+k)%2 == 1 // which comes first alternates
			list := ""
			if with {
				list = plugins
			}
			r, err := o.play(filepath.Join(dir, fmt.Sprint(i, k)), list, uint64(i+1))
			if err != nil {
				return err
			}
			name := "without"
			if with {
				name, pair[1] = o.mode, r
			} else {
				pair[0] = r
			}
			fmt.Printf("%2d %-11s %9.3f %9.3f %9.3f %9.0f %9.1f %8d %8d %s\n", i+1, name, r.q(50), r.q(99), r.victims, r.cpu, r.peak, r.ends, r.missing, r.note)
			bad += r.missing + r.duplicates
		}
		ratios[0] = append(ratios[0], pair[1].q(50)/pair[0].q(50))
		ratios[1] = append(ratios[1], pair[1].q(99)/pair[0].q(99))
		cpu = append(cpu, pair[1].cpu-pair[0].cpu)
	}
	fmt.Printf("with/without, others' delivery latency: p50 median %.3f (%.3f to %.3f), p99 median %.3f (%.3f to %.3f); processor time a message %+.0f µs\n",
		median(ratios[0]), slices.Min(ratios[0]), slices.Max(ratios[0]), median(ratios[1]), slices.Min(ratios[1]), slices.Max(ratios[1]), median(cpu))
	if bad > 0 {
		return fmt.Errorf("%d messages without their one end, or delivered twice", bad)
	}
	return nil
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// plugins writes the modules and returns their entries in the configuration.
func (o *options) plugins(dir string) (string, error) {
	var victims []string
	for i := range o.victims {
		victims = append(victims, strconv.Itoa(o.partners+i))
	}
	set := map[string][]byte{}
	scope := `"partners": [` + strings.Join(victims, ",") + `], `
	hostile := map[string][]byte{"loops": wasmtest.Loops(3), "traps": wasmtest.Traps(2), "hoards": wasmtest.Hoards(),
		"recurses": wasmtest.Recurses(), "fans": wasmtest.Fans(), "floods": wasmtest.Floods()}
	switch o.mode {
	case "hostile":
		set = hostile
	case "passing":
		set, scope = map[string][]byte{"passing": wasmtest.Passing()}, ""
	case "capture": // a folder for each run; see play
		return `"capture": {"dir": "CAPTURES", "on": true}, `, nil
	case "none":
		return `"plugin_host": {}, `, nil
	default: // one of the hostile
		if set[o.mode] = hostile[o.mode]; set[o.mode] == nil {
			return "", fmt.Errorf("--mode: there is no %q", o.mode)
		}
	}
	var list []string
	for name, module := range set {
		file := filepath.Join(dir, name+".wasm")
		if err := os.WriteFile(file, module, 0o600); err != nil {
			return "", err
		}
		list = append(list, fmt.Sprintf(`{"name": %q, "file": %q, %s"memory_mb": 4}`, name, file, scope))
	}
	// Those that reject come last, or the others would never be asked.
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(strings.Count(a, "floods"), strings.Count(b, "floods")), strings.Compare(a, b))
	})
	return `"plugins": [` + strings.Join(list, ", ") + `], `, nil
}

// keepOff keeps all threads of this process off the last processor, which is the relay's.
func keepOff() error {
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	if all.Count() < 2 {
		return errors.New("one processor is too few")
	}
	all.Clear(last(&all))
	tasks, err := os.ReadDir("/proc/self/task")
	for _, t := range tasks {
		if id, parseErr := strconv.Atoi(t.Name()); parseErr == nil {
			_ = unix.SchedSetaffinity(id, &all)
		}
	}
	return err
}

func last(set *unix.CPUSet) (n int) {
	for i := range 1024 {
		if set.IsSet(i) {
			n = i
		}
	}
	return n
}

// result is what one run has shown.
type result struct {
	others     *hdrhistogram.Histogram // ns from the client's first byte to the endpoint
	victims    float64                 // p50 ms of the partners that the plug-ins are for
	cpu        float64                 // µs of the relay's processor time a message
	peak       float64                 // MB
	ends       int
	missing    int // taken on, and neither delivered nor told of
	duplicates int
	note       string
}

func (r *result) q(p float64) float64 { return float64(r.others.ValueAtPercentile(p)) / 1e6 }

const settings = `"limits": {"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000,
  "localities": ["a"], "machine_types": ["club-sites"], "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000,
  "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000, "connect_timeout": 1500000},
  "family_info": {"workers": 64, "per_call": [1], "kind_apart": [true]}, "lanes": [
  {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
  {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

func (o *options) play(dir, plugins string, seed uint64) (*result, error) {
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	ends, err := standin.NewEndpoints(o.partners+o.victims, func(standin.Arrival) httpwire.Answer { return httpwire.Answer{Status: 200} })
	if err != nil {
		return nil, err
	}
	defer ends.Close()
	disco, err := standin.NewDiscovery(ends.Snapshot("club-sites", "a"))
	if err != nil {
		return nil, err
	}
	defer disco.Close()
	address, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name": "b", "listen": %q, "state": %q, "discovery": %q, "seed": "%016x", "known": %s, %s%s}`,
		address, filepath.Join(dir, "state"), disco.Address, seed, ends.Snapshot("club-sites", "a"),
		strings.ReplaceAll(plugins, "CAPTURES", filepath.Join(dir, "captures")), settings)
	file := filepath.Join(dir, "config.json")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	relay, err := start(o.relay, file, filepath.Join(dir, "log"), last(&o.cpus))
	if err != nil {
		return nil, err
	}
	defer func() { _ = relay.Process.Kill() }()
	if !standin.WaitUntilServing(context.Background(), address) {
		text, _ := os.ReadFile(filepath.Join(dir, "log"))
		return nil, fmt.Errorf("the relay does not come up; its log: %s", text)
	}
	client := standin.NewClient(address)
	defer client.Close()
	sent, taken := o.load(client, seed)
	time.Sleep(time.Second) // what is still held is delivered or told of
	r := &result{others: hdrhistogram.New(1000, 60e9, 3), peak: peak(relay.Process.Pid)}
	_ = relay.Process.Signal(syscall.SIGTERM)
	_ = relay.Wait()
	if s := relay.ProcessState; s != nil {
		r.cpu = float64((s.SystemTime() + s.UserTime()).Microseconds()) / float64(len(sent))
	}
	o.judge(r, sent, taken, ends, disco)
	return r, o.replay(r, filepath.Join(dir, "captures"), len(sent))
}

// replay tells what a capture takes, and that it replays the same.
func (o *options) replay(r *result, dir string, messages int) error {
	files, _ := filepath.Glob(filepath.Join(dir, "*.mcap"))
	if len(files) == 0 {
		return nil
	}
	size := int64(0)
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			size += info.Size()
		}
	}
	from := time.Now()
	out, err := exec.Command(o.relay, append([]string{"replay"}, files...)...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "every decision is the same") {
		return fmt.Errorf("the capture does not replay: %w; %s", err, out)
	}
	r.note = fmt.Sprintf("%d bytes a message; replayed at %.0f times its pace, with the program's start", size/int64(messages),
		float64(o.seconds)/time.Since(from).Seconds())
	return nil
}

// judge counts ends and latencies.
func (o *options) judge(r *result, sent map[string]time.Time, taken map[string]int, ends *standin.Endpoints, disco *standin.Discovery) {
	notices, twice := disco.Notices()
	seen := map[string]int{}
	mine := hdrhistogram.New(1000, 60e9, 3)
	for _, a := range ends.Arrivals() {
		if seen[a.ID]++; seen[a.ID] > 1 {
			r.duplicates++ // endpoints answer all with 200: there is no reason for a second
			continue
		}
		if took := a.At.Sub(sent[a.ID]).Nanoseconds(); a.Endpoint < o.partners {
			_ = r.others.RecordValue(took)
		} else {
			_ = mine.RecordValue(took)
		}
	}
	refused := map[int]int{}
	for id, status := range taken {
		switch _, told := notices[id]; {
		case status != 202:
			refused[status]++
			if seen[id] > 0 {
				r.missing++
			}
		case seen[id] == 0 && !told:
			r.missing++
		default:
			r.ends++
		}
	}
	r.duplicates += twice
	r.victims = float64(mine.ValueAtPercentile(50)) / 1e6
	for status, n := range refused {
		r.note += fmt.Sprintf("%d×%d ", status, n)
	}
	r.note = cmp.Or(strings.TrimSpace(r.note), "all taken")
}

// load hands in messages at times drawn beforehand, whatever the relay does: what it delays counts in full.
func (o *options) load(client *standin.Client, seed uint64) (sent map[string]time.Time, taken map[string]int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	sent, taken = map[string]time.Time{}, map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now().Add(50 * time.Millisecond)
	due := time.Duration(0)
	for i := 0; due < time.Duration(o.seconds)*time.Second; i++ {
		due += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(o.rate))
		m := &standin.Message{ID: fmt.Sprintf("%d-%d", seed, i), Key: fmt.Sprintf("key-%d-%d", seed, i), Class: "match-event",
			Partner: rng.IntN(o.partners + o.victims), Timeout: 10 * time.Second, Body: `{"match":"heb-hea","home":1,"away":0}`}
		at := start.Add(due)
		time.Sleep(time.Until(at))
		mu.Lock()
		sent[m.ID] = at
		mu.Unlock()
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			status, _ := client.Send(ctx, m)
			mu.Lock()
			taken[m.ID] = status
			mu.Unlock()
		})
	}
	all.Wait()
	return sent, taken
}

// start runs the relay on the last processor; its threads inherit that from the one that starts it.
func start(program, file, log string, cpu int) (*exec.Cmd, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, "serve", "--config", file)
	cmd.Stdout, cmd.Stderr = out, out
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with its affinity
		var one unix.CPUSet
		one.Set(cpu)
		err := unix.SchedSetaffinity(0, &one)
		if err == nil {
			err = cmd.Start()
		}
		done <- err
	}()
	return cmd, <-done
}

// peak is the most memory that a process has had, in MB.
func peak(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 64)
			return n / 1024
		}
	}
	return 0
}
