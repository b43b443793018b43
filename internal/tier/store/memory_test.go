package store_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/store"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Parameters of the measurement.
const (
	measuredShards  = 8
	minInput        = 16 << 10 // bytes of a turn's input; the output has a quarter of that
	maxTurns        = 1000     // bound on the turns of the state; a larger state has larger turns
	measuredClients = 16
	collectorGrowth = 25 // GC percentage, as package command sets it
)

// followTimeout bounds the time until all members are caught up.
const followTimeout = 90 * time.Second

// storeVariable is the environment variable with the options of a store process, which runs this test binary.
const storeVariable = "MASTUSHER_TEST_STORE"

// processOptions configures a store process.
type processOptions struct {
	ID      string
	Address string
	Folder  string
}

// request is a line that a store process reads: a placement, or a query for the peak memory since the last query.
type request struct {
	Index     uint64
	Placement view.Placement
	Peak      bool
}

// TestStoreProcess runs a store process. It does nothing in the process that runs the tests.
func TestStoreProcess(t *testing.T) {
	text := os.Getenv(storeVariable)
	if text == "" {
		return
	}
	var options processOptions
	if err := json.Unmarshal([]byte(text), &options); err != nil {
		t.Fatal(err)
	}
	if err := runStoreProcess(t.Context(), options); err != nil {
		t.Fatal(err)
	}
}

func runStoreProcess(ctx context.Context, options processOptions) error {
	debug.SetGCPercent(collectorGrowth)
	disk, err := storage.OpenOSDisk(options.Folder)
	if err != nil {
		return err
	}
	running := store.New(ctx, store.Options{ID: options.ID, Address: options.Address, Disk: disk, Pool: transport.NewPool(),
		Logger: log.NewNopLogger(), Seed: uint64(os.Getpid()), Now: time.Now})
	if err = running.Recover(); err != nil {
		return err
	}
	handlers := transport.NewHandlers()
	running.Register(handlers)
	server, err := transport.Listen(options.Address, handlers, log.NewNopLogger())
	if err != nil {
		return err
	}
	defer server.Close()
	lines := bufio.NewReader(os.Stdin)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil
		}
		var received request
		if err := json.Unmarshal(line, &received); err != nil {
			return err
		}
		if received.Peak {
			peak, err := peakMemory()
			if err != nil {
				return err
			}
			fmt.Printf("peak %d\n", peak)
			continue
		}
		running.ApplyPlacement(received.Index, received.Placement)
	}
}

// peakMemory returns the process' peak resident memory since the last call, in bytes.
func peakMemory() (int64, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0, err
			}
			return kilobytes << 10, os.WriteFile("/proc/self/clear_refs", []byte("5"), 0)
		}
	}
	return 0, errors.New("/proc/self/status has no VmHWM")
}

// storeProcess controls a store process.
type storeProcess struct {
	options processOptions
	command *exec.Cmd
	input   io.Writer
	output  *bufio.Reader
}

func startStore(b *testing.B, options processOptions) *storeProcess {
	b.Helper()
	text, err := json.Marshal(options)
	if err != nil {
		b.Fatal(err)
	}
	p := &storeProcess{options: options, command: exec.Command(os.Args[0], "-test.run=^TestStoreProcess$")}
	p.command.Env = append(os.Environ(), storeVariable+"="+string(text))
	p.command.Stderr = os.Stderr
	input, err := p.command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	p.input, p.output = input, bufio.NewReader(output)
	if err := p.command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.kill)
	return p
}

func (p *storeProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *storeProcess) send(b *testing.B, sent request) {
	b.Helper()
	if err := json.NewEncoder(p.input).Encode(sent); err != nil {
		b.Fatal(err)
	}
}

func (p *storeProcess) peak(b *testing.B) int64 {
	b.Helper()
	p.send(b, request{Peak: true})
	for {
		line, err := p.output.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "peak "); found {
			bytes, err := strconv.ParseInt(number, 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			return bytes
		}
	}
}

// fleet holds the store processes of a measurement and the state of their clients.
type fleet struct {
	b         *testing.B
	processes []*storeProcess
	pool      *transport.Pool
	index     uint64
	leaders   [measuredShards]atomic.Pointer[string]
	turns     atomic.Int64
	input     int // size of a turn's input in bytes
}

func newFleet(b *testing.B, bytes int) *fleet {
	f := &fleet{b: b, pool: transport.NewPool(), index: 1, input: max(minInput, bytes/maxTurns)}
	b.Cleanup(f.pool.Close)
	for i := range 3 {
		f.processes = append(f.processes, startStore(b, f.newOptions(fmt.Sprint("store-", i))))
	}
	f.place()
	f.awaitMembers()
	return f
}

// newOptions returns options for a store with an empty disk.
func (f *fleet) newOptions(id string) processOptions {
	folder := filepath.Join(f.b.TempDir(), id)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		f.b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	defer listener.Close()
	return processOptions{ID: id, Address: listener.Addr().String(), Folder: folder}
}

// place applies a placement of each shard on all stores.
func (f *fleet) place() {
	var replicas []view.Replica
	for _, p := range f.processes {
		replicas = append(replicas, view.Replica{ID: p.options.ID, Node: p.options.ID, Address: p.options.Address})
	}
	received := request{Index: f.index}
	for range measuredShards {
		shard := view.ShardPlacement{Replicas: replicas}
		if f.index == 1 {
			shard.Initial = replicas
		}
		received.Placement.Shards = append(received.Placement.Shards, shard)
	}
	for _, p := range f.processes {
		p.send(f.b, received)
	}
}

// awaitMembers waits until each shard has a leader that reports all members of the newest placement as caught up, and returns how long
// that took.
func (f *fleet) awaitMembers() time.Duration {
	f.b.Helper()
	began := time.Now()
	for time.Since(began) < followTimeout {
		if f.following() == measuredShards {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.b.Fatalf("%d of %d shards follow the placement within followTimeout, want all", f.following(), measuredShards)
	return 0
}

func (f *fleet) following() int {
	following := 0
	for _, p := range f.processes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		response, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, f.pool, p.options.Address, wire.MethodShardMembers, wire.ShardMembersRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, members := range response.Shards {
			if members.Placement == f.index && len(members.IDs) == len(f.processes) && len(members.CaughtUp) == len(f.processes) {
				following++
				f.leaders[members.Shard].Store(&p.options.Address)
			}
		}
	}
	return following
}

// fill runs complete turns until the given number of further bytes is stored.
func (f *fleet) fill(bytes int) {
	f.b.Helper()
	each := f.input + f.input/4
	turns := (bytes + each - 1) / each
	var waiting sync.WaitGroup
	var next atomic.Int64
	for range measuredClients {
		waiting.Go(func() {
			for next.Add(1) <= int64(turns) {
				f.turn()
			}
		})
	}
	waiting.Wait()
}

// turn begins and ends one turn at the leader of its shard.
func (f *fleet) turn() {
	number := f.turns.Add(1)
	shard := int(number % measuredShards)
	name := fmt.Sprintf("%032x", number)
	f.call(shard, wire.MethodBeginTurn, wire.BeginTurnRequest{Shard: shard, Turn: program.BeginTurn{Turn: name, Program: name, Budget: 1000, MaxTokens: 100,
		Remembered: true, KeepForS: 3600, Input: contents(number, f.input)}})
	f.call(shard, wire.MethodEndTurn, wire.EndTurnRequest{Shard: shard, Turn: program.EndTurn{Turn: name, Complete: true, Tokens: 100, Output: contents(number, f.input/4)}})
}

// contents returns bytes that are different for each turn.
func contents(number int64, size int) []byte {
	text := make([]byte, 0, size+20)
	for len(text) < size {
		text = strconv.AppendInt(text, number*int64(size)+int64(len(text)), 36)
	}
	return text[:size]
}

// call calls the stores, starting with the known leader of the shard, until one accepts.
func (f *fleet) call(shard int, method string, request any) {
	for attempt := 0; ; attempt++ {
		address := f.processes[attempt%len(f.processes)].options.Address
		if known := f.leaders[shard].Load(); known != nil && attempt == 0 {
			address = *known
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		result, err := transport.Call[any, program.Result](ctx, f.pool, address, method, request)
		cancel()
		if err == nil && result.Verdict == program.Accepted {
			f.leaders[shard].Store(&address)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// peaks returns the largest peak memory of the processes since the last call, in MiB.
func peaks(b *testing.B, processes ...*storeProcess) float64 {
	peak := int64(0)
	for _, p := range processes {
		peak = max(peak, p.peak(b))
	}
	return float64(peak) / (1 << 20)
}

// BenchmarkMemoryOfStores measures the peak resident memory of a store process in MiB, for three stores of eight shards that hold the
// given state: while the state is written, while a store with an empty disk joins, and when all stores restart together.
func BenchmarkMemoryOfStores(b *testing.B) {
	for _, megabytes := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("state=%dMB", megabytes), func(b *testing.B) {
			for b.Loop() {
				measureMemory(b, megabytes<<20)
			}
		})
	}
}

func measureMemory(b *testing.B, bytes int) {
	f := newFleet(b, bytes)
	f.fill(bytes)
	b.ReportMetric(peaks(b, f.processes...), "write-MiB")

	f.fill(bytes / 2)
	b.ReportMetric(peaks(b, f.processes...), "compact-MiB")

	f.processes[2].kill()
	f.processes[2] = startStore(b, f.newOptions("store-3"))
	f.index++
	f.place()
	b.ReportMetric(f.awaitMembers().Seconds(), "join-s")
	b.ReportMetric(peaks(b, f.processes[2]), "joining-MiB")
	b.ReportMetric(peaks(b, f.processes[:2]...), "sending-MiB")

	for _, p := range f.processes {
		p.kill()
	}
	for i, p := range f.processes {
		f.processes[i] = startStore(b, p.options)
	}
	f.place() // a replica without a snapshot waits for the placement
	b.ReportMetric(f.awaitMembers().Seconds(), "power-s")
	b.ReportMetric(peaks(b, f.processes...), "power-MiB")
	for _, p := range f.processes {
		p.kill()
	}
}
