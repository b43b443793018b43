package overloadtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// Endpoints of the tests with floods.
const (
	floodingEngines = 4
	floodingTools   = 2
	ordinaryEvents  = 5
	lateResponse    = time.Second // of an endpoint that floods while its connection is idle
)

// floodPlan is what all endpoints do while it is in force: each connection plays the flood that draw returns.
type floodPlan struct {
	ctx  context.Context
	draw func() flood
}

// floodingEndpoints are endpoints that answer ordinarily while no plan is in force.
type floodingEndpoints struct {
	plan        atomic.Pointer[floodPlan]
	mutex       sync.Mutex // guards the fields below
	random      *rand.Rand
	connections map[net.Conn]struct{}
	closed      bool
	running     sync.WaitGroup
}

// startFloodingEndpoints starts several endpoints of each service and the platform that lists them.
func startFloodingEndpoints(t testing.TB, seed uint64) (*floodingEndpoints, *standin.Platform) {
	t.Helper()
	platform, err := standin.NewPlatform(standin.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	e := &floodingEndpoints{random: rand.New(rand.NewPCG(seed, 0)), connections: map[net.Conn]struct{}{}}
	t.Cleanup(e.close)
	for service, count := range map[string]int{turnService: floodingEngines, toolService: floodingTools, filesService: 1} {
		for number := range count {
			id := fmt.Sprintf("%s-%d", service, number+1)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { listener.Close() })
			e.running.Go(func() { e.accept(listener, id, service) })
			platform.Put(model.Endpoint{ID: id, Service: service, Address: listener.Addr().String(), Zone: endpointZone,
				Version: endpointVersions, Capacity: endpointCapacity, State: model.Ready})
		}
	}
	return e, platform
}

// close ends all connections and waits for their goroutines. The listeners must have been closed.
func (e *floodingEndpoints) close() {
	e.mutex.Lock()
	e.closed = true
	for connection := range e.connections {
		connection.Close()
	}
	e.mutex.Unlock()
	e.running.Wait()
}

// accept serves the connections of one endpoint.
func (e *floodingEndpoints) accept(listener net.Listener, id, service string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		if !e.add(connection) {
			connection.Close()
			return
		}
		e.running.Go(func() {
			defer e.remove(connection)
			for e.exchange(connection, bufio.NewReader(connection), id, service) {
			}
		})
	}
}

// add records a connection, unless the endpoints have been closed.
func (e *floodingEndpoints) add(connection net.Conn) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.closed {
		e.connections[connection] = struct{}{}
	}
	return !e.closed
}

func (e *floodingEndpoints) remove(connection net.Conn) {
	connection.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.connections, connection)
}

// flooding returns a writer of the flood of one exchange; nil: the endpoint answers ordinarily.
func (e *floodingEndpoints) flooding(connection net.Conn) *floodWriter {
	plan := e.plan.Load()
	if plan == nil || plan.ctx.Err() != nil {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return &floodWriter{flood: plan.draw(), ctx: plan.ctx, connection: connection, random: rand.New(rand.NewPCG(e.random.Uint64(), 0))}
}

// exchange reads one request and answers it. It returns false when the connection must end.
func (e *floodingEndpoints) exchange(connection net.Conn, reader *bufio.Reader, id, service string) bool {
	if writer := e.flooding(connection); writer != nil && writer.moment == onConnect {
		writer.play()
		return false
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	attempt := request.Header.Get(attemptHeader)
	writer := e.flooding(connection)
	if writer != nil {
		writer.attempt = attempt
	}
	if writer != nil && writer.moment == afterHead {
		writer.play()
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	switch {
	case writer == nil || request.URL.Path == "/health":
		return answerOrdinarily(connection, id, service, attempt) == nil
	case writer.moment == afterResponse || writer.moment == whileIdle:
		if writer.moment == whileIdle {
			pause(writer.ctx.Done(), lateResponse)
		}
		if answerOrdinarily(connection, id, service, attempt) == nil {
			writer.play()
		}
	case writer.moment == insideStream:
		if beginStream(connection, id, attempt) == nil {
			_ = writer.sendBody()
			hold(writer.ctx, connection)
		}
	default:
		writer.play()
	}
	return false
}

// answerOrdinarily answers one request, a model server's with a stream. The connection stays open as long as the endpoint lets it.
func answerOrdinarily(connection net.Conn, id, service, attempt string) error {
	if service == turnService {
		if err := beginStream(connection, id, attempt); err != nil {
			return err
		}
		_, err := io.WriteString(connection, "0\r\n\r\n")
		return err
	}
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Server-Seal: seal\r\nX-Server-Id: %s\r\nKeep-Alive: timeout=600\r\nContent-Length: 3\r\n\r\nran",
		attemptHeader, attempt, id)
	return err
}

// beginStream sends the head of a stream in chunks, and some events.
func beginStream(connection net.Conn, id, attempt string) error {
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Server-Seal: seal\r\nX-Server-Id: %s\r\nKeep-Alive: timeout=600\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attemptHeader, attempt, id)
	if err != nil {
		return err
	}
	for number := 1; number <= ordinaryEvents; number++ {
		event := fmt.Sprintf("id: %d\ndata: token\n\n", number)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	return nil
}

// floodFixture is a fixture whose endpoints can flood.
type floodFixture struct {
	*fixture
	endpoints *floodingEndpoints
	flooded   []string // further header fields of flooded requests
}

// newFloodFixture starts a tier with low limits whose endpoints answer ordinarily.
func newFloodFixture(t testing.TB, seed uint64) *floodFixture {
	t.Helper()
	endpoints, platform := startFloodingEndpoints(t, seed)
	f := newFixtureFrom(t, platform.Address(), localtier.Counts{Core: 3, Storage: 3, Edge: 1}, limits())
	return &floodFixture{fixture: f, endpoints: endpoints}
}

// flood lets all endpoints play floods against a crowd of ordinary requests for some time, and then checks the processes.
func (f *floodFixture) flood(clients int, duration time.Duration, draw func() flood) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	f.endpoints.plan.Store(&floodPlan{ctx: ctx, draw: draw})
	f.runFor(duration, clients, f.floodedRequest, func() {
		f.endpoints.plan.Store(nil)
		cancel()
	})
}

// floodedRequest sends one ordinary request and reads what is answered: some clients read at once, some slowly.
func (f *floodFixture) floodedRequest(ctx context.Context, client int) {
	connection := connect(ctx, f.front)
	if connection == nil {
		return
	}
	path := []string{plainPath, streamPath, turnPath, resumablePath, filePath}[client%5]
	attempt := f.attempt()
	fields := []string{"Program: flooded-" + attempt, "Budget: 100000000", "X-Token-Counts: 10,300000", timeLeftHeader + ": 4000", "Connection: close"}
	head := request{path: path, attempt: attempt, fields: append(fields, f.flooded...)}.head()
	if _, err := io.WriteString(connection, head); err != nil {
		connection.Close()
		return
	}
	if client%4 == 3 {
		readSlowly(ctx, connection)
		return
	}
	_, _ = io.Copy(io.Discard, connection)
	connection.Close()
}
