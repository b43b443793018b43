package balancer

import (
	"math"
	"time"
)

// workUnit is the time in which a table enters a call that took as long as its predicted work.
const workUnit = 250 * time.Millisecond

// What is assumed and kept of the work of requests.
const (
	workHalfLife   = 60 * time.Second
	readPrior      = 20e-6 // s a token
	readPriorCalls = 4.0   // calls that this counts for,
	readPriorSize  = 500.0 // as far apart as so many tokens
	readMost       = 1e-3  // s a token
	basePrior      = 0.030 // s of a stream's first event without any token to read
	baseLeast      = 0.002
	pacePrior      = 0.006 // s a token generated
	paceWeight     = 100.0 // tokens that the service's pace counts for at an endpoint
)

// fading is the factor by which counts have faded over an age.
func fading(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// routeWork is the mean time of a route's plain calls.
type routeWork struct {
	seconds, calls float64
	at             time.Duration
}

func (r *routeWork) add(now time.Duration, x float64) {
	f := fading(now-r.at, workHalfLife)
	r.seconds, r.calls, r.at = r.seconds*f+x, r.calls*f+1, now
}

// work predicts how long requests of a service take at an endpoint of middling speed.
type work struct {
	routes map[string]*routeWork
	all    routeWork
	reads  line
	pace   pace
}

func newWork() work {
	return work{routes: map[string]*routeWork{}}
}

func (w *work) route(name string) *routeWork {
	r := w.routes[name]
	if r == nil {
		r = &routeWork{}
		w.routes[name] = r
	}
	return r
}

// predict returns the work of an attempt in seconds.
func (w *work) predict(kind callKind, r *routeWork, tokens float64) float64 {
	switch {
	case kind == streamCall:
		base, each := w.reads.fit()
		return base + each*tokens
	case r.calls > 0:
		return max(r.seconds/r.calls, baseLeast)
	case w.all.calls > 0:
		return max(w.all.seconds/w.all.calls, baseLeast)
	}
	return workUnit.Seconds()
}

// learn enters how long an attempt took, until its end or its first event.
func (w *work) learn(now time.Duration, a *Attempt, took float64) {
	if a.kind == streamCall {
		w.reads.add(now, a.tokens, took)
		return
	}
	a.route.add(now, took)
	w.all.add(now, took)
}

// line is a fit of time against tokens by least squares over counts that fade.
type line struct {
	n, x, y, xx, xy float64
	at              time.Duration
}

func (l *line) add(now time.Duration, x, y float64) {
	f := fading(now-l.at, workHalfLife)
	l.n, l.x, l.y, l.xx, l.xy = l.n*f+1, l.x*f+x, l.y*f+y, l.xx*f+x*x, l.xy*f+x*y
	l.at = now
}

// fit returns the time without any token and the time of each, drawn towards what is assumed while little is known.
func (l *line) fit() (base, each float64) {
	if l.n <= 0 {
		return basePrior, readPrior
	}
	const weight = readPriorCalls * readPriorSize * readPriorSize
	spread := max(0, l.xx-l.x*l.x/l.n)
	each = (max(0, l.xy-l.x*l.y/l.n) + weight*readPrior) / (spread + weight)
	each = min(each, readMost, l.y/max(l.x, 1))
	return max(baseLeast, (l.y-each*l.x)/l.n), each
}

// pace is the time of a token generated, over tokens that fade.
type pace struct {
	seconds, tokens float64
	at              time.Duration
}

func (p *pace) add(now time.Duration, seconds, tokens float64) {
	f := fading(now-p.at, workHalfLife)
	p.seconds, p.tokens, p.at = p.seconds*f+seconds, p.tokens*f+tokens, now
}

// perToken is the time of a token, drawn towards what is usual elsewhere.
func (p *pace) perToken(usual float64) float64 {
	return (p.seconds + paceWeight*usual) / (p.tokens + paceWeight)
}
