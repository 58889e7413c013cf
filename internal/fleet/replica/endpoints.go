package replica

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/route/table"
)

// drainStates says what is out of service.
type drainStates interface {
	DataCentreDrained(dc ident.DataCentre) bool
	InstanceDrained(i ident.Instance) bool
}

// Endpoints returns one endpoint for each replica that serves, is not leaving,
// and has no member or data centre out of service. Deployments that the view
// does not have give none, since nobody may use them.
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

// RemovalPlanned reports whether a replica that is no longer offered was taken out as
// planned: it is leaving, or a member or the data centre is out of service.
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
		Reported: table.Counts{Running: s.Running, Waiting: s.Waiting},
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
