package model

import (
	"fmt"
	"math"
	"strings"

	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// Validate checks a configuration and returns all errors together; see validation.FieldErrors. It does not compare the version with the
// current one.
func Validate(c *Configuration) error {
	var v validator
	v.services(c.Services)
	v.topLevel(c)
	v.routes(c.Routes)
	return v.errs
}

// validator collects the errors of a configuration.
type validator struct {
	knownServices map[string]bool // by name
	errs          error
}

// fail records an error for a field.
func (v *validator) fail(field, format string, args ...any) {
	multierr.AppendInto(&v.errs, &validation.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
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
		field := fmt.Sprintf("services[%d].name", i)
		name := services[i].Name
		switch {
		case name == "":
			v.fail(field, "is missing")
		case v.knownServices[name]:
			v.fail(field, "%q stands there twice", name)
		}
		v.knownServices[name] = true
	}
}

// matchKey identifies the requests that a route matches.
type matchKey struct {
	host, prefix string
}

func (v *validator) routes(routes []Route) {
	seen := make(map[matchKey]int, len(routes))
	for i := range routes {
		route := &routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		v.route(field, route)
		matched := matchKey{host: canonicalHost(route.Host), prefix: route.PathPrefix}
		if first, ok := seen[matched]; ok {
			v.fail(field, "has the same host and prefix as routes[%d]", first)
			continue
		}
		seen[matched] = i
	}
}

func (v *validator) route(field string, route *Route) {
	if route.Host == "" {
		v.fail(field+".host", "is missing")
	}
	if !isPrefix(route.PathPrefix) {
		v.fail(field+".startsWith", "%q doesn't begin and end with a slash", route.PathPrefix)
	}
	if !route.Kind.isKnown() {
		v.fail(field+".kind", "%q is no kind of route", route.Kind)
	}
	if route.TimeoutMs <= 0 {
		v.fail(field+".giveUpMs", "%d is not above 0", route.TimeoutMs)
	}
	if len(route.WeightedServices) == 0 || route.Service != "" {
		v.reference(field+".service", route.Service)
	}
	if len(route.WeightedServices) > 0 {
		v.shares(field+".shares", route.WeightedServices)
	}
}

func (v *validator) reference(field, service string) {
	if service == "" {
		v.fail(field, "names no service")
		return
	}
	if !v.knownServices[service] {
		v.fail(field, "%q is not known", service)
	}
}

func (v *validator) shares(field string, shares []WeightedService) {
	for i := range shares {
		inner := fmt.Sprintf("%s[%d]", field, i)
		v.reference(inner+".service", shares[i].Service)
		if shares[i].Weight < 0 {
			v.fail(inner+".share", "%v is negative", shares[i].Weight)
		}
	}
	if total := sumOfWeights(shares); !isUsableSum(total) {
		v.fail(field, "add up to %v", total)
	}
}

func isPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

func (k RouteKind) isKnown() bool {
	return k == Retryable || k == AtMostOnce || k == Streaming
}

func sumOfWeights(shares []WeightedService) float64 {
	total := 0.0
	for i := range shares {
		total += shares[i].Weight
	}
	return total
}

// isUsableSum reports whether a service can be picked by weights with this sum.
func isUsableSum(total float64) bool {
	return total > 0 && !math.IsInf(total, 1)
}
