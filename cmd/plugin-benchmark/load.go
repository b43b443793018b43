package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mastusher/internal/relay/standin"
)

const (
	// startDelay is the time from the start of a run to its first possible message.
	startDelay = 50 * time.Millisecond
	// requestTimeout is how long a client waits for the relay's answer.
	requestTimeout = 5 * time.Second
	// deliveryTimeout is how long the relay may take to deliver a message.
	deliveryTimeout = 10 * time.Second
)

// load holds the messages of a run by ID.
type load struct {
	mu       sync.Mutex
	due      map[string]time.Time // when the message should have been sent
	statuses map[string]int       // status of the relay's answer; 0: no answer
}

// sendLoad sends messages at times drawn in advance, independent of the relay (open loop), so that all of the relay's delays are measured.
// It returns once every message has been answered or timed out.
func (o *options) sendLoad(client *standin.Client, seed uint64) *load {
	rng := rand.New(rand.NewPCG(seed, 1))
	l := &load{due: map[string]time.Time{}, statuses: map[string]int{}}
	var requests sync.WaitGroup
	start := time.Now().Add(startDelay)
	end := time.Duration(o.seconds) * time.Second
	offset := time.Duration(0)
	for i := 0; offset < end; i++ {
		offset += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(o.rate))
		m := &standin.Message{ID: fmt.Sprintf("%d-%d", seed, i), Key: fmt.Sprintf("key-%d-%d", seed, i), Class: "match-event",
			Partner: rng.IntN(o.partners + o.victims), Timeout: deliveryTimeout, Body: `{"match":"heb-hea","home":1,"away":0}`}
		due := start.Add(offset)
		time.Sleep(time.Until(due))
		l.setDue(m.ID, due)
		requests.Go(func() { l.send(client, m) })
	}
	requests.Wait()
	return l
}

// send sends one message and records the answer.
func (l *load) send(client *standin.Client, m *standin.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	status, _ := client.Send(ctx, m)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[m.ID] = status
}

func (l *load) setDue(id string, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due[id] = due
}
