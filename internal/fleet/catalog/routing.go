package catalog

import (
	"cmp"
	"slices"
	"strings"

	"cuminbay/internal/domain/cluster"
)

// routing indexes the routes and the organisations' keys of one configuration.
type routing struct {
	// routesByHost maps a host in lower case to its routes, longest prefix first.
	routesByHost       map[string][]*cluster.Route
	organisationsByKey map[string]*cluster.Organisation
}

func newRouting(config *cluster.Config) *routing {
	r := &routing{routesByHost: make(map[string][]*cluster.Route), organisationsByKey: make(map[string]*cluster.Organisation)}
	if config == nil {
		return r
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *cluster.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Organisations {
		o := &config.Organisations[i]
		for _, key := range o.Keys {
			// A request without a key has none.
			if key != "" {
				r.organisationsByKey[key] = o
			}
		}
	}
	return r
}

// Route returns the route with the longest prefix that matches the path, among
// the routes of the host, or nil. The host may include a port.
func (r *routing) Route(host, path string) *cluster.Route {
	// The colons of an IPv6 address are inside its brackets.
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the organisation that the key belongs to, or nil.
func (r *routing) Organisation(key string) *cluster.Organisation {
	return r.organisationsByKey[key]
}
