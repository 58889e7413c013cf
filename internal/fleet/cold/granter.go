package cold

import (
	"sort"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Delegations is the owner's side: the quotas that daemons have delegated to
// this one and the grants that rest on them. It is not safe for concurrent use.
type Delegations struct {
	options   Options
	endpoints map[ident.Endpoint]*pot
}

// pot is what the owner knows of one endpoint.
type pot struct {
	daemons map[ident.Instance]*daemon
}

// daemon is what one daemon has delegated, reported and been granted.
type daemon struct {
	boot     uint64
	sequence unit.Sequence
	limit    unit.Requests
	count    int64
	// asked bounds the sending of the last ask from below; seen is when it
	// arrived.
	asked time.Time
	seen  time.Time
	// The delegation is without a gap from since to until.
	since time.Time
	until time.Time
	// reserved is what the daemon may have in flight now or later.
	reserved unit.Requests
	demand   unit.Requests
	// turn is when the daemon got its current grants, zero without; last is
	// when its last turn ended.
	turn time.Time
	last time.Time
}

// NewDelegations returns the owner's side without any delegation.
func NewDelegations(o Options) *Delegations {
	return &Delegations{options: o, endpoints: make(map[ident.Endpoint]*pot)}
}

// Answer takes an ask and returns the grant. An ask that is older than one
// already seen is answered with a token only.
func (d *Delegations) Answer(from ident.Instance, a Ask, now time.Time) Grant {
	o := d.options
	g := Grant{Endpoint: a.Endpoint, Sequence: a.Sequence, Token: Token{Boot: o.Boot, At: now.Sub(o.Start)}}
	asked := o.Start.Add(a.Token.At)
	lapses := asked.Add(shorter(o.TTL))
	if a.Token.Boot != o.Boot || asked.After(now) || !now.Before(lapses) {
		return g
	}
	p := d.endpoints[a.Endpoint]
	if p == nil {
		p = &pot{daemons: make(map[ident.Instance]*daemon)}
		d.endpoints[a.Endpoint] = p
	}
	x := p.daemons[from]
	if x == nil {
		x = new(daemon)
		p.daemons[from] = x
	}
	if x.boot == a.Boot && a.Sequence <= x.sequence || asked.Before(x.asked) {
		return g
	}
	x.boot, x.sequence, x.asked, x.seen = a.Boot, a.Sequence, asked, now
	x.limit, x.count, x.demand, x.reserved = a.Limit, a.Daemons, a.Demand, a.Held
	if a.Delegates {
		if !now.Before(x.until) {
			x.since = now
		}
		x.until = lapses
	}
	d.expire(p, now)
	total, until := d.total(p, now)
	g.Requests = p.turn(from, total, now, o.TTL)
	if g.Requests > 0 {
		g.For = until.Sub(now)
		x.reserved = max(x.reserved, g.Requests)
	}
	return g
}

// expire drops the daemons that have been silent for longer than any request
// lasts.
func (d *Delegations) expire(p *pot, now time.Time) {
	for id, x := range p.daemons {
		if now.Sub(x.seen) > d.options.MaxHold {
			delete(p.daemons, id)
		}
	}
}

// Forget drops endpoints that no daemon has asked for in the hold time.
func (d *Delegations) Forget(now time.Time) {
	for id, p := range d.endpoints {
		d.expire(p, now)
		if len(p.daemons) == 0 {
			delete(d.endpoints, id)
		}
	}
}

// total returns the whole requests that the delegations allow at once, and the
// time until which they do.
//
// Requests granted by the owner before may still be in flight after their
// delegations have moved here. So a delegation counts only when every daemon
// has told what it holds since the delegation began, or when the hold time has
// passed since then.
func (d *Delegations) total(p *pot, now time.Time) (unit.Requests, time.Time) {
	const shortest = 8
	var limit unit.Requests
	var daemons int64
	for _, x := range p.daemons {
		if !now.Before(x.until) {
			continue
		}
		if daemons == 0 || x.limit < limit {
			limit = x.limit
		}
		daemons = max(daemons, x.count)
	}
	if daemons == 0 {
		return 0, now
	}
	heard := p.heardAll(daemons)
	var count int64
	var until time.Time
	for _, x := range p.daemons {
		// A delegation about to end would make every grant that short.
		if x.until.Sub(now) < d.options.TTL/shortest {
			continue
		}
		if x.since.After(heard) && now.Sub(x.since) <= longer(d.options.MaxHold) {
			continue
		}
		count++
		if until.IsZero() || x.until.Before(until) {
			until = x.until
		}
	}
	return unit.Requests(min(count, daemons) * int64(limit) / daemons), until
}

// heardAll returns the time after which the given number of daemons have told
// what they hold; the zero time if there are not as many.
func (p *pot) heardAll(daemons int64) time.Time {
	asked := make([]time.Time, 0, len(p.daemons))
	for _, x := range p.daemons {
		asked = append(asked, x.asked)
	}
	if int64(len(asked)) < daemons {
		return time.Time{}
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i].After(asked[j]) })
	return asked[daemons-1]
}

// turn returns what the daemon is granted of the total. The places go round:
// a daemon that has had its turn for a delegation's time makes room when
// others wait.
func (p *pot) turn(from ident.Instance, total unit.Requests, now time.Time, length time.Duration) unit.Requests {
	x := p.daemons[from]
	free := total
	var waiting, ahead, active unit.Requests
	for id, y := range p.daemons {
		if id == from {
			continue
		}
		free -= y.reserved
		if y.demand == 0 || now.Sub(y.seen) > length {
			continue
		}
		active++
		if y.reserved > 0 {
			continue
		}
		waiting++
		if y.last.Before(x.last) || y.last.Equal(x.last) && id < from {
			ahead++
		}
	}
	if x.turn.IsZero() {
		free -= ahead
	}
	// Without a wait for others the daemon may have all; with one, its share.
	n := min(x.demand, free, max(1, (total+active)/(active+1)))
	over := !x.turn.IsZero() && waiting > 0 && now.Sub(x.turn) >= length
	if n <= 0 || over {
		if !x.turn.IsZero() {
			x.turn, x.last = time.Time{}, now
		}
		return 0
	}
	if x.turn.IsZero() {
		x.turn = now
	}
	return n
}
