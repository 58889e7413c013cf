// Package service offers the instances of plain services as endpoints.
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

// Settings are the settings of the checks of plain services.
type Settings struct {
	// Interval is the time between two health checks of an instance.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Timeout bounds a health check.
	Timeout settings.Duration `json:"timeout" validate:"duration"`
	// Failures in a row take an instance out.
	Failures int `json:"failures" validate:"min=1,max=100"`
}

// instanceLister has the platform's list of instances.
type instanceLister interface {
	Instances() []roster.Instance
}

// recordSource has the active records.
type recordSource interface {
	View() *record.View
}

// drainStates knows what is out of service.
type drainStates interface {
	DataCentreDrained(ident.DataCentre) bool
	InstanceDrained(ident.Instance) bool
}

// healthChecker checks an instance over a new connection.
type healthChecker interface {
	Protocol() table.Protocol
	CheckHealth(ctx context.Context, address string) error
}

// Instances are the plain services' instances that are listed, healthy and not
// out of service.
type Instances struct {
	Options
	failures map[ident.Instance]int
	current  atomic.Pointer[[]table.Endpoint]
}

// Options are the parts of Instances.
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

// New returns Instances that offer nothing before the first Refresh.
func New(o Options) *Instances {
	n := &Instances{Options: o, failures: make(map[ident.Instance]int)}
	n.current.Store(&[]table.Endpoint{})
	return n
}

// Endpoints returns the endpoints in service. An instance of another data
// centre is offered while the own data centre has none of its service. Drains
// count at once, not at the next check.
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
	return append(local, ofUnservedServices(local, remote)...)
}

// ofUnservedServices returns the endpoints of services that have none in own.
func ofUnservedServices(local, remote []table.Endpoint) []table.Endpoint {
	servedLocally := make(map[ident.Service]bool)
	for _, e := range local {
		servedLocally[e.Service] = true
	}
	var rest []table.Endpoint
	for _, e := range remote {
		if !servedLocally[e.Service] {
			rest = append(rest, e)
		}
	}
	return rest
}

// Refresh reads the list and checks each instance, all at once, so that one
// that hangs delays no other.
func (n *Instances) Refresh(ctx context.Context) {
	live := n.liveEndpoints()
	answered := n.checkHealth(ctx, live)
	failures := make(map[ident.Instance]int)
	var healthy []table.Endpoint
	for i, e := range live {
		id := ident.Instance(e.ID)
		if !answered[i] {
			failures[id] = n.failures[id] + 1
		}
		if failures[id] < n.Settings.Failures {
			healthy = append(healthy, e)
		}
	}
	n.failures = failures
	n.current.Store(&healthy)
}

// liveEndpoints returns the live instances of the services on record.
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

// checkHealth says for each endpoint whether it answered.
func (n *Instances) checkHealth(ctx context.Context, endpoints []table.Endpoint) []bool {
	ctx, cancel := context.WithTimeout(ctx, n.Settings.Timeout.Duration)
	defer cancel()
	answered := make([]bool, len(endpoints))
	group := n.Pool.NewGroup()
	for i, e := range endpoints {
		group.Submit(func() { answered[i] = n.Checker.CheckHealth(ctx, e.Address) == nil })
	}
	// A stopped pool leaves the rest unchecked, at the end of the process.
	_ = group.Wait()
	return answered
}

// serviceRecord returns the record of the instance's service.
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
