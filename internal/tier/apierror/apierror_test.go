package apierror

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/multierr"
	"pgregory.net/rapid"
)

// notExecutedStatuses are the statuses that tell clients that a request was not executed.
var notExecutedStatuses = []int{
	http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
	http.StatusServiceUnavailable,
}

// ambiguousStatuses are the statuses that do not tell clients whether a request was executed.
var ambiguousStatuses = []int{http.StatusBadGateway, http.StatusGatewayTimeout}

func TestResponse_AllKinds_MatchTheTable(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-22s %6s %-9s %-11s %s\n", "kind", "status", "never ran", "retry after", "close")
	for _, kind := range Kinds() {
		response := kind.Response()
		fmt.Fprintf(&table, "%-22s %6d %-9t %-11t %t\n",
			kind, response.Status, response.NotExecuted, response.RetryAfter, response.Close)
	}
	goldie.New(t).Assert(t, "answers", []byte(table.String()))
}

// docRow matches a row of the tables of kinds in docs/operations/errors.md: kind, status, not executed, Retry-After, closes.
var docRow = regexp.MustCompile("(?m)^\\| `([a-z ]+)` \\| (\\d+|none) \\| (yes|no) \\| (yes|no) \\| (yes|no) \\|")

func TestOperatorsPage_EachKind_StandsThereOnceAsInTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	described := make(map[string]Response)
	for _, row := range docRow.FindAllStringSubmatch(string(page), -1) {
		if _, twice := described[row[1]]; twice {
			t.Errorf("the page lists %q twice", row[1])
		}
		status, _ := strconv.Atoi(row[2]) // "none" becomes 0
		described[row[1]] = Response{Status: status, NotExecuted: row[3] == "yes", RetryAfter: row[4] == "yes", Close: row[5] == "yes"}
	}
	for _, kind := range Kinds() {
		got, ok := described[kind.String()]
		if want := kind.Response(); !ok || got != want {
			t.Errorf("%q: the page has %+v (listed: %t), want %+v", kind, got, ok, want)
		}
	}
	if len(described) != len(Kinds()) {
		t.Errorf("the page has %d kinds, want %d", len(described), len(Kinds()))
	}
}

func TestKinds_Each_HasANameAndAResponse(t *testing.T) {
	seen := make(map[string]Kind)
	for _, kind := range Kinds() {
		name := kind.String()
		if other, ok := seen[name]; name == "" || ok {
			t.Errorf("kinds %d and %d are both %q", other, kind, name)
		}
		seen[name] = kind
		if kind.Response() == (Response{}) {
			t.Errorf("%v has no response", kind)
		}
	}
}

func TestResponse_RetryableStatus_OnlyIfNotExecuted(t *testing.T) {
	for _, kind := range Kinds() {
		response := kind.Response()
		if slices.Contains(notExecutedStatuses, response.Status) && !response.NotExecuted {
			t.Errorf("%v: status %d says that the request was not executed, but it may have been", kind, response.Status)
		}
		if !response.NotExecuted && !slices.Contains(ambiguousStatuses, response.Status) && !response.Close {
			t.Errorf("%v may have been executed, but status %d does not say so and the connection stays open", kind, response.Status)
		}
		if response.NotExecuted && slices.Contains(ambiguousStatuses, response.Status) {
			t.Errorf("%v was not executed, but status %d leaves that open", kind, response.Status)
		}
		if response.RetryAfter != (response.Status == http.StatusServiceUnavailable) {
			t.Errorf("%v: status %d, but Retry-After must go with status 503 and with no other", kind, response.Status)
		}
		if kind != ResponseTruncated && response.Status < http.StatusTemporaryRedirect {
			t.Errorf("%v: status %d is not an error", kind, response.Status)
		}
	}
}

func TestResponse_TurnNotFound_IsNotExecuted(t *testing.T) {
	if response := TurnNotFound.Response(); response.Status != http.StatusNotFound || !response.NotExecuted {
		t.Errorf("got %+v, want 404 and not executed", response)
	}
}

func TestKindOf_WrappedAndJoined_OutermostMostCautious(t *testing.T) {
	refused := New(EndpointRefused, "endpoint %s", "e-1")
	unsure := New(MayHaveExecuted, "connection reset: %w", io.ErrUnexpectedEOF)
	cases := map[string]struct {
		err  error
		want Kind
	}{
		"no error":                      {nil, None},
		"an error of no kind":           {io.EOF, Internal},
		"a kind by itself":              {NoRoute, NoRoute},
		"an error of a kind":            {refused, EndpointRefused},
		"wrapped":                       {fmt.Errorf("call: %w", refused), EndpointRefused},
		"wrapped with a trace":          {trace.Wrap(trace.Wrap(refused), "call %d", 1), EndpointRefused},
		"a wrapped kind":                {trace.Wrap(Overloaded), Overloaded},
		"another kind around it":        {New(NoEndpoint, "all endpoints: %w", refused), NoEndpoint},
		"joined, may have run is last":  {errors.Join(refused, unsure), MayHaveExecuted},
		"joined, may have run is first": {errors.Join(unsure, refused), MayHaveExecuted},
		"joined, both not executed":     {errors.Join(io.EOF, refused, NoRoute), EndpointRefused},
		"joined by multierr":            {multierr.Append(refused, unsure), MayHaveExecuted},
		"joined by trace":               {trace.NewAggregate(refused, unsure), MayHaveExecuted},
		"joined errors of no kind":      {errors.Join(io.EOF, io.ErrNoProgress), Internal},
		"an undefined kind":             {Kind(250), Kind(250)},
		"an error without a cause":      {trace.Wrap(New(Internal, "x")), Internal},
		"two causes wrapped by Errorf":  {fmt.Errorf("%w and %w", refused, unsure), MayHaveExecuted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := KindOf(c.err); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if got := ResponseOf(c.err); got != c.want.Response() {
				t.Errorf("got %+v, want the response of the kind", got)
			}
		})
	}
}

func TestNew_Causes_AreKept(t *testing.T) {
	one := trace.Wrap(New(MayHaveExecuted, "read: %w", io.ErrUnexpectedEOF))
	if !errors.Is(one, io.ErrUnexpectedEOF) || !errors.Is(one, MayHaveExecuted) || errors.Is(one, NoRoute) {
		t.Errorf("one cause: %v", one)
	}
	two := New(Internal, "%w after %w", io.EOF, New(NoRoute, "gone"))
	if !errors.Is(two, io.EOF) || !errors.Is(two, NoRoute) || !errors.Is(two, Internal) {
		t.Errorf("two causes: %v", two)
	}
	var typed *Error
	if !errors.As(one, &typed) || typed.Kind() != MayHaveExecuted {
		t.Errorf("got %v, want an *Error of kind MayHaveExecuted", typed)
	}
	if none := New(NoRoute, "no cause"); errors.Unwrap(none) != nil {
		t.Errorf("got cause %v, want none", errors.Unwrap(none))
	}
}

func TestError_Text_IsKindAndMessage(t *testing.T) {
	if got := New(NoRoute, "host %q", "a").Error(); got != `no route: host "a"` {
		t.Errorf("got %q", got)
	}
	if got := Overloaded.Error(); got != "overloaded" {
		t.Errorf("got %q", got)
	}
	if got := Kind(250).Error(); got != "kind 250" {
		t.Errorf("got %q", got)
	}
}

func TestResponse_UnknownKind_IsInternal(t *testing.T) {
	if got := Kind(250).Response(); got != Internal.Response() {
		t.Errorf("got %+v", got)
	}
}

func TestKind_AsError_DoesNotAllocate(t *testing.T) {
	refuse := func(overloaded bool) error {
		if overloaded {
			return Overloaded
		}
		return nil
	}
	if got := testing.AllocsPerRun(100, func() { ResponseOf(refuse(true)) }); got != 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}

// TestResponseOf_JoinedErrors_NotExecutedOnlyIfAllAre checks that the response to joined errors is NotExecuted only if all kinds are.
func TestResponseOf_JoinedErrors_NotExecutedOnlyIfAllAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom(Kinds()), 1, 6).Draw(t, "kinds")
		var joined error
		notExecuted := true
		for _, kind := range kinds {
			joined = errors.Join(joined, New(kind, "x"))
			notExecuted = notExecuted && kind.Response().NotExecuted
		}
		if got := ResponseOf(joined).NotExecuted; got != notExecuted {
			t.Fatalf("got %t, want %t", got, notExecuted)
		}
	})
}

func TestFormatRetryAfter_Durations_Seconds(t *testing.T) {
	cases := map[time.Duration]string{
		-time.Second:              "0",
		0:                         "0",
		250 * time.Millisecond:    "0.25",
		time.Second:               "1",
		1500 * time.Millisecond:   "1.5",
		100 * time.Second:         "100",
		123456 * time.Microsecond: "0.124",
	}
	for wait, want := range cases {
		if got := FormatRetryAfter(wait); got != want {
			t.Errorf("%v: got %q, want %q", wait, got, want)
		}
	}
}
