package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestOperatorRead_StaleOrUnknownVersion_IsAViolation(t *testing.T) {
	cases := []struct {
		name      string
		status    int
		version   uint64
		other     bool // the content isn't that of the version
		violation bool
	}{
		{name: "the newest", status: 200, version: 5},
		{name: "sent and not acknowledged", status: 200, version: 6},
		{name: "unavailable", status: 503},
		{name: "older than acknowledged", status: 200, version: 4, violation: true},
		{name: "not sent yet", status: 200, version: 7, violation: true},
		{name: "other content", status: 200, version: 5, other: true, violation: true},
		{name: "no configuration", status: 404, violation: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				returned := configuration(c.version)
				if c.other {
					returned.Routes[0].Name = "other"
				}
				response.WriteHeader(c.status)
				_ = json.NewEncoder(response).Encode(returned)
			}))
			defer server.Close()
			r := runOf(t, "true")
			o := newOperator(r)
			o.acknowledged, o.sent = 5, 6
			o.read(t.Context(), server.Listener.Addr().String())
			if got := r.kinds()["CONFIG"] > 0; got != c.violation {
				t.Errorf("violations: %v", r.result.Violations)
			}
		})
	}
}
