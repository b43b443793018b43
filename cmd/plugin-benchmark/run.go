package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

// Machine type and locality of a run's endpoints.
const (
	machineType = "club-sites"
	locality    = "a"
)

// settleTime is how long after the load the relay may take to deliver pending messages or to report them undeliverable.
const settleTime = time.Second

// settings are the configuration keys that all runs share.
const settings = `"limits": {"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000,
  "localities": ["a"], "machine_types": ["club-sites"], "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000,
  "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000, "connect_timeout": 1500000},
  "family_info": {"workers": 64, "per_call": [1], "kind_apart": [true]}, "lanes": [
  {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
  {"name": "score-state", "effect": "pure", "aim": 2000000, "deadline": 24000000, "worth": 3}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

// run starts the relay with additional configuration keys, runs a load and evaluates the result. All files of the run are in dir.
func (o *options) run(dir, keys string, seed uint64) (*result, error) {
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	endpoints, err := standin.NewEndpoints(o.partners+o.victims, func(standin.Arrival) httpwire.Answer { return httpwire.Answer{Status: 200} })
	if err != nil {
		return nil, err
	}
	defer endpoints.Close()
	known := endpoints.Snapshot(machineType, locality)
	discovery, err := standin.NewDiscovery(known)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	address, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	text := configText(dir, address, discovery.Address, seed, known, keys)
	relay, err := o.serve(dir, address, text)
	if err != nil {
		return nil, err
	}
	defer func() { _ = relay.Process.Kill() }()
	client := standin.NewClient(address)
	defer client.Close()

	l := o.sendLoad(client, seed)
	time.Sleep(settleTime)
	r := &result{others: newHistogram(), peak: peakMemoryMB(relay.Process.Pid)}
	r.cpu = float64(stop(relay).Microseconds()) / float64(len(l.due))
	o.evaluate(r, l, endpoints, discovery)
	return r, o.replay(r, capturesDir(dir), len(l.due))
}

func capturesDir(dir string) string { return filepath.Join(dir, "captures") }

// configText returns the configuration of a run.
func configText(dir, address, discovery string, seed uint64, known, keys string) string {
	return fmt.Sprintf(`{"name": "b", "listen": %q, "state": %q, "discovery": %q, "seed": "%016x", "known": %s, %s%s}`,
		address, filepath.Join(dir, "state"), discovery, seed, known,
		strings.ReplaceAll(keys, capturesPlaceholder, capturesDir(dir)), settings)
}

// serve starts the relay and waits until it accepts messages.
func (o *options) serve(dir, address, text string) (*exec.Cmd, error) {
	configFile, logFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "log")
	if err := os.WriteFile(configFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	relay, err := startRelay(o.relay, configFile, logFile, lastCPU(&o.cpus))
	if err != nil {
		return nil, err
	}
	if !standin.WaitUntilServing(context.Background(), address) {
		_ = relay.Process.Kill()
		log, _ := os.ReadFile(logFile)
		return nil, &startError{log}
	}
	return relay, nil
}

// stop stops the relay and returns the CPU time that it used, or 0 if that is unknown.
func stop(relay *exec.Cmd) time.Duration {
	_ = relay.Process.Signal(syscall.SIGTERM)
	_ = relay.Wait()
	if s := relay.ProcessState; s != nil {
		return s.SystemTime() + s.UserTime()
	}
	return 0
}

// replay replays the captures of the run, if there are any, and notes their size and the replay speed. It returns an error if a replay
// differs.
func (o *options) replay(r *result, dir string, messages int) error {
	files, _ := filepath.Glob(filepath.Join(dir, "*.mcap"))
	if len(files) == 0 {
		return nil
	}
	from := time.Now()
	output, err := exec.Command(o.relay, append([]string{"replay"}, files...)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("replaying the capture: %w; output: %s", err, output)
	}
	if !strings.Contains(string(output), "every decision is the same") {
		return fmt.Errorf("the replay's decisions differ from the capture's; output: %s", output)
	}
	r.note = fmt.Sprintf("%d bytes a message; replayed at %.0f times its pace, with the program's start", sizeOf(files)/int64(messages),
		float64(o.seconds)/time.Since(from).Seconds())
	return nil
}

// sizeOf returns the total size of the files that can be read.
func sizeOf(files []string) (size int64) {
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			size += info.Size()
		}
	}
	return size
}
