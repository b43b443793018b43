package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/metrics"
)

func text(m *metrics.Metrics) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", metrics.Path, nil))
	return recorder.Body.String()
}

func TestHandler_CountedEvents_AreServed(t *testing.T) {
	m := metrics.New()
	m.SentLine("replica", "10.0.0.1:7", 5) // before a lookup function is set, the zone is unknown
	lookups := 0
	m.SetZoneLookup(func(host string) metrics.ZoneClass {
		lookups++
		switch host {
		case "10.0.0.1":
			return metrics.OwnZone
		case "10.0.0.2":
			return metrics.OtherZone
		}
		return metrics.UnknownZone
	})
	for range 3 {
		m.SentLine("replica", "10.0.0.1:7", 10)
		m.SentLine("turn.begin", "10.0.0.2:7", 100)
		m.Written("10.0.0.2:8", 60)
		m.Written("10.0.0.3:8", 1)
		m.Written("nowhere", 1)
	}
	m.ObserveStep(metrics.CheckStep, 20*time.Millisecond)
	m.CountOrder(metrics.Accepted)
	m.CountElection()
	m.CountRejection("no_route")
	m.CountForeignResponse()
	m.CountRepeatedSend(metrics.ReusedConnection)
	m.CountResumedStream(metrics.FramedByLength)
	m.CountDroppedResponse(metrics.HeadFields)
	got := text(m)
	for _, want := range []string{
		`mastusher_link_line_bytes_total{kind="replica",zone="unknown"} 5`,
		`mastusher_link_line_bytes_total{kind="replica",zone="own"} 30`,
		`mastusher_link_line_bytes_total{kind="turn.begin",zone="other"} 300`,
		`mastusher_link_sent_bytes_total{zone="other"} 180`,
		`mastusher_link_sent_bytes_total{zone="unknown"} 6`,
		`mastusher_order_seconds_bucket{step="check",le="0.025"} 1`,
		`mastusher_order_seconds_bucket{step="check",le="0.01"} 0`,
		`mastusher_orders_total{outcome="taken"} 1`,
		`mastusher_elections_total 1`,
		`mastusher_own_answers_total{kind="no_route"} 1`,
		`mastusher_foreign_answers_total 1`,
		`mastusher_repeated_sends_total{connection="kept"} 1`,
		`mastusher_resumed_streams_total{framing="length"} 1`,
		`mastusher_dropped_answers_total{bound="head_fields"} 1`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("missing %s in:\n%s", want, got)
		}
	}
	if lookups != 2+3 {
		t.Errorf("got %d zone lookups, want 5: one per known host, and one per message to the unknown host", lookups)
	}
}
