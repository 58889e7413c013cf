package cold

import (
	"sort"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Granter is the owner's side: the quotas that daemons have delegated to
// this one and the grants that rest on them. It is not safe for concurrent use.
type Granter struct {
	options   Options
	endpoints map[ident.Endpoint]*endpointQuota
}

// endpointQuota is what the owner knows of one endpoint.
type endpointQuota struct {
	daemons map[ident.Instance]*delegation
}

// delegation is what one daemon has delegated, reported and been granted.
type delegation struct {
	incarnation uint64
	sequence    unit.Sequence
	limit       unit.Requests
	daemonCount int64
	// earliestSent bounds the sending of the last ask from below; seen is when it
	// arrived.
	earliestSent time.Time
	receivedAt   time.Time
	// The delegation is without a gap from since to until.
	delegatedSince time.Time
	delegatedUntil time.Time
	// reserved is what the daemon may have in flight now or later.
	reserved unit.Requests
	demand   unit.Requests
	// turnStart is when the daemon got its current grants, zero without; last is
	// when its last turn ended.
	turnStart   time.Time
	lastTurnEnd time.Time
}

// NewGranter returns the owner's side without any delegation.
func NewGranter(o Options) *Granter {
	return &Granter{options: o, endpoints: make(map[ident.Endpoint]*endpointQuota)}
}

// Grant takes an ask and returns the grant. An ask that is older than one
// already seen is answered with a token only.
func (d *Granter) Grant(from ident.Instance, a GrantRequest, now time.Time) Grant {
	o := d.options
	g := Grant{Endpoint: a.Endpoint, Sequence: a.Sequence, Token: ClockToken{Incarnation: o.Incarnation, Elapsed: now.Sub(o.Start)}}
	earliestSent := o.Start.Add(a.Token.Elapsed)
	delegatedUntil := earliestSent.Add(shortenForClockError(o.TTL))
	if a.Token.Incarnation != o.Incarnation || earliestSent.After(now) || !now.Before(delegatedUntil) {
		return g
	}
	p := d.endpoints[a.Endpoint]
	if p == nil {
		p = &endpointQuota{daemons: make(map[ident.Instance]*delegation)}
		d.endpoints[a.Endpoint] = p
	}
	x := p.daemons[from]
	if x == nil {
		x = new(delegation)
		p.daemons[from] = x
	}
	if x.incarnation == a.Incarnation && a.Sequence <= x.sequence || earliestSent.Before(x.earliestSent) {
		return g
	}
	x.incarnation, x.sequence, x.earliestSent, x.receivedAt = a.Incarnation, a.Sequence, earliestSent, now
	x.limit, x.daemonCount, x.demand, x.reserved = a.Limit, a.Daemons, a.Demand, a.Outstanding
	if a.Delegates {
		if !now.Before(x.delegatedUntil) {
			x.delegatedSince = now
		}
		x.delegatedUntil = delegatedUntil
	}
	d.pruneDaemons(p, now)
	total, until := d.usableQuota(p, now)
	g.Requests = p.grantTurn(from, total, now, o.TTL)
	if g.Requests > 0 {
		g.Duration = until.Sub(now)
		x.reserved = max(x.reserved, g.Requests)
	}
	return g
}

// pruneDaemons drops the daemons that have been silent for longer than any request
// lasts.
func (d *Granter) pruneDaemons(p *endpointQuota, now time.Time) {
	for id, x := range p.daemons {
		if now.Sub(x.receivedAt) > d.options.MaxHold {
			delete(p.daemons, id)
		}
	}
}

// Prune drops endpoints that no daemon has asked for in the hold time.
func (d *Granter) Prune(now time.Time) {
	for id, p := range d.endpoints {
		d.pruneDaemons(p, now)
		if len(p.daemons) == 0 {
			delete(d.endpoints, id)
		}
	}
}

// usableQuota returns the whole requests that the delegations allow at once, and the
// time until which they do.
//
// Requests granted by the owner before may still be in flight after their
// delegations have moved here. So a delegation counts only when every daemon
// has told what it holds since the delegation began, or when the hold time has
// passed since then.
func (d *Granter) usableQuota(p *endpointQuota, now time.Time) (unit.Requests, time.Time) {
	const minTTLDivisor = 8
	var limit unit.Requests
	var daemons int64
	for _, x := range p.daemons {
		if !now.Before(x.delegatedUntil) {
			continue
		}
		if daemons == 0 || x.limit < limit {
			limit = x.limit
		}
		daemons = max(daemons, x.daemonCount)
	}
	if daemons == 0 {
		return 0, now
	}
	allReported := p.allReportedSince(daemons)
	var count int64
	var until time.Time
	for _, x := range p.daemons {
		// A delegation about to end would make every grant that short.
		if x.delegatedUntil.Sub(now) < d.options.TTL/minTTLDivisor {
			continue
		}
		if x.delegatedSince.After(allReported) && now.Sub(x.delegatedSince) <= extendForClockError(d.options.MaxHold) {
			continue
		}
		count++
		if until.IsZero() || x.delegatedUntil.Before(until) {
			until = x.delegatedUntil
		}
	}
	return unit.Requests(min(count, daemons) * int64(limit) / daemons), until
}

// allReportedSince returns the time after which the given number of daemons have told
// what they hold; the zero time if there are not as many.
func (p *endpointQuota) allReportedSince(daemons int64) time.Time {
	times := make([]time.Time, 0, len(p.daemons))
	for _, x := range p.daemons {
		times = append(times, x.earliestSent)
	}
	if int64(len(times)) < daemons {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[daemons-1]
}

// grantTurn returns what the daemon is granted of the total. The places go round:
// a daemon that has had its turn for a delegation's time makes room when
// others wait.
func (p *endpointQuota) grantTurn(from ident.Instance, total unit.Requests, now time.Time, turnLength time.Duration) unit.Requests {
	x := p.daemons[from]
	free := total
	var waiting, ahead, active unit.Requests
	for id, y := range p.daemons {
		if id == from {
			continue
		}
		free -= y.reserved
		if y.demand == 0 || now.Sub(y.receivedAt) > turnLength {
			continue
		}
		active++
		if y.reserved > 0 {
			continue
		}
		waiting++
		if y.lastTurnEnd.Before(x.lastTurnEnd) || y.lastTurnEnd.Equal(x.lastTurnEnd) && id < from {
			ahead++
		}
	}
	if x.turnStart.IsZero() {
		free -= ahead
	}
	// Without a wait for others the daemon may have all; with one, its share.
	n := min(x.demand, free, max(1, (total+active)/(active+1)))
	turnOver := !x.turnStart.IsZero() && waiting > 0 && now.Sub(x.turnStart) >= turnLength
	if n <= 0 || turnOver {
		if !x.turnStart.IsZero() {
			x.turnStart, x.lastTurnEnd = time.Time{}, now
		}
		return 0
	}
	if x.turnStart.IsZero() {
		x.turnStart = now
	}
	return n
}
