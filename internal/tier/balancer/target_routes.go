package balancer

// creditOverridesRoute is the credit from which on the target also gets requests of a route that is ahead of another one (see isAhead).
// It is below maxTargetCredit, so that the target still gets its full share.
const creditOverridesRoute = 1.75

// targetRoutes counts the attempts that this proxy has sent to the target of a rollout, by route; a route without any counts 0. By these
// counts the target gets about as many requests of a rare route as of a frequent one, so that a version that fails on one route
// only is detected.
type targetRoutes map[string]int

// observe adds the route of a request, with a count of 0 if it is new.
func (t targetRoutes) observe(route string) { t[route] += 0 }

// isAhead reports whether the target has got more attempts of this route than of some other route.
func (t targetRoutes) isAhead(route string) bool {
	own := t[route]
	for _, sent := range t {
		if sent < own {
			return true
		}
	}
	return false
}
