package balancer

// creditOverridesRoute is the credit from which on a roll-out's target also gets requests of a route that it has got more of than of
// another. It is below maxTargetCredit, so that no part of the target's share is lost for it.
const creditOverridesRoute = 1.75

// targetRoutes counts the attempts that a roll-out's target has got from this proxy, by route, also those that it has got none of. A
// version that is bad on one route alone shows it by that route's answers: the target gets about as many requests of each route,
// however few of the service's requests are of it.
type targetRoutes map[string]int

// observe records that a request of the route has come.
func (t targetRoutes) observe(route string) { t[route] += 0 }

// isAhead reports whether the target has got more requests of a route than of another one.
func (t targetRoutes) isAhead(route string) bool {
	own := t[route]
	for _, sent := range t {
		if sent < own {
			return true
		}
	}
	return false
}
