package balancer

import (
	"math"
	"time"
)

// workUnit is the time at which a table enters a call that took as long as its predicted work.
const workUnit = 250 * time.Millisecond

// Priors and bounds of the predicted work.
const (
	workHalfLife               = 60 * time.Second
	priorSecondsPerToken       = 20e-6 // s a prompt token,
	priorCalls                 = 4.0   // which counts for so many calls
	priorTokenSpread           = 500.0 // as far apart as so many tokens
	maxSecondsPerToken         = 1e-3  // s a prompt token
	priorBaseSeconds           = 0.030 // s until the first event of a stream without prompt tokens
	minBaseSeconds             = 0.002
	priorSecondsPerOutputToken = 0.006 // s a generated token
	paceSmoothingTokens        = 100.0 // tokens that the service's pace counts for at an endpoint
)

// decay is the factor by which counts have decayed over an age.
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

// add enters a call that took so many seconds.
func (r *routeWork) add(now time.Duration, took float64) {
	f := decay(now-r.updatedAt, workHalfLife)
	r.seconds, r.calls, r.updatedAt = r.seconds*f+took, r.calls*f+1, now
}

// workEstimator predicts how long requests of a service take at an endpoint of middling speed.
type workEstimator struct {
	routes    map[string]*routeWork
	allRoutes routeWork
	prefill   linearFit // time until the first event against prompt tokens
	pace      tokenPace
}

// newWorkEstimator returns an estimator that knows only the priors.
func newWorkEstimator() workEstimator {
	return workEstimator{routes: map[string]*routeWork{}}
}

// route returns the work of a route, which it creates if necessary.
func (w *workEstimator) route(name string) *routeWork {
	r := w.routes[name]
	if r == nil {
		r = &routeWork{}
		w.routes[name] = r
	}
	return r
}

// predict returns the work of an attempt in seconds.
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

// learn enters how long an attempt took, until its end or its first event.
func (w *workEstimator) learn(now time.Duration, a *Attempt, took float64) {
	if a.kind == streamCall {
		w.prefill.add(now, a.promptTokens, took)
		return
	}
	a.route.add(now, took)
	w.allRoutes.add(now, took)
}

// linearFit is a fit of time against tokens by least squares over counts that decay.
type linearFit struct {
	count, sumX, sumY, sumXX, sumXY float64
	updatedAt                       time.Duration
}

// add enters a call with x tokens that took y seconds.
func (l *linearFit) add(now time.Duration, x, y float64) {
	f := decay(now-l.updatedAt, workHalfLife)
	l.count, l.sumX, l.sumY, l.sumXX, l.sumXY = l.count*f+1, l.sumX*f+x, l.sumY*f+y, l.sumXX*f+x*x, l.sumXY*f+x*y
	l.updatedAt = now
}

// fit returns the time without any token and the time of each, drawn towards the priors while few calls are known.
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

// tokenPace is the time of a generated token, over tokens that decay.
type tokenPace struct {
	seconds, tokens float64
	updatedAt       time.Duration
}

// add enters tokens that took so many seconds in all.
func (p *tokenPace) add(now time.Duration, seconds, tokens float64) {
	f := decay(now-p.updatedAt, workHalfLife)
	p.seconds, p.tokens, p.updatedAt = p.seconds*f+seconds, p.tokens*f+tokens, now
}

// perToken is the time of a token, drawn towards a prior.
func (p *tokenPace) perToken(prior float64) float64 {
	return (p.seconds + paceSmoothingTokens*prior) / (p.tokens + paceSmoothingTokens)
}
