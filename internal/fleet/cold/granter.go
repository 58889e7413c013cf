package cold

import (
	"sort"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Granter is the owner's side. It holds the quotas that daemons have delegated
// to this daemon and the grants based on them. It is not safe for concurrent
// use.
type Granter struct {
	options   Options
	endpoints map[ident.Endpoint]*endpointQuota
}

// endpointQuota is the owner's state of an endpoint.
type endpointQuota struct {
	delegations map[ident.Instance]*delegation
}

// delegation is the owner's state of a daemon: what the daemon has delegated and
// reported, and what it was granted.
type delegation struct {
	incarnation uint64
	sequence    unit.Sequence
	limit       unit.Requests
	daemonCount int64
	// The daemon sent its last grant request at earliestSent or later. The
	// request arrived at receivedAt.
	earliestSent time.Time
	receivedAt   time.Time
	// The daemon delegates its quota without interruption from delegatedSince
	// to delegatedUntil.
	delegatedSince time.Time
	delegatedUntil time.Time
	// reserved is the number of requests that the daemon may have in flight now
	// or start with its grant.
	reserved unit.Requests
	demand   unit.Requests
	// turnStart is the time at which the daemon's present turn began, zero if it
	// has none. lastTurnEnd is the time at which its last turn ended.
	turnStart   time.Time
	lastTurnEnd time.Time
}

// NewGranter returns a Granter without delegations.
func NewGranter(o Options) *Granter {
	return &Granter{options: o, endpoints: make(map[ident.Endpoint]*endpointQuota)}
}

// Grant applies a grant request and returns the grant. A request that is older
// than the daemon's last one, or has no valid token, gets only a token.
func (g *Granter) Grant(from ident.Instance, r GrantRequest, now time.Time) Grant {
	o := g.options
	grant := Grant{Endpoint: r.Endpoint, Sequence: r.Sequence, Token: ClockToken{Incarnation: o.Incarnation, Elapsed: now.Sub(o.Start)}}
	earliestSent := o.Start.Add(r.Token.Elapsed)
	delegatedUntil := earliestSent.Add(shortenForClockError(o.TTL))
	if r.Token.Incarnation != o.Incarnation || earliestSent.After(now) || !now.Before(delegatedUntil) {
		return grant
	}
	q := g.endpoints[r.Endpoint]
	if q == nil {
		q = &endpointQuota{delegations: make(map[ident.Instance]*delegation)}
		g.endpoints[r.Endpoint] = q
	}
	requester := q.delegations[from]
	if requester == nil {
		requester = new(delegation)
		q.delegations[from] = requester
	}
	if requester.incarnation == r.Incarnation && r.Sequence <= requester.sequence || earliestSent.Before(requester.earliestSent) {
		return grant
	}
	requester.incarnation, requester.sequence, requester.earliestSent, requester.receivedAt = r.Incarnation, r.Sequence, earliestSent, now
	requester.limit, requester.daemonCount, requester.demand, requester.reserved = r.Limit, r.Daemons, r.Demand, r.Outstanding
	if r.Delegates {
		if !now.Before(requester.delegatedUntil) {
			requester.delegatedSince = now
		}
		requester.delegatedUntil = delegatedUntil
	}
	g.pruneDaemons(q, now)
	total, until := g.usableQuota(q, now)
	grant.Requests = q.grantTurn(from, total, now, o.TTL)
	if grant.Requests > 0 {
		grant.Duration = until.Sub(now)
		requester.reserved = max(requester.reserved, grant.Requests)
	}
	return grant
}

// pruneDaemons removes the daemons that have been silent for longer than any
// request lasts.
func (g *Granter) pruneDaemons(q *endpointQuota, now time.Time) {
	for id, d := range q.delegations {
		if now.Sub(d.receivedAt) > g.options.MaxHold {
			delete(q.delegations, id)
		}
	}
}

// Prune removes the endpoints for which no daemon has requested a grant within
// the hold time.
func (g *Granter) Prune(now time.Time) {
	for id, q := range g.endpoints {
		g.pruneDaemons(q, now)
		if len(q.delegations) == 0 {
			delete(g.endpoints, id)
		}
	}
}

// usableQuota returns the number of requests that the delegations together
// allow, and the time at which the first of these delegations expires.
//
// Requests granted by a former owner may still be in flight after their
// delegations have moved to this owner. So a delegation counts only if every
// daemon has reported its outstanding requests since the delegation began, or
// if the hold time has passed since then.
func (g *Granter) usableQuota(q *endpointQuota, now time.Time) (unit.Requests, time.Time) {
	const minRemainingDivisor = 8
	var limit unit.Requests
	var daemons int64
	for _, d := range q.delegations {
		if !now.Before(d.delegatedUntil) {
			continue
		}
		if daemons == 0 || d.limit < limit {
			limit = d.limit
		}
		daemons = max(daemons, d.daemonCount)
	}
	if daemons == 0 {
		return 0, now
	}
	allReportedAt := q.allReportedSince(daemons)
	var usable int64
	var until time.Time
	for _, d := range q.delegations {
		// Grants end with the delegation that ends first, so delegations
		// that are about to end don't count.
		if d.delegatedUntil.Sub(now) < g.options.TTL/minRemainingDivisor {
			continue
		}
		if d.delegatedSince.After(allReportedAt) && now.Sub(d.delegatedSince) <= extendForClockError(g.options.MaxHold) {
			continue
		}
		usable++
		if until.IsZero() || d.delegatedUntil.Before(until) {
			until = d.delegatedUntil
		}
	}
	return unit.Requests(min(usable, daemons) * int64(limit) / daemons), until
}

// allReportedSince returns the latest time since which at least the given
// number of daemons have reported their outstanding requests, zero if fewer
// daemons have reported.
func (q *endpointQuota) allReportedSince(daemons int64) time.Time {
	times := make([]time.Time, 0, len(q.delegations))
	for _, d := range q.delegations {
		times = append(times, d.earliestSent)
	}
	if int64(len(times)) < daemons {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[daemons-1]
}

// grantTurn returns how many requests of the total the daemon is granted.
// Daemons take turns: a daemon whose turn has lasted turnLength gets no grant
// while others wait.
func (q *endpointQuota) grantTurn(from ident.Instance, total unit.Requests, now time.Time, turnLength time.Duration) unit.Requests {
	requester := q.delegations[from]
	free := total
	var waiting, ahead, active unit.Requests
	for id, other := range q.delegations {
		if id == from {
			continue
		}
		free -= other.reserved
		if other.demand == 0 || now.Sub(other.receivedAt) > turnLength {
			continue
		}
		active++
		if other.reserved > 0 {
			continue
		}
		waiting++
		if other.lastTurnEnd.Before(requester.lastTurnEnd) || other.lastTurnEnd.Equal(requester.lastTurnEnd) && id < from {
			ahead++
		}
	}
	if requester.turnStart.IsZero() {
		free -= ahead
	}
	// A daemon gets at most its share among the daemons with demand, the whole
	// total if it is the only one.
	granted := min(requester.demand, free, max(1, (total+active)/(active+1)))
	turnOver := !requester.turnStart.IsZero() && waiting > 0 && now.Sub(requester.turnStart) >= turnLength
	if granted <= 0 || turnOver {
		if !requester.turnStart.IsZero() {
			requester.turnStart, requester.lastTurnEnd = time.Time{}, now
		}
		return 0
	}
	if requester.turnStart.IsZero() {
		requester.turnStart = now
	}
	return granted
}
