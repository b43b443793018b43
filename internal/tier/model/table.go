package model

import (
	"slices"
	"strings"
)

// Table looks up the routes and services of a configuration. It is immutable and safe for concurrent use.
type Table struct {
	configuration *Configuration
	hosts         map[string]*hostRoutes // by canonical host
	services      map[string]*Service
}

// hostRoutes holds the routes of one host by path prefix. A path is looked up once for each length of a prefix, the longest first.
type hostRoutes struct {
	lengths  []int // distinct lengths of the prefixes, in descending order
	prefixes map[string]*Route
}

// NewTable builds the table of a configuration, which must not be changed afterwards. If two routes have the same host and prefix, or two
// services the same name, the first one is used.
func NewTable(c *Configuration) *Table {
	table := &Table{
		configuration: c,
		hosts:         make(map[string]*hostRoutes),
		services:      make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		table.addService(&c.Services[i])
	}
	for i := range c.Routes {
		table.addRoute(&c.Routes[i])
	}
	for _, routes := range table.hosts {
		routes.sortLengths()
	}
	return table
}

func (t *Table) addService(service *Service) {
	if _, ok := t.services[service.Name]; !ok {
		t.services[service.Name] = service
	}
}

func (t *Table) addRoute(route *Route) {
	host := canonicalHost(route.Host)
	routes, ok := t.hosts[host]
	if !ok {
		routes = &hostRoutes{prefixes: make(map[string]*Route)}
		t.hosts[host] = routes
	}
	if _, ok := routes.prefixes[route.PathPrefix]; !ok {
		routes.prefixes[route.PathPrefix] = route
		routes.lengths = append(routes.lengths, len(route.PathPrefix))
	}
}

func (r *hostRoutes) sortLengths() {
	slices.Sort(r.lengths)
	r.lengths = slices.Clip(slices.Compact(r.lengths))
	slices.Reverse(r.lengths)
}

// Configuration returns the configuration that the table was built from.
func (t *Table) Configuration() *Configuration {
	return t.configuration
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Match returns the route of a request: the one with the longest matching path prefix among the routes of its host. The host may have a
// port, and its case is ignored. The path is the escaped path, as received.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.routesOf(withoutPort(host))
	if routes == nil {
		return nil, false
	}
	return routes.longest(path)
}

func (r *hostRoutes) longest(path string) (*Route, bool) {
	for _, length := range r.lengths {
		if length > len(path) {
			continue
		}
		if route, ok := r.prefixes[path[:length]]; ok {
			return route, true
		}
	}
	return nil, false
}

// maxStackHostBytes is the length up to which a host name with capital letters is looked up without an allocation: the limit of DNS.
const maxStackHostBytes = 255

func (t *Table) routesOf(host string) *hostRoutes {
	if routes, ok := t.hosts[host]; ok || !hasCapital(host) {
		return routes
	}
	var buffer [maxStackHostBytes]byte
	lower := appendLower(buffer[:0], host)
	return t.hosts[string(lower)]
}

// canonicalHost returns a host in the form that is compared: in lower case and without its port.
func canonicalHost(host string) string {
	host = withoutPort(host)
	if !hasCapital(host) {
		return host
	}
	return string(appendLower(nil, host))
}

// withoutPort removes the port of a host. A colon inside the brackets of an IPv6 address doesn't start a port.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

func hasCapital(text string) bool {
	for i := 0; i < len(text); i++ {
		if isCapital(text[i]) {
			return true
		}
	}
	return false
}

func appendLower(to []byte, text string) []byte {
	const lowerBit = 'a' - 'A'
	for i := 0; i < len(text); i++ {
		letter := text[i]
		if isCapital(letter) {
			letter += lowerBit
		}
		to = append(to, letter)
	}
	return to
}

func isCapital(letter byte) bool {
	return 'A' <= letter && letter <= 'Z'
}
