package cold

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Delegator is the delegating side. It records to which owner this daemon has
// delegated its quota of each endpoint, and what it was granted. It is not safe
// for concurrent use.
type Delegator struct {
	options   Options
	endpoints map[ident.Endpoint]*delegatedQuota
}

// delegatedQuota is the state of an endpoint's quota.
type delegatedQuota struct {
	sequence unit.Sequence
	// owner is the daemon to which the last grant request was sent, at
	// requestedAt. The token is from this owner.
	owner       ident.Instance
	requestedAt time.Time
	token       ClockToken
	// holder is the owner that may rely on this daemon's quota until
	// delegatedUntil.
	holder         ident.Instance
	delegatedUntil time.Time
	granted        unit.Requests
	grantedUntil   time.Time
	lastUsed       time.Time
}

// NewDelegator returns a Delegator that has delegated nothing.
func NewDelegator(o Options) *Delegator {
	return &Delegator{options: o, endpoints: make(map[ident.Endpoint]*delegatedQuota)}
}

// EndpointDemand is a daemon's demand for requests to an endpoint.
type EndpointDemand struct {
	Endpoint ident.Endpoint
	Owner    ident.Instance
	// Limit and Daemons determine the quota: Limit / Daemons requests.
	Limit   unit.Requests
	Daemons int64
	// Requests is the number of requests that are in flight to the endpoint or
	// wait for it. InFlight is the number of requests in flight alone.
	Requests unit.Requests
	InFlight unit.Requests
}

// NewRequest returns the grant request for the owner. The quota is delegated to
// an owner only after the delegation to the former owner has expired. It is also
// not delegated within the lifetime of a delegation after the start, since the
// previous incarnation may have delegated it.
func (d *Delegator) NewRequest(demand EndpointDemand, now time.Time) GrantRequest {
	quota := d.endpoints[demand.Endpoint]
	if quota == nil {
		quota = new(delegatedQuota)
		d.endpoints[demand.Endpoint] = quota
	}
	if quota.owner != demand.Owner {
		quota.owner, quota.token = demand.Owner, ClockToken{}
	}
	quota.sequence++
	quota.requestedAt, quota.lastUsed = now, now
	request := GrantRequest{
		Endpoint: demand.Endpoint, Limit: demand.Limit, Daemons: demand.Daemons,
		Incarnation: d.options.Incarnation, Sequence: quota.sequence, Token: quota.token, Demand: demand.Requests, Outstanding: demand.InFlight,
	}
	if now.Before(quota.grantedUntil) {
		request.Outstanding = max(request.Outstanding, quota.granted)
	}
	ttl := extendForClockError(d.options.TTL)
	mayDelegate := quota.holder == demand.Owner || !now.Before(quota.delegatedUntil)
	if mayDelegate && quota.token.Incarnation != 0 && !now.Before(d.options.Start.Add(ttl)) {
		request.Delegates = true
		quota.holder, quota.delegatedUntil = demand.Owner, now.Add(ttl)
	}
	return request
}

// AcceptGrant applies an owner's answer. It returns the number of granted
// requests, the end of the grant, and whether the answer was accepted. Only the
// answer to the last grant request is accepted. That request reported the number
// of outstanding requests to its owner, and the number does not include a grant
// that an answer to an earlier request would add.
func (d *Delegator) AcceptGrant(from ident.Instance, g Grant) (unit.Requests, time.Time, bool) {
	quota := d.endpoints[g.Endpoint]
	if quota == nil || quota.owner != from || quota.sequence != g.Sequence {
		return 0, time.Time{}, false
	}
	quota.token = g.Token
	quota.granted, quota.grantedUntil = g.Requests, quota.requestedAt.Add(shortenForClockError(g.Duration))
	return quota.granted, quota.grantedUntil, true
}

// Prune removes the endpoints for which no grant was requested for maxUnused,
// or for the lifetime of a delegation if that is longer.
func (d *Delegator) Prune(now time.Time, maxUnused time.Duration) {
	for id, quota := range d.endpoints {
		if now.Sub(quota.lastUsed) > max(maxUnused, extendForClockError(d.options.TTL)) {
			delete(d.endpoints, id)
		}
	}
}
