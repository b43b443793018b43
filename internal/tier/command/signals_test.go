package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// proxySettings are the settings of an edge machine. IP stands for its address.
const proxySettings = `
nodeName: edge-1
role: proxy
machineClass: edge
serves: [edge]
ip: IP
zone: north
listenOn: {frontHttp: "IP:8149", readiness: "IP:8141"}
portRange: [7380, 7395]
bounds: {graceS: 6}
`

// machine is an edge machine on a loopback address of its own, whose proxy runs as a separate process.
type machine struct {
	t       *testing.T
	ip      string
	process *exec.Cmd
	ended   chan error
	output  bytes.Buffer
}

// newMachine starts a proxy, and an agent that feeds it a view.
func newMachine(t *testing.T, updates ...view.Update) *machine {
	t.Helper()
	return newMachineWith(t, proxySettings, updates...)
}

// newMachineWith is newMachine with other settings.
func newMachineWith(t *testing.T, settings string, updates ...view.Update) *machine {
	t.Helper()
	m := &machine{t: t, ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)), ended: make(chan error, 1)}
	handlers := transport.NewHandlers()
	transport.HandleStream(handlers, wire.MethodFeed, func(ctx context.Context, _ wire.FetchRequest, send func(view.Update) error) error {
		for _, update := range updates {
			if err := send(update); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return ctx.Err()
	})
	agent, err := transport.Listen(fmt.Sprint(m.ip, ":", 7380+wire.AgentPort), handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Close() })
	m.process = exec.Command(os.Args[0])
	m.process.Env = append(os.Environ(), roleVariable+"=proxy", settingsVariable+"="+writeFile(t, strings.ReplaceAll(settings, "IP", m.ip)))
	m.process.Stdout, m.process.Stderr = &m.output, &m.output
	if err := m.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { m.ended <- m.process.Wait() }()
	t.Cleanup(func() { _ = m.process.Process.Kill() })
	return m
}

// awaitReady waits until the proxy reports that it is ready.
func (m *machine) awaitReady() {
	m.t.Helper()
	for began := time.Now(); m.readiness() != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > testTimeout {
			m.t.Fatal("not ready")
		}
	}
}

// readiness returns the status of the proxy's readiness check; 0: no response.
func (m *machine) readiness() int {
	response, err := http.Get("http://" + m.ip + ":8141/mastusher/ready")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// clientResponse is the response that a client received.
type clientResponse struct {
	status int
	body   string
	close  bool
	err    error
}

// get sends a GET request on a new connection, and returns a channel for its response.
func (m *machine) get(id string) <-chan clientResponse {
	m.t.Helper()
	return m.send("GET", "/a/x", id)
}

// send sends a request on a new connection, and returns a channel for its response.
func (m *machine) send(method, path, id string) <-chan clientResponse {
	m.t.Helper()
	request, err := http.NewRequest(method, "http://"+m.ip+":8149"+path, nil)
	if err != nil {
		m.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", id)
	got := make(chan clientResponse, 1)
	go func() {
		client := http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
		response, err := client.Do(request)
		if err != nil {
			got <- clientResponse{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		got <- clientResponse{status: response.StatusCode, body: string(body), close: response.Close, err: err}
	}()
	return got
}

func (m *machine) signal(signal syscall.Signal) {
	m.t.Helper()
	if err := m.process.Process.Signal(signal); err != nil {
		m.t.Fatal(err)
	}
}

func TestProxy_Signals_InterruptNoRequest(t *testing.T) {
	t.Parallel()
	// given a proxy that has a request in flight
	started, release := make(chan string, 3), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.Header.Get("X-Attempt-Id")
		<-release
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal")
		_, _ = io.WriteString(w, "whole") // the test reads what arrives
	}))
	defer endpoint.Close()
	edge := newMachine(t, configurationUpdate(), endpointsUpdate(endpoint.Listener.Addr()))
	edge.awaitReady()
	awaitStarted := func() {
		t.Helper()
		select {
		case <-started:
		case <-time.After(testTimeout):
			close(release)
			t.Fatal("a request did not reach the endpoint")
		}
	}
	first := edge.get("first")
	awaitStarted()
	// when its settings may have changed (SIGHUP), then it goes on, and accepts another request
	edge.signal(syscall.SIGHUP)
	second := edge.get("second")
	awaitStarted()
	if got := edge.readiness(); got != http.StatusOK {
		t.Errorf("readiness status %d after SIGHUP, want 200", got)
	}
	// when it is told to end, then it isn't ready any more, and still accepts a request
	edge.signal(syscall.SIGTERM)
	for began := time.Now(); edge.readiness() == http.StatusOK; {
		if time.Since(began) > testTimeout {
			t.Fatal("still ready after SIGTERM")
		}
	}
	third := edge.get("third")
	awaitStarted()
	close(release)
	// then all three requests get complete responses, on connections that close, and the process ends
	for i, answer := range []<-chan clientResponse{first, second, third} {
		if got := <-answer; got != (clientResponse{status: http.StatusOK, body: "whole", close: true}) {
			t.Errorf("request %d: %+v", i+1, got)
		}
	}
	if err := <-edge.ended; err != nil {
		t.Errorf("the process ended with %v: %s", err, edge.output.String())
	}
}

func TestProxy_RequestsAbandoned_EndsWithinShortGraceTime(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	// given a proxy with a request that its endpoint doesn't answer, and a turn whose end no store accepts
	started, over := make(chan struct{}, 2), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-over
	}))
	defer endpoint.Close()
	defer close(over)
	edge := newMachineWith(t, strings.Replace(proxySettings, "graceS: 6", "graceS: 2", 1),
		turnsConfigurationUpdate(), endpointsUpdate(endpoint.Listener.Addr()), unresponsiveStoreUpdate(t))
	edge.awaitReady()
	hanging := edge.get("hangs")
	<-started
	if got := <-edge.turn("turn"); got.status != http.StatusServiceUnavailable {
		t.Fatalf("a turn without a responsive store: got %+v, want status 503", got)
	}
	// when it is told to end
	edge.signal(syscall.SIGTERM)
	// then the client learns that its request was abandoned, and by its own log the process ends in time
	if got := <-hanging; got.status != http.StatusGatewayTimeout {
		t.Errorf("the abandoned request: got %+v, want status 504", got)
	}
	t.Logf("the process ended with %v", <-edge.ended)
	logged := edge.output.String()
	for _, phase := range []string{
		`msg="shutdown requested" grace=2s`,
		`msg="proxy draining"`,
		`msg="proxy listener closed"`,
		`msg="abandoning pending requests"`,
		`msg="proxy connections closed"`,
		`msg="proxy usage commits ended"`,
	} {
		if !strings.Contains(logged, phase) {
			t.Errorf("%s isn't logged", phase)
		}
	}
	if !strings.Contains(logged, "abandoned=1") {
		t.Error("no usage commit was abandoned")
	}
	account := regexp.MustCompile(`msg="process has ended" after=(\S+)`).FindStringSubmatch(logged)
	if account == nil {
		t.Fatalf("the log has no line about the end: %s", logged)
	}
	if took, err := time.ParseDuration(account[1]); err != nil || took < grace/2 || took > grace {
		t.Errorf("ended after %s, want between half and all of the grace time: %s", account[1], logged)
	}
}

// turn sends a turn of a program.
func (m *machine) turn(id string) <-chan clientResponse {
	return m.send("POST", "/turns/x", id)
}

// unresponsiveStoreUpdate returns the placement section of a view, with all programs on a store that accepts connections and never
// responds.
func unresponsiveStoreUpdate(t *testing.T) view.Update {
	t.Helper()
	store, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	replicas := fmt.Sprintf(`[{"id":"r","node":"storage-1","address":%q,"zone":"north"}]`, store.Addr())
	body := fmt.Sprintf(`{"shards":[{"initial":%s,"replicas":%s}]}`, replicas, replicas)
	return view.Update{Section: view.PlacementSection, Stamp: view.Stamp{Term: 1, Sequence: 1}, Body: json.RawMessage(body)}
}

// configurationUpdate returns the configuration section of a view: goodConfiguration with a longer timeout and more connections.
func configurationUpdate() view.Update {
	return configurationUpdateOf(strings.NewReplacer(`"giveUpMs":900`, `"giveUpMs":9000`, `"maxConnections":9`, `"maxConnections":90`))
}

// turnsConfigurationUpdate returns a configurationUpdate with an additional route whose turns are stored.
func turnsConfigurationUpdate() view.Update {
	const turns = `{"name":"turns","host":"h.example","startsWith":"/turns/","kind":"streaming","giveUpMs":1200,"targetMs":100,` +
		`"rank":0,"service":"s","tries":2,"remembered":true,"keepForS":60}`
	return configurationUpdateOf(strings.NewReplacer(`"giveUpMs":900`, `"giveUpMs":9000`, `"tries":2}]`, `"tries":2},`+turns+`]`))
}

// configurationUpdateOf returns the configuration section of a view: goodConfiguration with changes.
func configurationUpdateOf(changes *strings.Replacer) view.Update {
	body := json.RawMessage(`{"raw":` + changes.Replace(goodConfiguration) + `}`)
	return view.Update{Section: view.ConfigurationSection, Stamp: view.Stamp{Term: 1, Sequence: 1}, Body: body}
}

// endpointsUpdate returns the endpoints section of a view, with one endpoint.
func endpointsUpdate(address net.Addr) view.Update {
	body := fmt.Sprintf(`{"endpoints":[{"id":"e","service":"s","address":%q,"zone":"north","capacity":8,"number":"v1","state":"ready"}]}`, address)
	return view.Update{Section: view.EndpointsSection, Stamp: view.Stamp{Term: 1, Sequence: 1}, Body: json.RawMessage(body)}
}
