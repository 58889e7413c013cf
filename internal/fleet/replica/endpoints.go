package replica

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/route/table"
)

// drainStates says which data centres and instances are drained.
type drainStates interface {
	DataCentreDrained(dc ident.DataCentre) bool
	InstanceDrained(i ident.Instance) bool
}

// Endpoints returns an endpoint for each replica that serves and is not
// draining, unless a member or the data centre is drained. Replicas of
// deployments without a record are left out, since no organisation may use
// them.
func Endpoints(dc ident.DataCentre, states []State, view *record.View, drained drainStates) []table.Endpoint {
	if view == nil || drained.DataCentreDrained(dc) {
		return nil
	}
	var endpoints []table.Endpoint
	for i := range states {
		s := &states[i]
		d := view.Deployment(s.Deployment)
		if d == nil || !s.Serving || s.Draining || anyDrained(s.Members, drained) {
			continue
		}
		endpoints = append(endpoints, newEndpoint(dc, s, d))
	}
	return endpoints
}

// RemovalPlanned reports whether the removal of an endpoint was planned: the
// replica is draining, or a member or the data centre is drained.
func RemovalPlanned(e *table.Endpoint, states []State, drained drainStates) bool {
	if drained.DataCentreDrained(e.DataCentre) {
		return true
	}
	for i := range states {
		s := &states[i]
		if s.Replica == e.Replica && s.Epoch == e.Epoch {
			return s.Draining || anyDrained(s.Members, drained)
		}
	}
	return false
}

func newEndpoint(dc ident.DataCentre, s *State, d *record.Deployment) table.Endpoint {
	e := table.Endpoint{
		ID: ident.Endpoint(s.Replica), Protocol: table.Engine, DataCentre: dc, Address: s.Address,
		Replica: s.Replica, Epoch: s.Epoch, Version: s.Version, Deployment: s.Deployment,
		Models: []ident.Model{s.Model}, Organisations: d.Organisations,
		Cold: s.Cold, Limit: d.Limit, ColdLimit: d.ColdLimit,
		ReportedCounts: table.RequestCounts{Running: s.Running, Waiting: s.Waiting},
	}
	for _, a := range s.Adapters {
		e.Models = append(e.Models, ident.Model(a))
	}
	return e
}

func anyDrained(members []ident.Instance, drained drainStates) bool {
	for _, m := range members {
		if drained.InstanceDrained(m) {
			return true
		}
	}
	return false
}
