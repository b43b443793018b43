package testcluster

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/standin"
)

// runClient submits messages to a relay, open loop, until stop is closed; it returns when all have been answered or timed out.
func (f *Fleet) runClient(r *Relay, stop chan struct{}, taken *atomic.Int64, res *Result) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(r.Index)+100))
	client := standin.NewClient(r.ClientAddress)
	defer client.Close()
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(min(time.Duration(rng.ExpFloat64()*float64(time.Second)/max(math.Float64frombits(f.clientRates[r.Index].Load()), 0.001)), time.Minute)):
		}
		m := &standin.Message{ID: fmt.Sprintf("%s-%d", r.Name, n), Class: "transfer", Partner: rng.IntN(partners), Timeout: 16 * time.Second, Body: "{}"}
		if n%2 == 0 {
			m.Class, m.Key = "match-event", "k"+m.ID
		}
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			at := time.Now()
			status, _ := client.Send(ctx, m)
			if status != 202 {
				f.record(checker.Entry{Kind: checker.Refused, Relay: r.Name, ID: m.ID, Text: fmt.Sprint(status)})
				return
			}
			f.record(checker.Entry{Kind: checker.Accepted, Relay: r.Name, ID: m.ID})
			taken.Add(1)
			f.mu.Lock()
			_ = res.Answers.RecordValue(max(time.Since(at).Microseconds(), 1))
			f.mu.Unlock()
		})
	}
}
