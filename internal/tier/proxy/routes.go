package proxy

import (
	"slices"

	"mastusher/internal/tier/model"
)

// Routes is a configuration made ready for matching. It doesn't change.
type Routes struct {
	Number            uint64
	Limits            model.Limits
	HasStatefulRoutes bool // some route has turns that the stores keep
	table             *model.Table
}

// NewRoutes makes a configuration, which must not be changed afterwards, ready for matching.
func NewRoutes(configuration *model.Configuration) *Routes {
	stateful := func(route model.Route) bool { return route.Stateful }
	return &Routes{
		Number:            configuration.Version,
		Limits:            configuration.Limits,
		HasStatefulRoutes: slices.ContainsFunc(configuration.Routes, stateful),
		table:             model.NewTable(configuration),
	}
}

// Match returns the route of a request, or nil. The path is the one that came, with nothing unescaped.
func (r *Routes) Match(host, path string) *model.Route {
	route, _ := r.table.Match(host, path)
	return route
}

// selectService returns the service that takes a request, or nil: always the same for a key.
func (r *Routes) selectService(route *model.Route, key uint64) *model.Service {
	return r.table.Service(route.PickService(key))
}
