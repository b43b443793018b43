package proxy

import (
	"slices"

	"mastusher/internal/tier/model"
)

// Routes is a configuration prepared for matching. It is immutable.
type Routes struct {
	ConfigurationVersion uint64
	Limits               model.Limits
	HasStatefulRoutes    bool // the program stores keep the turns of some route
	table                *model.Table
}

// NewRoutes prepares a configuration for matching. The caller must not change the configuration afterwards.
func NewRoutes(configuration *model.Configuration) *Routes {
	stateful := func(route model.Route) bool { return route.Stateful }
	return &Routes{
		ConfigurationVersion: configuration.Version,
		Limits:               configuration.Limits,
		HasStatefulRoutes:    slices.ContainsFunc(configuration.Routes, stateful),
		table:                model.NewTable(configuration),
	}
}

// Match returns the route of a request, or nil. The path must be as received, without unescaping.
func (r *Routes) Match(host, path string) *model.Route {
	route, _ := r.table.Match(host, path)
	return route
}

// selectService returns the service for a request, or nil. Requests with the same key get the same service.
func (r *Routes) selectService(route *model.Route, key uint64) *model.Service {
	return r.table.Service(route.PickService(key))
}
