// Package service offers the healthy instances of plain services as endpoints
// to the routing table. It checks the health of the instances that the platform
// lists.
package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

func init() {
	settings.Register("instances", func() any {
		return &Settings{Interval: settings.DurationOf(time.Second), Timeout: settings.DurationOf(500 * time.Millisecond), Failures: 2}
	})
	plugin.Register(plugin.Controller, "service", newPlugin)
}

// Settings are the settings in the section "instances".
type Settings struct {
	// Interval is the time between two health checks of an instance.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Timeout bounds a health check.
	Timeout settings.Duration `json:"timeout" validate:"duration"`
	// Failures is the number of consecutive failed checks after which an
	// instance is no longer offered.
	Failures int `json:"failures" validate:"min=1,max=100"`
}

// instanceLister returns the platform's list of instances.
type instanceLister interface {
	Instances() []roster.Instance
}

// recordSource has the current records.
type recordSource interface {
	View() *record.View
}

// drainStates says which data centres and instances are drained.
type drainStates interface {
	DataCentreDrained(ident.DataCentre) bool
	InstanceDrained(ident.Instance) bool
}

// healthChecker checks the health of an instance over a new connection.
type healthChecker interface {
	Protocol() table.Protocol
	CheckHealth(ctx context.Context, address string) error
}

// Instances holds the live instances of plain services, without those that
// failed their last Settings.Failures health checks.
type Instances struct {
	Options
	// failures counts the consecutive failed checks of each instance.
	failures map[ident.Instance]int
	current  atomic.Pointer[[]table.Endpoint]
}

// Options configure Instances.
type Options struct {
	Settings   Settings
	DataCentre ident.DataCentre
	Roster     instanceLister
	Records    recordSource
	Drains     drainStates
	Checker    healthChecker
	// Pool runs the checks.
	Pool pond.Pool
}

// New returns Instances without endpoints until the first Refresh.
func New(o Options) *Instances {
	n := &Instances{Options: o, failures: make(map[ident.Instance]int)}
	n.current.Store(&[]table.Endpoint{})
	return n
}

// Endpoints returns the endpoints of the instances that are not drained.
// Instances of other data centres are offered only for services without an
// instance in this data centre. A drain takes effect at once, not at the next
// check.
func (n *Instances) Endpoints() []table.Endpoint {
	var local, remote []table.Endpoint
	for _, e := range *n.current.Load() {
		switch {
		case n.Drains.DataCentreDrained(e.DataCentre) || n.Drains.InstanceDrained(ident.Instance(e.ID)):
		case e.DataCentre == n.DataCentre:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	return append(local, endpointsNotServedLocally(local, remote)...)
}

// endpointsNotServedLocally returns the remote endpoints of services without a
// local endpoint.
func endpointsNotServedLocally(local, remote []table.Endpoint) []table.Endpoint {
	servedLocally := make(map[ident.Service]bool)
	for _, e := range local {
		servedLocally[e.Service] = true
	}
	var unserved []table.Endpoint
	for _, e := range remote {
		if !servedLocally[e.Service] {
			unserved = append(unserved, e)
		}
	}
	return unserved
}

// Refresh reads the platform's list of instances and checks all of them at the
// same time, so that an instance that hangs doesn't delay the others.
func (n *Instances) Refresh(ctx context.Context) {
	live := n.liveEndpoints()
	passed := n.checkHealth(ctx, live)
	failures := make(map[ident.Instance]int)
	var offered []table.Endpoint
	for i, e := range live {
		id := ident.Instance(e.ID)
		if !passed[i] {
			failures[id] = n.failures[id] + 1
		}
		if failures[id] < n.Settings.Failures {
			offered = append(offered, e)
		}
	}
	n.failures = failures
	n.current.Store(&offered)
}

// liveEndpoints returns the endpoints of the live instances whose service has a
// record.
func (n *Instances) liveEndpoints() []table.Endpoint {
	var live []table.Endpoint
	for _, i := range n.Roster.Instances() {
		service, found := n.serviceRecord(i)
		if !found || i.State != roster.Live {
			continue
		}
		live = append(live, table.Endpoint{
			ID: ident.Endpoint(i.ID), Protocol: table.Service, DataCentre: i.DataCentre,
			Address: i.Address, Service: i.Service, Limit: service.Limit, Organisations: service.Organisations,
		})
	}
	return live
}

// checkHealth returns for each endpoint whether it is healthy.
func (n *Instances) checkHealth(ctx context.Context, endpoints []table.Endpoint) []bool {
	ctx, cancel := context.WithTimeout(ctx, n.Settings.Timeout.Duration)
	defer cancel()
	healthy := make([]bool, len(endpoints))
	group := n.Pool.NewGroup()
	for i, e := range endpoints {
		group.Submit(func() { healthy[i] = n.Checker.CheckHealth(ctx, e.Address) == nil })
	}
	// The pool stops only at the end of the process. The endpoints that were
	// not checked then count as unhealthy.
	_ = group.Wait()
	return healthy
}

// serviceRecord returns the record of the instance's service, if there is one.
func (n *Instances) serviceRecord(i roster.Instance) (*record.Service, bool) {
	if i.Role != roster.Service {
		return nil, false
	}
	for _, s := range n.Records.View().Services() {
		if s.Name == i.Service {
			return s, true
		}
	}
	return nil, false
}
