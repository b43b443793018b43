package proxy

import (
	"bytes"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/metrics"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files of the wire format")

// compareGolden compares bytes that clients or operators read with those of earlier versions, which the golden file holds.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s differs from the bytes of earlier versions (-want +got):\n%s", name, diff)
	}
}

// TestWireFormat_ErrorResponses_AreThoseOfEarlierVersions compares status, header and body of the error response of each kind.
func TestWireFormat_ErrorResponses_AreThoseOfEarlierVersions(t *testing.T) {
	var got bytes.Buffer
	for _, kind := range apierror.Kinds() {
		if kind.Response().Status == 0 {
			continue // no response can be sent
		}
		w := httptest.NewRecorder()
		writeError(w, kind, 1250*time.Millisecond)
		response := w.Result()
		fmt.Fprintf(&got, "%d\n", response.StatusCode)
		if err := response.Header.Write(&got); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "\n%s\n", w.Body)
	}
	compareGolden(t, "error_responses.txt", got.Bytes())
}

// TestWireFormat_MetricsOfErrorResponses_AreThoseOfEarlierVersions compares the metrics that count error responses.
func TestWireFormat_MetricsOfErrorResponses_AreThoseOfEarlierVersions(t *testing.T) {
	counted := newRejectionCounter(&Options{Metrics: metrics.New()})
	for _, kind := range apierror.Kinds() {
		counted.add(kind)
	}
	w := httptest.NewRecorder()
	counted.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", metrics.Path, nil))
	var got bytes.Buffer
	for line := range bytes.Lines(w.Body.Bytes()) {
		if bytes.Contains(line, []byte("own_answers")) {
			got.Write(line)
		}
	}
	compareGolden(t, "error_metrics.txt", got.Bytes())
}
