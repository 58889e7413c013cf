package cold

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Delegator is the delegating side: to whom this daemon has delegated its share of
// each endpoint, and what it was granted. It is not safe for concurrent use.
type Delegator struct {
	options   Options
	endpoints map[ident.Endpoint]*delegatedQuota
}

type delegatedQuota struct {
	sequence unit.Sequence
	// owner and sent belong to the last ask; token is that owner's.
	owner       ident.Instance
	requestedAt time.Time
	token       ClockToken
	// holder may rely on this daemon's quota until lapses.
	holder         ident.Instance
	delegatedUntil time.Time
	granted        unit.Requests
	grantedUntil   time.Time
	lastUsed       time.Time
}

// NewDelegator returns a Quota that has delegated nothing.
func NewDelegator(o Options) *Delegator {
	return &Delegator{options: o, endpoints: make(map[ident.Endpoint]*delegatedQuota)}
}

// EndpointDemand is what a daemon wants of an endpoint now.
type EndpointDemand struct {
	Endpoint ident.Endpoint
	Owner    ident.Instance
	Limit    unit.Requests
	Daemons  int64
	Requests unit.Requests
	InFlight unit.Requests
}

// NewRequest returns the message to the owner. A quota is delegated to an owner only
// when the delegation to the one before has run out, and not within one
// delegation's time of the start, since the process before may have delegated.
func (q *Delegator) NewRequest(n EndpointDemand, now time.Time) GrantRequest {
	s := q.endpoints[n.Endpoint]
	if s == nil {
		s = new(delegatedQuota)
		q.endpoints[n.Endpoint] = s
	}
	if s.owner != n.Owner {
		s.owner, s.token = n.Owner, ClockToken{}
	}
	s.sequence++
	s.requestedAt, s.lastUsed = now, now
	a := GrantRequest{
		Endpoint: n.Endpoint, Limit: n.Limit, Daemons: n.Daemons,
		Incarnation: q.options.Incarnation, Sequence: s.sequence, Token: s.token, Demand: n.Requests, Outstanding: n.InFlight,
	}
	if now.Before(s.grantedUntil) {
		a.Outstanding = max(a.Outstanding, s.granted)
	}
	ttl := extendForClockError(q.options.TTL)
	mayDelegate := s.holder == n.Owner || !now.Before(s.delegatedUntil)
	if mayDelegate && s.token.Incarnation != 0 && !now.Before(q.options.Start.Add(ttl)) {
		a.Delegates = true
		s.holder, s.delegatedUntil = n.Owner, now.Add(ttl)
	}
	return a
}

// AcceptGrant takes the owner's answer and returns the grant in force. The answer
// to any ask but the last is dropped: the last one told its owner what this
// daemon holds, and a later grant of another owner would not be in that count.
func (q *Delegator) AcceptGrant(from ident.Instance, g Grant) (unit.Requests, time.Time, bool) {
	s := q.endpoints[g.Endpoint]
	if s == nil || s.owner != from || s.sequence != g.Sequence {
		return 0, time.Time{}, false
	}
	s.token = g.Token
	s.granted, s.grantedUntil = g.Requests, s.requestedAt.Add(shortenForClockError(g.Duration))
	return s.granted, s.grantedUntil, true
}

// Prune drops endpoints that have not been asked for in the time given, which
// must exceed the time of a delegation.
func (q *Delegator) Prune(now time.Time, maxUnused time.Duration) {
	for id, s := range q.endpoints {
		if now.Sub(s.lastUsed) > max(maxUnused, extendForClockError(q.options.TTL)) {
			delete(q.endpoints, id)
		}
	}
}
