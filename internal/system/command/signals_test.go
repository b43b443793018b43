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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/system/link"
	"mastusher/internal/system/view"
	"mastusher/internal/system/wire"
)

// proxySettings are the settings of an edge machine, with its address left open.
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

// machine is an edge machine on a loopback address of its own, whose proxy runs as a process.
type machine struct {
	t       *testing.T
	ip      string
	process *exec.Cmd
	ended   chan error
	output  bytes.Buffer
}

// newMachine starts a proxy beside an agent that feeds it a view.
func newMachine(t *testing.T, pieces ...view.Piece) *machine {
	t.Helper()
	m := &machine{t: t, ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)), ended: make(chan error, 1)}
	handlers := link.NewHandlers()
	link.HandleStream(handlers, wire.MethodFeed, func(ctx context.Context, _ wire.FetchRequest, send func(view.Piece) error) error {
		for _, piece := range pieces {
			if err := send(piece); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return ctx.Err()
	})
	agent, err := link.Listen(fmt.Sprint(m.ip, ":", 7380+wire.AgentPort), handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Close() })
	m.process = exec.Command(os.Args[0])
	m.process.Env = append(os.Environ(), roleVariable+"=proxy", settingsVariable+"="+writeFile(t, strings.ReplaceAll(proxySettings, "IP", m.ip)))
	m.process.Stdout, m.process.Stderr = &m.output, &m.output
	if err := m.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { m.ended <- m.process.Wait() }()
	t.Cleanup(func() { _ = m.process.Process.Kill() })
	return m
}

// awaitReady returns once the proxy says that it is ready.
func (m *machine) awaitReady() {
	m.t.Helper()
	for began := time.Now(); m.readiness() != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > patience {
			m.t.Fatal("not ready")
		}
	}
}

// readiness returns what the proxy answers to the platform's question; 0: nothing.
func (m *machine) readiness() int {
	response, err := http.Get("http://" + m.ip + ":8141/mastusher/ready")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// answered is a client's answer.
type answered struct {
	status int
	body   string
	close  bool
	err    error
}

// ask sends a request on a connection of its own; its answer comes later.
func (m *machine) ask(id string) <-chan answered {
	m.t.Helper()
	request, err := http.NewRequest("GET", "http://"+m.ip+":8149/a/x", nil)
	if err != nil {
		m.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", id)
	got := make(chan answered, 1)
	go func() {
		client := http.Client{Transport: &http.Transport{}, Timeout: patience}
		response, err := client.Do(request)
		if err != nil {
			got <- answered{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		got <- answered{status: response.StatusCode, body: string(body), close: response.Close, err: err}
	}()
	return got
}

func (m *machine) signal(signal syscall.Signal) {
	m.t.Helper()
	if err := m.process.Process.Signal(signal); err != nil {
		m.t.Fatal(err)
	}
}

func TestSignalsCutNoRequestOfAProxy(t *testing.T) {
	t.Parallel()
	// given a proxy that has a request under way
	begun, release := make(chan string, 3), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- r.Header.Get("X-Attempt-Id")
		<-release
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal")
		io.WriteString(w, "whole")
	}))
	defer endpoint.Close()
	m := newMachine(t, configurationPiece(), listPiece(endpoint.Listener.Addr()))
	m.awaitReady()
	awaitBegun := func() {
		t.Helper()
		select {
		case <-begun:
		case <-time.After(patience):
			close(release)
			t.Fatal("a request didn't come to the endpoint")
		}
	}
	first := m.ask("first")
	awaitBegun()
	// when it is told that its settings have changed, then it goes on, and takes another request
	m.signal(syscall.SIGHUP)
	second := m.ask("second")
	awaitBegun()
	if got := m.readiness(); got != http.StatusOK {
		t.Errorf("readiness %d after SIGHUP", got)
	}
	// when it is to end, then it isn't ready any more, and still takes a request
	m.signal(syscall.SIGTERM)
	for began := time.Now(); m.readiness() == http.StatusOK; {
		if time.Since(began) > patience {
			t.Fatal("still ready")
		}
	}
	third := m.ask("third")
	awaitBegun()
	close(release)
	// then all three are answered whole, on connections that end, and so does the process
	for i, answer := range []<-chan answered{first, second, third} {
		if got := <-answer; got != (answered{status: http.StatusOK, body: "whole", close: true}) {
			t.Errorf("request %d: %+v", i+1, got)
		}
	}
	if err := <-m.ended; err != nil {
		t.Errorf("the process ended with %v: %s", err, m.output.String())
	}
}

// configurationPiece is the section of a view that holds goodConfiguration, with more time and more connections.
func configurationPiece() view.Piece {
	raw := strings.NewReplacer(`"giveUpMs":900`, `"giveUpMs":9000`, `"maxConnections":9`, `"maxConnections":90`).Replace(goodConfiguration)
	return view.Piece{Section: view.ConfigurationSection, Stamp: view.Stamp{Epoch: 1, Sequence: 1}, Body: json.RawMessage(`{"raw":` + raw + `}`)}
}

// listPiece is the section of a view that holds one endpoint.
func listPiece(address net.Addr) view.Piece {
	body := fmt.Sprintf(`{"endpoints":[{"id":"e","service":"s","address":%q,"zone":"north","capacity":8,"number":"v1","state":"ready"}]}`, address)
	return view.Piece{Section: view.EndpointsSection, Stamp: view.Stamp{Epoch: 1, Sequence: 1}, Body: json.RawMessage(body)}
}
