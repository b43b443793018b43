package overloadtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
)

// Limits of a deployment's machines, and the time for which an ordinary crowd is at work.
const (
	deploymentEdgeMb  = 284
	deploymentStoreMb = 294
	deploymentCoreMb  = 280
	deploymentFiles   = 4100
	honestTime        = 5 * time.Second
	honestBytes       = 2 << 20
	honestTurnBytes   = 100 << 10
)

// BenchmarkHonestClients reports what ordinary clients get: the answers a second, the part of requests that are not served, and the median
// and 99th percentile of the time of those served. It compares two builds on one machine; no bound is judged.
func BenchmarkHonestClients(b *testing.B) {
	cases := []struct {
		name    string
		path    string
		clients int
		bytes   int
		chunked bool
	}{
		{"plain, 2 MB bodies, 20 clients", plainPath, 20, honestBytes, false},
		{"plain, 2 MB bodies, 60 clients", plainPath, 60, honestBytes, false},
		{"streamed, 2 MB bodies in chunks, 40 clients", streamPath, 40, honestBytes, true},
		{"turns of 100 KB, 40 clients", turnPath, 40, honestTurnBytes, false},
		{"turns of 2 MB, 4 clients", turnPath, 4, honestBytes, false},
		{"plain, small bodies, 100 clients", plainPath, 100, 800, false},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			f := newFixtureWith(b, deploymentLimits())
			ctx, cancel := context.WithTimeout(b.Context(), honestTime)
			defer cancel()
			meter := startMemoryMeter(f.tier.Processes)
			var mutex sync.Mutex
			var times []time.Duration
			failed := map[int]int{}
			var crowd sync.WaitGroup
			for range test.clients {
				crowd.Go(func() {
					for ctx.Err() == nil {
						began := time.Now()
						status := f.honestRequest(b.Context(), test.path, test.bytes, test.chunked)
						mutex.Lock()
						if status == http.StatusOK {
							times = append(times, time.Since(began))
						} else {
							failed[status]++
						}
						mutex.Unlock()
						pause(ctx.Done(), 10*time.Millisecond)
					}
				})
			}
			crowd.Wait()
			peaks := meter.stop()
			report(b, times, failed)
			for p, peak := range peaks {
				if p.Role == localtier.ProxyRole {
					b.ReportMetric(float64(peak.total()>>20), "MB-proxy")
				}
			}
		})
	}
}

// honestRequest sends one request on a connection of its own and returns the answer's status, 0 without one.
func (f *fixture) honestRequest(ctx context.Context, path string, bytes int, chunked bool) int {
	bounded, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	connection := connect(bounded, f.front)
	if connection == nil {
		return 0
	}
	defer connection.Close()
	attempt := f.attempt()
	fields := []string{"Program: honest-" + attempt, "Budget: 100", "X-Token-Counts: 10,6", timeLeftHeader + ": 4000", "Connection: close"}
	head := request{path: path, attempt: attempt, length: int64(bytes), chunked: chunked, fields: fields}.head()
	if _, err := io.WriteString(connection, head); err != nil {
		return 0
	}
	if !chunked {
		_ = sendBytes(connection, bytes)
	} else if sendChunks(connection, bytes, 64<<10) == nil {
		_, _ = io.WriteString(connection, "0\r\n\r\n")
	}
	return readStatus(connection)
}

// report reports the times of the requests that were served, and the part of the others.
func report(b *testing.B, times []time.Duration, failed map[int]int) {
	lost := 0
	for status, count := range failed {
		lost += count
		b.ReportMetric(float64(count), fmt.Sprintf("status-%d", status))
	}
	slices.Sort(times)
	b.ReportMetric(float64(len(times))/honestTime.Seconds(), "served/s")
	if total := len(times) + lost; total > 0 {
		b.ReportMetric(float64(lost)/float64(total), "lost")
	}
	if len(times) > 0 {
		b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "ms-p99")
	}
}
