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

// front stands where the proxy stands: it keeps chains and a budget, and hands requests to one engine and one tool.
type front struct {
	engine, tool http.Handler
	budget       int // turns; then 402
	forget       bool

	mutex  sync.Mutex
	chains map[string]string
	turns  int
}

func (f *front) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/tool/") {
		f.tool.ServeHTTP(response, request)
		return
	}
	input, _ := io.ReadAll(request.Body)
	chain, status := f.begin(request.Header.Get("Previous"))
	if status != 0 {
		response.WriteHeader(status)
		return
	}
	prompt := chain + string(input)
	request.Body = io.NopCloser(strings.NewReader(prompt))
	copied := &copying{ResponseWriter: response}
	f.engine.ServeHTTP(copied, request)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.chains[request.Header.Get("X-Attempt-Id")] = prompt + copied.data()
}

func (f *front) begin(previous string) (chain string, status int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turns++
	if f.budget > 0 && f.turns > f.budget {
		return "", http.StatusPaymentRequired
	}
	if previous == "" || f.forget {
		return "", 0
	}
	chain, known := f.chains[previous]
	if !known {
		return "", http.StatusNotFound
	}
	return chain, 0
}

// copying keeps what an answer holds.
type copying struct {
	http.ResponseWriter
	held bytes.Buffer
}

func (c *copying) Write(text []byte) (int, error) {
	c.held.Write(text)
	return c.ResponseWriter.Write(text)
}

func (c *copying) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *copying) data() string {
	var data strings.Builder
	for text := range strings.Lines(c.held.String()) {
		if after, found := strings.CutPrefix(text, "data: "); found {
			data.WriteString(after)
		}
	}
	return data.String()
}

// faultOnce gives a fault to the first request only.
func faultOnce(fault Fault) func(*http.Request) Fault {
	var once sync.Once
	return func(*http.Request) Fault {
		given := NoFault
		once.Do(func() { given = fault })
		return given
	}
}

type played struct {
	outcome Outcome
	ledger  *RunLog
}

func play(t *testing.T, stand *front, engineFault, toolFault func(*http.Request) Fault, options ProgramOptions) played {
	t.Helper()
	ledger := NewRunLog()
	stand.chains = map[string]string{}
	stand.engine = startEngine(t, EngineOptions{
		EndpointOptions: EndpointOptions{Capacity: 8, RunLog: ledger, Fault: engineFault},
		TokensPerEvent:  3,
	})
	stand.tool = startPlain(t, PlainOptions{EndpointOptions: EndpointOptions{Capacity: 8, RunLog: ledger, Fault: toolFault}})
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	options.Name, options.Address = "p", server.Listener.Addr().String()
	options.Host, options.TurnPath, options.ToolPath = "h.example", "/turn/1", "/tool/1"
	options.MaxTokens = 12
	return played{outcome: NewProgram(options).Run(testContext(t)), ledger: ledger}
}

func TestAProgramThatGoesWell(t *testing.T) {
	for _, remembered := range []bool{false, true} {
		got := play(t, &front{}, nil, nil, ProgramOptions{Turns: 3, Tools: 2, Subagents: 2, SubagentTurns: 2, Stateful: remembered})
		if got.outcome.State != Finished || len(got.outcome.Turns) != 7 || len(got.outcome.Tools) != 14 || got.outcome.Events() != 28 {
			t.Errorf("remembered %v: got %+v", remembered, got.outcome)
		}
		if problems := got.outcome.Check(got.ledger); len(problems) != 0 {
			t.Errorf("remembered %v: %v", remembered, problems)
		}
		if twice := got.ledger.Duplicates(); len(twice) != 0 || got.ledger.Tokens("p") != 84 {
			t.Errorf("twice %v, %d tokens", twice, got.ledger.Tokens("p"))
		}
	}
}

func TestWhatBecomesOfAProgram(t *testing.T) {
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
		{name: "a cut turn is sent again", engineFault: faultOnce(TruncateResponse), options: ProgramOptions{Turns: 2},
			state: Finished, turns: 3},
		{name: "a turn fails three times", engineFault: always(FailResponse), options: ProgramOptions{Turns: 2},
			state: Failed, turns: 3},
		{name: "a tool that has not run is called again", toolFault: faultOnce(RejectFull), options: ProgramOptions{Turns: 1, Tools: 1},
			state: Finished, turns: 1, tools: 2},
		{name: "a tool whose answer is lost ends the program", toolFault: faultOnce(LoseResponse),
			options: ProgramOptions{Turns: 2, Tools: 1}, state: Failed, turns: 1, tools: 1},
		{name: "the budget is spent", budget: 2, options: ProgramOptions{Turns: 5}, state: BudgetSpent, turns: 3},
		{name: "without end, until the budget stops it", budget: 20, options: ProgramOptions{Unbounded: true},
			state: BudgetSpent, turns: 23},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := play(t, &front{budget: c.budget}, c.engineFault, c.toolFault, c.options)
			if got.outcome.State != c.state || len(got.outcome.Turns) != c.turns || len(got.outcome.Tools) != c.tools {
				t.Errorf("got %+v", got.outcome)
			}
			if problems := got.outcome.Check(got.ledger); len(problems) != 0 {
				t.Error(problems)
			}
		})
	}
}

func TestATurnThatIsNotKnownEndsTheProgram(t *testing.T) {
	stand := &front{}
	stand.engine = http.NotFoundHandler()
	server := httptest.NewServer(stand.engine)
	defer server.Close()
	program := NewProgram(ProgramOptions{Name: "p", Address: server.Listener.Addr().String(), TurnPath: "/", Turns: 3})
	if got := program.Run(testContext(t)); got.State != UnknownTurn || len(got.Turns) != 1 {
		t.Errorf("got %+v", got)
	}
}

func TestCheckFindsWhatIsWrong(t *testing.T) {
	t.Run("a chain that was forgotten", func(t *testing.T) {
		got := play(t, &front{forget: true}, nil, nil, ProgramOptions{Turns: 2, Stateful: true})
		problems := strings.Join(got.outcome.Check(got.ledger), "; ")
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
		{name: "twice", outcome: Outcome{Turns: []Turn{{Attempt: "1"}}}, runs: []Run{{Attempt: "1"}, {Attempt: "1"}},
			want: "turn 1 ran 2 times"},
		{name: "a promise broken", outcome: Outcome{Turns: []Turn{{Attempt: "1", Status: 402}}}, runs: []Run{{Attempt: "1"}},
			want: "turn 1 got 402 and ran"},
		{name: "an answer from nowhere", outcome: Outcome{Turns: []Turn{{Attempt: "1", Status: 200, Complete: true}}},
			want: "turn 1 was answered and did not run"},
		{name: "a tool twice", outcome: Outcome{Tools: []Tool{{Attempt: "1", Status: 200}}}, runs: []Run{{Attempt: "1"}, {Attempt: "1"}},
			want: "tool 1 got 200 and ran 2 times"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ledger := NewRunLog()
			for _, run := range c.runs {
				ledger.start(run)
			}
			if diff := cmp.Diff([]string{c.want}, c.outcome.Check(ledger)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEventsOutOfPlaceAreFound(t *testing.T) {
	event := func(id, data int) string {
		return "id: " + string(rune('0'+id)) + "\ndata: " + EventData(nil, data) + "\n\n"
	}
	cases := []struct {
		name string
		body string
		want string
	}{
		{name: "as it should be", body: event(1, 1) + event(2, 2)},
		{name: "one missing", body: event(1, 1) + event(3, 3), want: "event 3 came in the place of event 2"},
		{name: "one twice", body: event(1, 1) + event(1, 1), want: "event 1 came in the place of event 2"},
		{name: "another's data", body: event(1, 2), want: `event 1 has the data "` + EventData(nil, 2) + `"`},
		{name: "half an event", body: event(1, 1) + "id: 2\ndata: x", want: "the answer ends inside an event and looks whole"},
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
