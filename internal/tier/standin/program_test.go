package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// stubProxy is a proxy that stores the chains of turns, enforces a budget, and forwards requests to one engine and one tool.
type stubProxy struct {
	engine, tool http.Handler
	budget       int  // number of turns after which it answers with 402; 0: unlimited
	forget       bool // turns don't get the chain that they continue

	mutex  sync.Mutex
	chains map[string]string
	turns  int
}

func (p *stubProxy) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/tool/") {
		p.tool.ServeHTTP(response, request)
		return
	}
	input, _ := io.ReadAll(request.Body)
	chain, status := p.begin(request.Header.Get("Previous"))
	if status != 0 {
		response.WriteHeader(status)
		return
	}
	prompt := chain + string(input)
	request.Body = io.NopCloser(strings.NewReader(prompt))
	recorder := &recordingWriter{ResponseWriter: response}
	p.engine.ServeHTTP(recorder, request)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.chains[request.Header.Get("X-Attempt-Id")] = prompt + recorder.data()
}

func (p *stubProxy) begin(previous string) (chain string, status int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.turns++
	if p.budget > 0 && p.turns > p.budget {
		return "", http.StatusPaymentRequired
	}
	if previous == "" || p.forget {
		return "", 0
	}
	chain, known := p.chains[previous]
	if !known {
		return "", http.StatusNotFound
	}
	return chain, 0
}

// recordingWriter records the body that it writes.
type recordingWriter struct {
	http.ResponseWriter
	body bytes.Buffer
}

func (w *recordingWriter) Write(text []byte) (int, error) {
	w.body.Write(text)
	return w.ResponseWriter.Write(text)
}

func (w *recordingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *recordingWriter) data() string {
	var data strings.Builder
	for text := range strings.Lines(w.body.String()) {
		if after, found := strings.CutPrefix(text, "data: "); found {
			data.WriteString(after)
		}
	}
	return data.String()
}

// faultOnce returns a fault for the first request only.
func faultOnce(fault Fault) func(*http.Request) Fault {
	var once sync.Once
	return func(*http.Request) Fault {
		given := NoFault
		once.Do(func() { given = fault })
		return given
	}
}

type programRun struct {
	outcome Outcome
	log     *RunLog
}

func runProgram(t *testing.T, proxy *stubProxy, engineFault, toolFault func(*http.Request) Fault, options ProgramOptions) programRun {
	t.Helper()
	log := NewRunLog()
	proxy.chains = map[string]string{}
	proxy.engine = startEngine(t, EngineOptions{
		EndpointOptions: EndpointOptions{Capacity: 8, RunLog: log, Fault: engineFault},
		TokensPerEvent:  3,
	})
	proxy.tool = startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{Capacity: 8, RunLog: log, Fault: toolFault}})
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	options.Name, options.Address = "p", server.Listener.Addr().String()
	options.Host, options.TurnPath, options.ToolPath = "h.example", "/turn/1", "/tool/1"
	options.MaxTokens = 12
	return programRun{outcome: NewProgram(options).Run(testContext(t)), log: log}
}

func TestProgram_NoFaults_FinishesWithoutProblems(t *testing.T) {
	for _, stateful := range []bool{false, true} {
		got := runProgram(t, &stubProxy{}, nil, nil, ProgramOptions{Turns: 3, Tools: 2, Subagents: 2, SubagentTurns: 2, Stateful: stateful})
		if got.outcome.State != Finished || len(got.outcome.Turns) != 7 || len(got.outcome.Tools) != 14 || got.outcome.Events() != 28 {
			t.Errorf("stateful %v: got %+v", stateful, got.outcome)
		}
		if problems := got.outcome.Check(got.log); len(problems) != 0 {
			t.Errorf("stateful %v: %v", stateful, problems)
		}
		if twice := got.log.Duplicates(); len(twice) != 0 || got.log.Tokens("p") != 84 {
			t.Errorf("attempts %v ran more than once; %d tokens generated, want 84", twice, got.log.Tokens("p"))
		}
	}
}

func TestProgram_Faults_EndsInExpectedState(t *testing.T) {
	always := func(fault Fault) func(*http.Request) Fault { return func(*http.Request) Fault { return fault } }
	cases := []struct {
		name        string
		budget      int
		engineFault func(*http.Request) Fault
		toolFault   func(*http.Request) Fault
		options     ProgramOptions
		state       State
		turns       int
		tools       int
	}{
		{name: "a truncated turn is retried", engineFault: faultOnce(TruncateResponse), options: ProgramOptions{Turns: 2},
			state: Finished, turns: 3},
		{name: "a turn fails on every attempt", engineFault: always(FailResponse), options: ProgramOptions{Turns: 2},
			state: Failed, turns: 3},
		{name: "a tool call that has not run is retried", toolFault: faultOnce(RejectFull), options: ProgramOptions{Turns: 1, Tools: 1},
			state: Finished, turns: 1, tools: 2},
		{name: "a tool call whose response is lost ends the program", toolFault: faultOnce(LoseResponse),
			options: ProgramOptions{Turns: 2, Tools: 1}, state: Failed, turns: 1, tools: 1},
		{name: "the budget is spent", budget: 2, options: ProgramOptions{Turns: 5}, state: BudgetSpent, turns: 3},
		{name: "an unbounded program runs until its budget is spent", budget: 20, options: ProgramOptions{Unbounded: true},
			state: BudgetSpent, turns: 23},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runProgram(t, &stubProxy{budget: c.budget}, c.engineFault, c.toolFault, c.options)
			if got.outcome.State != c.state || len(got.outcome.Turns) != c.turns || len(got.outcome.Tools) != c.tools {
				t.Errorf("got %+v", got.outcome)
			}
			if problems := got.outcome.Check(got.log); len(problems) != 0 {
				t.Error(problems)
			}
		})
	}
}

func TestProgram_UnknownTurn_EndsProgram(t *testing.T) {
	proxy := &stubProxy{}
	proxy.engine = http.NotFoundHandler()
	server := httptest.NewServer(proxy.engine)
	defer server.Close()
	program := NewProgram(ProgramOptions{Name: "p", Address: server.Listener.Addr().String(), TurnPath: "/", Turns: 3})
	if got := program.Run(testContext(t)); got.State != UnknownTurn || len(got.Turns) != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestOutcomeCheck_BrokenGuarantee_IsReported(t *testing.T) {
	t.Run("a turn without its chain", func(t *testing.T) {
		got := runProgram(t, &stubProxy{forget: true}, nil, nil, ProgramOptions{Turns: 2, Stateful: true})
		problems := strings.Join(got.outcome.Check(got.log), "; ")
		if !strings.Contains(problems, "ran with") {
			t.Errorf("got %q", problems)
		}
	})
	cases := []struct {
		name    string
		outcome Outcome
		runs    []Run
		want    string
	}{
		{name: "a turn ran twice", outcome: Outcome{Turns: []Turn{{Attempt: "1"}}}, runs: []Run{{Attempt: "1"}, {Attempt: "1"}},
			want: "turn 1 ran 2 times"},
		{name: "a turn ran despite its status", outcome: Outcome{Turns: []Turn{{Attempt: "1", Status: 402}}}, runs: []Run{{Attempt: "1"}},
			want: "turn 1 got status 402 and ran"},
		{name: "a response without a run", outcome: Outcome{Turns: []Turn{{Attempt: "1", Status: 200, Complete: true}}},
			want: "turn 1 got a complete response and did not run"},
		{name: "a tool call ran twice", outcome: Outcome{Tools: []Tool{{Attempt: "1", Status: 200}}}, runs: []Run{{Attempt: "1"}, {Attempt: "1"}},
			want: "tool 1 got status 200 and ran 2 times"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := NewRunLog()
			for _, run := range c.runs {
				log.start(run)
			}
			if diff := cmp.Diff([]string{c.want}, c.outcome.Check(log)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTurnRead_EventsOutOfOrder_AreReported(t *testing.T) {
	event := func(id, data int) string {
		return "id: " + string(rune('0'+id)) + "\ndata: " + EventData(nil, data) + "\n\n"
	}
	cases := []struct {
		name string
		body string
		want string
	}{
		{name: "in order", body: event(1, 1) + event(2, 2)},
		{name: "a missing event", body: event(1, 1) + event(3, 3), want: "received event 3, want event 2"},
		{name: "a repeated event", body: event(1, 1) + event(1, 1), want: "received event 1, want event 2"},
		{name: "the data of another event", body: event(1, 2), want: `event 1 has the wrong data "` + EventData(nil, 2) + `"`},
		{name: "an incomplete event", body: event(1, 1) + "id: 2\ndata: x", want: "the response ends inside an event but looks complete"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var turn Turn
			turn.read(strings.NewReader(c.body))
			if turn.Problem != c.want {
				t.Errorf("got %q, want %q", turn.Problem, c.want)
			}
		})
	}
}
