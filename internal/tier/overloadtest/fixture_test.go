package overloadtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/localtier/localtiertest"
	"mastusher/internal/tier/model"
)

// Limits in the settings of the processes, and in the configuration.
const (
	edgeMemoryMb  = 128
	coreMemoryMb  = 128
	storeMemoryMb = 200
	openFiles     = 1000
	maxBodyBytes  = 4 << 20
	retention     = 20 * time.Second // of turns, after their end
)

// Bounds of the checks. They are generous: no test measures time.
const (
	crowdTime      = 6 * time.Second  // for which a crowd is at work
	recoveryBound  = 45 * time.Second // from the end of a crowd until an ordinary request is answered and descriptors are given back
	requestTimeout = 5 * time.Second  // of an ordinary request
	startBound     = 60 * time.Second
	// moreDescriptors is by how many descriptors a process may exceed its number before the crowd: connections between processes that
	// have been opened since.
	moreDescriptors = 32
)

// Paths of the routes, by kind.
const (
	plainPath      = "/tools/a"
	streamPath     = "/streams/a"
	resumablePath  = "/resumable/a"
	turnPath       = "/turns/a"
	filePath       = "/files/a"
	streamsPrefix  = "/streams/"
	resumesPrefix  = "/resumable/"
	filesPrefix    = "/files/"
	filesService   = "files"
	attemptHeader  = "X-Attempt-Id"
	timeLeftHeader = "X-Time-Left-Ms"
)

// buildTier builds the program once for all tests.
var buildTier = sync.OnceValues(func() (string, error) { return localtiertest.BuildIn(binaryFolder, "mastusher/cmd/mastusher-tier") })

// fixture is a running tier with its endpoints.
type fixture struct {
	t           testing.TB
	tier        *localtier.Tier
	front       string // address at which the proxy serves clients
	descriptors map[*localtier.Process]int
	pids        map[*localtier.Process]int
	attempts    atomic.Int64
}

// newFixture starts a tier of three controllers, three stores and one edge machine, and configures it.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	return newFixtureWith(t, limits())
}

// newFixtureWith is newFixture with other limits, by class of machine.
func newFixtureWith(t testing.TB, limits map[string]localtier.Limits) *fixture {
	t.Helper()
	return newFixtureOf(t, localtier.Counts{Core: 3, Storage: 3, Edge: 1}, limits)
}

// newFixtureOf is newFixtureWith for other numbers of machines.
func newFixtureOf(t testing.TB, counts localtier.Counts, limits map[string]localtier.Limits) *fixture {
	t.Helper()
	return newFixtureFrom(t, startEndpoints(t).Address(), counts, limits)
}

// newFixtureFrom is newFixtureOf for the platform at an address.
func newFixtureFrom(t testing.TB, platform string, counts localtier.Counts, limits map[string]localtier.Limits) *fixture {
	t.Helper()
	binary, err := buildTier()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startBound)
	defer cancel()
	folder := t.TempDir()
	tier, err := localtier.Start(localtier.Options{Command: []string{binary}, Folder: folder, Platform: platform,
		Counts: counts, Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		localtier.Stop(tier.Processes, localtier.StopTimeout)
		if t.Failed() {
			t.Log(localtiertest.Logs(t, folder, 3000))
		}
	})
	f := &fixture{t: t, tier: tier, front: tier.Addresses(localtier.EdgeClass, localtier.FrontPort)[0],
		descriptors: map[*localtier.Process]int{}, pids: map[*localtier.Process]int{}}
	operator := localtier.NewOperator(tier.Addresses(localtier.CoreClass, localtier.ControlPort), nil)
	if _, err := operator.Configure(ctx, configuration(), 0); err != nil {
		t.Fatal(err)
	}
	if err := tier.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	f.checkOrdinaryRequests(ctx)
	for _, p := range tier.Processes {
		f.pids[p] = p.Pid()
		f.descriptors[p] = descriptorsOf(p.Pid())
	}
	return f
}

// configuration returns the configuration of the tests: routes for turns, tools, streams, streams that may be resumed, and files.
func configuration() model.Configuration {
	c := localtier.Configuration(1, retention, model.Route{Name: "streams", Host: localtier.Host, PathPrefix: streamsPrefix, Kind: model.Streaming,
		TimeoutMs: localtier.RequestTimeout.Milliseconds(), LatencyTargetMs: 500, Service: turnService, MaxAttempts: 2, EventGapTargetMs: 250},
		model.Route{Name: "resumable", Host: localtier.Host, PathPrefix: resumesPrefix, Kind: model.Streaming, Resumable: true,
			TimeoutMs: localtier.RequestTimeout.Milliseconds(), LatencyTargetMs: 500, Service: turnService, MaxAttempts: 2, EventGapTargetMs: 250},
		model.Route{Name: "files", Host: localtier.Host, PathPrefix: filesPrefix, Kind: model.Retryable,
			TimeoutMs: localtier.RequestTimeout.Milliseconds(), LatencyTargetMs: 500, Service: filesService, MaxAttempts: 2})
	c.Services = append(c.Services, model.Service{Name: filesService, HealthPath: "/health", MaxConnections: endpointConnections, Protocol: "h1"})
	c.Limits.MaxBodyBytes = maxBodyBytes
	return c
}

// limits returns the limits in the settings, by class of machine.
func limits() map[string]localtier.Limits {
	return map[string]localtier.Limits{
		localtier.EdgeClass:    {MemoryMb: edgeMemoryMb, OpenFiles: openFiles},
		localtier.CoreClass:    {MemoryMb: coreMemoryMb, OpenFiles: openFiles},
		localtier.StorageClass: {MemoryMb: storeMemoryMb, OpenFiles: openFiles},
	}
}

// attempt returns a new attempt ID.
func (f *fixture) attempt() string { return fmt.Sprintf("%016x", f.attempts.Add(1)) }

// run lets the clients of a crowd act for crowdTime while the memory of all processes is measured, and then checks the processes. A client
// acts again as soon as act returns.
func (f *fixture) run(clients int, act func(ctx context.Context, client int)) {
	f.t.Helper()
	f.runThen(clients, act, func() {})
}

// runThen is run with something that is done between the crowd's end and the checks.
func (f *fixture) runThen(clients int, act func(ctx context.Context, client int), afterwards func()) {
	f.t.Helper()
	f.runFor(crowdTime, clients, act, afterwards)
}

// runFor is runThen for another time.
func (f *fixture) runFor(duration time.Duration, clients int, act func(ctx context.Context, client int), afterwards func()) {
	f.t.Helper()
	meter := startMemoryMeter(f.tier.Processes)
	ctx, cancel := context.WithTimeout(f.t.Context(), duration)
	defer cancel()
	var crowd sync.WaitGroup
	for client := range clients {
		crowd.Go(func() {
			for ctx.Err() == nil {
				act(ctx, client)
			}
		})
	}
	crowd.Wait()
	afterwards()
	bounded, end := context.WithTimeout(f.t.Context(), recoveryBound)
	defer end()
	f.checkOrdinaryRequests(bounded)
	f.checkDescriptors(bounded)
	f.checkMemory(meter.stop())
	f.checkProcesses()
}

// checkOrdinaryRequests checks that one ordinary request on each kind of route is answered before ctx ends. Every attempt is a new
// request, and a turn begins a new program.
func (f *fixture) checkOrdinaryRequests(ctx context.Context) {
	f.t.Helper()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, path := range []string{plainPath, streamPath, turnPath} {
		err := localtier.Poll(ctx, func(int) error { return f.ordinaryRequest(ctx, client, path) })
		if err != nil {
			f.t.Errorf("no ordinary request on %s is answered: %v", path, err)
		}
	}
}

// ordinaryRequest sends one small request and returns an error unless its complete answer has status 200.
func (f *fixture) ordinaryRequest(ctx context.Context, client *http.Client, path string) error {
	return f.ordinaryRequestAt(ctx, client, f.front, path)
}

// ordinaryRequestAt is ordinaryRequest for the proxy at an address.
func (f *fixture) ordinaryRequestAt(ctx context.Context, client *http.Client, front, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("an ordinary request\n"))
	if err != nil {
		return err
	}
	request.Host = localtier.Host
	attempt := f.attempt()
	request.Header.Set(attemptHeader, attempt)
	request.Header.Set("Program", "ordinary-"+attempt)
	request.Header.Set("Budget", "100")
	request.Header.Set("X-Token-Counts", "10,6")
	request.Header.Set(timeLeftHeader, fmt.Sprint(requestTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %.60q", response.Status, body)
	}
	return nil
}

// checkDescriptors checks that every process has given back the descriptors that the crowd has cost it before ctx ends.
func (f *fixture) checkDescriptors(ctx context.Context) {
	f.t.Helper()
	for p, before := range f.descriptors {
		err := localtier.Poll(ctx, func(int) error {
			if now := descriptorsOf(p.Pid()); now > before+moreDescriptors {
				return fmt.Errorf("%v has %d descriptors, %d before the crowd came", p, now, before)
			}
			return nil
		})
		if err != nil {
			f.t.Error(err)
		}
	}
}

// checkMemory checks that no process had more memory than its settings allow.
func (f *fixture) checkMemory(peaks map[*localtier.Process]memory) {
	f.t.Helper()
	f.checkMemoryWithin(peaks, limits())
}

// checkMemoryWithin checks that no process had more memory than limits, by class of machine, allow.
func (f *fixture) checkMemoryWithin(peaks map[*localtier.Process]memory, limits map[string]localtier.Limits) {
	f.t.Helper()
	for p, peak := range peaks {
		limit := limits[p.Machine.Class].MemoryMb
		f.t.Logf("%v: peak of memory %d MB, of which %d MB had arrived and were unread", p, peak.total()>>20, peak.unread>>20)
		if peak.total() > limit<<20 {
			f.t.Errorf("%v had %d MB of memory (%d MB resident, %d MB unread), more than its %d MB",
				p, peak.total()>>20, peak.resident>>20, peak.unread>>20, limit)
		}
	}
}

// checkProcesses checks that no process has ended.
func (f *fixture) checkProcesses() {
	f.t.Helper()
	for _, sentence := range localtier.UnexpectedExits(f.tier.Processes) {
		f.t.Error(sentence)
	}
}
