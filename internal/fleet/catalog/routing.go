package catalog

import (
	"cmp"
	"slices"
	"strings"

	"cuminbay/internal/domain/cluster"
)

// routing indexes the routes and keys of one configuration.
type routing struct {
	// routesByHost has the routes of a host, longest prefix first.
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
	for _, list := range r.routesByHost {
		slices.SortStableFunc(list, func(a, b *cluster.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Organisations {
		o := &config.Organisations[i]
		for _, key := range o.Keys {
			r.organisationsByKey[key] = o
		}
	}
	return r
}

// Route returns the route of the host with the longest prefix that begins the
// path, or nil. The host may carry a port.
func (r *routing) Route(host, path string) *cluster.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the organisation that holds the key, or nil.
func (r *routing) Organisation(key string) *cluster.Organisation {
	return r.organisationsByKey[key]
}
