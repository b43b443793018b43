package experiment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/experiment"
)

// storedResults returns the contents of testdata/results.cbor: each field differs from its zero value and from its neighbours.
func storedResults() *experiment.Results {
	return &experiment.Results{Version: experiment.Version, Name: "load", SweepKey: "rate", World: "seed = 3\n", Cells: []experiment.Cell{{
		SweepValue: 20.5, Policy: "module", Seed: 7, Result: &simulator.Result{
			World: "small", Policy: "single", Seed: 8, Hash: "00ff", Messages: 11, Delivered: 12, Abandoned: 13, Expired: 14, Value: 0.15, Refused: 16,
			Resubmitted: 17, Calls: 18, Throttled: 19, Failed: 20, Turns: 21, Endpoints: 22, Relays: 23,
			Fleet: simulator.FleetStats{PeakSenderShare: 0.24, PeakOverload: 0.25, ThrottledPerMessage: 0.26, RecoverySeconds: 27, SharingBytesPerSecond: 28, Unfairness: 0.29},
			Latencies: []simulator.Latency{{Class: "event", P50: 30, P90: 31, P99: 32, Max: 33,
				Buckets: []simulator.HistogramBin{{UpperBound: 34, Count: 35}}}},
			ViolationCounts: map[string]int{"waits": 36}, ViolationSamples: []string{"a breach"}, Bucket: 37 * time.Millisecond,
			Series: map[string]simulator.Series{"came": {38, 39}}, WallTime: 40 * time.Second, HeapBytes: 41,
		}}}}
}

// A results file of an earlier version of the program is read with every value and is written again byte for byte.
func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	golden := filepath.Join("testdata", "results.cbor")
	read, err := experiment.Load(golden)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(storedResults(), read); d != "" {
		t.Errorf("values read from the golden file (-want +got):\n%s", d)
	}
	written := filepath.Join(t.TempDir(), "results.cbor")
	if err = storedResults().Save(written); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got, readErr := os.ReadFile(written); readErr != nil || !bytes.Equal(got, want) {
		t.Errorf("encoded bytes differ from the golden file: %v\n got %x\nwant %x", readErr, got, want)
	}
}
