package model

import (
	"fmt"
	"math"
	"strings"

	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// Validate finds what makes a configuration invalid by itself, and returns all faults together; see validation.Faults.
// Whether its number is higher than the current one is not judged here.
func Validate(c *Configuration) error {
	var check validator
	check.services(c.Services)
	check.topLevel(c)
	check.routes(c.Routes)
	return check.errs
}

// validator gathers the faults of one configuration.
type validator struct {
	knownServices map[string]bool // names of services
	errs          error
}

func (v *validator) fail(place, format string, args ...any) {
	multierr.AppendInto(&v.errs, &validation.FieldError{Field: place, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) topLevel(c *Configuration) {
	if c.Version == 0 {
		v.fail("number", "is 0")
	}
	if c.Routes == nil {
		v.fail("routes", "are missing")
	}
	if c.Services == nil {
		v.fail("services", "are missing")
	}
}

func (v *validator) services(services []Service) {
	v.knownServices = make(map[string]bool, len(services))
	for i := range services {
		place := fmt.Sprintf("services[%d].name", i)
		name := services[i].Name
		switch {
		case name == "":
			v.fail(place, "is missing")
		case v.knownServices[name]:
			v.fail(place, "%q stands there twice", name)
		}
		v.knownServices[name] = true
	}
}

// target is what a request is matched by.
type target struct {
	host, prefix string
}

func (v *validator) routes(routes []Route) {
	seen := make(map[target]int, len(routes))
	for i := range routes {
		route := &routes[i]
		place := fmt.Sprintf("routes[%d]", i)
		v.route(place, route)
		matched := target{host: canonicalHost(route.Host), prefix: route.PathPrefix}
		if first, ok := seen[matched]; ok {
			v.fail(place, "has the same host and prefix as routes[%d]", first)
			continue
		}
		seen[matched] = i
	}
}

func (v *validator) route(place string, route *Route) {
	if route.Host == "" {
		v.fail(place+".host", "is missing")
	}
	if !isPrefix(route.PathPrefix) {
		v.fail(place+".startsWith", "%q doesn't begin and end with a slash", route.PathPrefix)
	}
	if !route.Kind.isKnown() {
		v.fail(place+".kind", "%q is no kind of route", route.Kind)
	}
	if route.TimeoutMs <= 0 {
		v.fail(place+".giveUpMs", "%d is not above 0", route.TimeoutMs)
	}
	if len(route.WeightedServices) == 0 || route.Service != "" {
		v.reference(place+".service", route.Service)
	}
	if len(route.WeightedServices) > 0 {
		v.shares(place+".shares", route.WeightedServices)
	}
}

func (v *validator) reference(place, service string) {
	if service == "" {
		v.fail(place, "names no service")
		return
	}
	if !v.knownServices[service] {
		v.fail(place, "%q is not known", service)
	}
}

func (v *validator) shares(place string, shares []WeightedService) {
	for i := range shares {
		inner := fmt.Sprintf("%s[%d]", place, i)
		v.reference(inner+".service", shares[i].Service)
		if shares[i].Weight < 0 {
			v.fail(inner+".share", "%v is negative", shares[i].Weight)
		}
	}
	if total := totalShare(shares); !isUsableTotal(total) {
		v.fail(place, "add up to %v", total)
	}
}

func isPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

func (k RouteKind) isKnown() bool {
	return k == Retryable || k == AtMostOnce || k == Streaming
}

func totalShare(shares []WeightedService) float64 {
	total := 0.0
	for i := range shares {
		total += shares[i].Weight
	}
	return total
}

// isUsableTotal tells whether shares that add up to this can be picked by.
func isUsableTotal(total float64) bool {
	return total > 0 && !math.IsInf(total, 1)
}
