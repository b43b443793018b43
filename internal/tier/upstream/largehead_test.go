package upstream_test

import (
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/upstream"
)

// respondWithFields responds with further header fields.
func respondWithFields(fields string) func(net.Conn, received) bool {
	return func(socket net.Conn, request received) bool {
		respond(socket, request, "body", strings.TrimSuffix(fields, "\r\n"))
		return true
	}
}

// A head that takes many times its bytes once it is parsed must be refused before: thousands of small fields, or of names in a list.
func TestDo_HeadOfManyFields_FailsWhichMayHaveRun(t *testing.T) {
	cases := []struct {
		name   string
		fields string
		ok     bool
	}{
		{"as many as are allowed", strings.Repeat("A:\r\n", upstream.DefaultMaxHeaderFields-10), true},
		{"small fields", strings.Repeat("A:\r\n", upstream.DefaultMaxHeaderFields), false},
		{"names of trailers", "Trailer: a" + strings.Repeat(",a", upstream.DefaultMaxHeaderFields), false},
		{"connection options", "Connection: a" + strings.Repeat(",a", upstream.DefaultMaxHeaderFields), false},
		{"one long value with commas", "Filler: " + strings.Repeat(",", 30_000), true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, respondWithFields(test.fields))
			_, err := exchange(t, newPool(t, upstream.Options{}), e.target("e"), newRequest("GET", "/", "id"))
			var failure *upstream.Error
			switch {
			case test.ok && err != nil:
				t.Error(err)
			case !test.ok && (!errors.As(err, &failure) || failure.Kind != upstream.MayHaveRun || failure.Reason != upstream.ReadFailed):
				t.Errorf("error %v, want %s which may have run", err, upstream.ReadFailed)
			}
		})
	}
}

func TestDo_NoMemoryForTheHead_FailsWithThatReason(t *testing.T) {
	e := newEndpoint(t, respondWithFields("Filler: "+strings.Repeat("x", 30_000)))
	request := newRequest("GET", "/", "id")
	request.ReserveHead = func(bytes int64) bool { return bytes < 50_000 }
	_, err := exchange(t, newPool(t, upstream.Options{}), e.target("e"), request)
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Kind != upstream.MayHaveRun || failure.Reason != upstream.NoMemory {
		t.Errorf("error %v, want %s which may have run", err, upstream.NoMemory)
	}
}

func TestDo_HeadOverABound_IsCounted(t *testing.T) {
	counts := metrics.New()
	pool := newPool(t, upstream.Options{Metrics: counts})
	for bound, fields := range map[string]string{
		"head_fields": strings.Repeat("A:\r\n", upstream.DefaultMaxHeaderFields),
		"head_bytes":  "Filler: " + strings.Repeat("x", upstream.DefaultMaxHeaderBytes),
	} {
		e := newEndpoint(t, respondWithFields(fields))
		_, _ = exchange(t, pool, e.target(bound), newRequest("GET", "/", "id"))
		recorder := httptest.NewRecorder()
		counts.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), "GET", "/", nil))
		if want := `mastusher_dropped_answers_total{bound="` + bound + `"} 1`; !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("missing %s", want)
		}
	}
}

func TestDo_SmallHead_ReservesNothing(t *testing.T) {
	e := newEndpoint(t, respondWithFields("Filler: x"))
	request := newRequest("GET", "/", "id")
	request.ReserveHead = func(bytes int64) bool {
		t.Errorf("%d bytes reserved", bytes)
		return true
	}
	if _, err := exchange(t, newPool(t, upstream.Options{}), e.target("e"), request); err != nil {
		t.Error(err)
	}
}
