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

// runClient submits messages to a relay at random intervals (open loop) until stop is closed. It returns when all have been answered or
// have timed out.
func (f *Fleet) runClient(r *Relay, stop chan struct{}, accepted *atomic.Int64, result *Result) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(r.Index)+100))
	client := standin.NewClient(r.ClientAddress)
	defer client.Close()
	var pending sync.WaitGroup
	defer pending.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(min(time.Duration(rng.ExpFloat64()*float64(time.Second)/max(math.Float64frombits(f.clientRates[r.Index].Load()),
			0.001)), time.Minute)):
		}
		message := &standin.Message{ID: fmt.Sprintf("%s-%d", r.Name, number), Class: "transfer", Partner: rng.IntN(partners),
			Timeout: 16 * time.Second, Body: "{}"}
		if number%2 == 0 {
			message.Class, message.Key = "match-event", "k"+message.ID
		}
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			sentAt := time.Now()
			status, _ := client.Send(ctx, message)
			if status != 202 {
				f.record(checker.Entry{Kind: checker.Refused, Relay: r.Name, ID: message.ID, Text: fmt.Sprint(status)})
				return
			}
			f.record(checker.Entry{Kind: checker.Accepted, Relay: r.Name, ID: message.ID})
			accepted.Add(1)
			f.mu.Lock()
			_ = result.Answers.RecordValue(max(time.Since(sentAt).Microseconds(), 1))
			f.mu.Unlock()
		})
	}
}
