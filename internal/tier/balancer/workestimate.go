package balancer

import (
	"math"
	"time"
)

// workUnit is the time that a table stores for a call which took exactly as long as predicted.
const workUnit = 250 * time.Millisecond

// Priors and limits of the predicted work.
const (
	workHalfLife               = 60 * time.Second
	priorSecondsPerToken       = 20e-6 // s per prompt token
	priorCalls                 = 4.0   // weight of priorSecondsPerToken, in calls
	priorTokenSpread           = 500.0 // assumed deviation of those calls' tokens from their mean
	maxSecondsPerToken         = 1e-3  // s per prompt token
	priorBaseSeconds           = 0.030 // s until the first event of a stream without prompt tokens
	minBaseSeconds             = 0.002 // s, for any call
	priorSecondsPerOutputToken = 0.006 // s per generated token
	paceSmoothingTokens        = 100.0 // weight of the prior of a tokenPace, in tokens
)

// decay returns the factor by which a count has decayed after the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// routeWork is the mean time of a route's plain calls.
type routeWork struct {
	seconds, calls float64
	updatedAt      time.Duration
}

// add adds a call that took the given number of seconds.
func (r *routeWork) add(now time.Duration, took float64) {
	f := decay(now-r.updatedAt, workHalfLife)
	r.seconds, r.calls, r.updatedAt = r.seconds*f+took, r.calls*f+1, now
}

// workEstimator predicts how long requests of a service take at an endpoint of average speed.
type workEstimator struct {
	routes    map[string]*routeWork
	allRoutes routeWork
	prefill   linearFit // time until the first event against prompt tokens
	pace      tokenPace
}

// newWorkEstimator returns an estimator without calls, which predicts from the priors.
func newWorkEstimator() workEstimator {
	return workEstimator{routes: map[string]*routeWork{}}
}

// route returns the work of a route, and creates it if necessary.
func (w *workEstimator) route(name string) *routeWork {
	r := w.routes[name]
	if r == nil {
		r = &routeWork{}
		w.routes[name] = r
	}
	return r
}

// predict returns the predicted work of an attempt in seconds. A route without calls gets the mean of all routes.
func (w *workEstimator) predict(kind callKind, r *routeWork, promptTokens float64) float64 {
	switch {
	case kind == streamCall:
		base, perToken := w.prefill.fit()
		return base + perToken*promptTokens
	case r.calls > 0:
		return max(r.seconds/r.calls, minBaseSeconds)
	case w.allRoutes.calls > 0:
		return max(w.allRoutes.seconds/w.allRoutes.calls, minBaseSeconds)
	}
	return workUnit.Seconds()
}

// record adds the time of an attempt: until its end, or until its first event for a stream.
func (w *workEstimator) record(now time.Duration, a *Attempt, took float64) {
	if a.kind == streamCall {
		w.prefill.add(now, a.promptTokens, took)
		return
	}
	a.route.add(now, took)
	w.allRoutes.add(now, took)
}

// linearFit is a least-squares fit of time against tokens, from sums that decay.
type linearFit struct {
	count, sumX, sumY, sumXX, sumXY float64
	updatedAt                       time.Duration
}

// add adds a call with x tokens that took y seconds.
func (l *linearFit) add(now time.Duration, x, y float64) {
	f := decay(now-l.updatedAt, workHalfLife)
	l.count, l.sumX, l.sumY, l.sumXX, l.sumXY = l.count*f+1, l.sumX*f+x, l.sumY*f+y, l.sumXX*f+x*x, l.sumXY*f+x*y
	l.updatedAt = now
}

// fit returns the time without tokens and the time per token. With few calls, the time per token stays close to its prior.
func (l *linearFit) fit() (base, perToken float64) {
	if l.count <= 0 {
		return priorBaseSeconds, priorSecondsPerToken
	}
	const weight = priorCalls * priorTokenSpread * priorTokenSpread
	spread := max(0, l.sumXX-l.sumX*l.sumX/l.count)
	perToken = (max(0, l.sumXY-l.sumX*l.sumY/l.count) + weight*priorSecondsPerToken) / (spread + weight)
	perToken = min(perToken, maxSecondsPerToken, l.sumY/max(l.sumX, 1))
	return max(minBaseSeconds, (l.sumY-perToken*l.sumX)/l.count), perToken
}

// tokenPace measures the time per generated token, from sums that decay.
type tokenPace struct {
	seconds, tokens float64
	updatedAt       time.Duration
}

// add adds a number of tokens that took the given number of seconds in all.
func (p *tokenPace) add(now time.Duration, seconds, tokens float64) {
	f := decay(now-p.updatedAt, workHalfLife)
	p.seconds, p.tokens, p.updatedAt = p.seconds*f+seconds, p.tokens*f+tokens, now
}

// perToken returns the time per token in seconds. With few tokens, it stays close to the prior.
func (p *tokenPace) perToken(prior float64) float64 {
	return (p.seconds + paceSmoothingTokens*prior) / (p.tokens + paceSmoothingTokens)
}
