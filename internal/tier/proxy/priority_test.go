package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/model"
)

// slottedEndpoint simulates an endpoint that runs as many requests at once as it has slots, and admits the most urgent of the queued
// ones first. When its queue is full, it rejects the least urgent one.
type slottedEndpoint struct {
	slots, queueLimit int
	mutex             sync.Mutex
	running           int
	waiting           []*slotRequest
}

// slotRequest is a request queued at a slottedEndpoint.
type slotRequest struct {
	priority int
	admitted chan bool // receives whether the request runs
}

// run runs a request for the duration of work. It returns false if the request was rejected.
func (s *slottedEndpoint) run(priority int, work time.Duration) bool {
	request := &slotRequest{priority: priority, admitted: make(chan bool, 1)}
	s.mutex.Lock()
	s.waiting = append(s.waiting, request)
	slices.SortStableFunc(s.waiting, func(a, b *slotRequest) int { return a.priority - b.priority })
	s.admit()
	if len(s.waiting) > s.queueLimit {
		last := s.waiting[len(s.waiting)-1]
		s.waiting = s.waiting[:len(s.waiting)-1]
		last.admitted <- false
	}
	s.mutex.Unlock()
	if !<-request.admitted {
		return false
	}
	time.Sleep(work)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.admit()
	return true
}

// admit starts queued requests while there are free slots. The caller must hold the mutex.
func (s *slottedEndpoint) admit() {
	for s.running < s.slots && len(s.waiting) > 0 {
		s.running++
		s.waiting[0].admitted <- true
		s.waiting = s.waiting[1:]
	}
}

// load returns the endpoint's X-Server-Load.
func (s *slottedEndpoint) load() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, len(s.waiting), s.slots)
}

// simulateOverload sends requests of two priorities through proxies that share an endpoint, and returns the fraction of requests of
// each priority that were answered within their latency target.
func simulateOverload(t *testing.T, proxies int, rate float64, targets [2]int64) (served [2]float64) {
	const (
		work     = 100 * time.Millisecond
		duration = 3 * time.Second
	)
	endpoint := &slottedEndpoint{slots: 8, queueLimit: 4}
	var loadBalancers []*LoadBalancer
	for i := range proxies {
		loadBalancer := NewLoadBalancer("z", uint64(i+1))
		loadBalancer.SetEndpoints([]model.Endpoint{{ID: "e", Service: "plain", Address: "a", Zone: "z", Capacity: endpoint.slots, Version: "v1", State: model.Ready}})
		loadBalancers = append(loadBalancers, loadBalancer)
	}
	var mutex sync.Mutex
	var sent, onTime [2]int
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	for began := time.Now(); time.Since(began) < duration; {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		priority, loadBalancer := random.IntN(2), loadBalancers[random.IntN(proxies)]
		sent[priority]++
		all.Go(func() {
			if loadBalancer.sendRequest(t, endpoint, priority, targets[priority], work) {
				mutex.Lock()
				defer mutex.Unlock()
				onTime[priority]++
			}
		})
	}
	all.Wait()
	for priority := range served {
		served[priority] = float64(onTime[priority]) / float64(sent[priority])
	}
	return served
}

// sendRequest simulates one request with its retries, and reports whether it was answered within its latency target.
func (b *LoadBalancer) sendRequest(t *testing.T, endpoint *slottedEndpoint, priority int, targetMs int64, work time.Duration) bool {
	info := newRequestInfo(priority)
	info.Route.LatencyTargetMs = targetMs
	for range maxNotRun {
		selection, err := b.Select(t.Context(), info)
		if err != nil {
			return false
		}
		info.Excluded = append(info.Excluded, selection.ID)
		sent := time.Now()
		if endpoint.run(priority, work) {
			b.Done(selection, Outcome{Result: Succeeded, Elapsed: time.Since(sent), Load: endpoint.load()})
			return time.Since(info.ArrivedAt) <= time.Duration(targetMs)*time.Millisecond
		}
		info.RejectedBy = append(info.RejectedBy, selection.ID)
		b.Done(selection, Outcome{Result: NotRun, Elapsed: time.Since(sent), Load: endpoint.load()})
	}
	return false
}

func TestPriority_Overload_MoreUrgentServedNoLess(t *testing.T) {
	const slack = 0.05 // by which the fraction of the more urgent requests served may be lower
	for _, proxies := range []int{1, 8} {
		for _, rate := range []float64{100, 240} { // requests per second, of which the endpoint can serve 80
			for _, targets := range [][2]int64{{400, 1600}, {1600, 400}} {
				synctest.Test(t, func(t *testing.T) {
					served := simulateOverload(t, proxies, rate, targets)
					if served[0] < served[1]-slack {
						t.Errorf("%d proxies, %.0f/s, targets %v ms: served %.2f of the more urgent requests, %.2f of the others",
							proxies, rate, targets, served[0], served[1])
					}
				})
			}
		}
	}
}
