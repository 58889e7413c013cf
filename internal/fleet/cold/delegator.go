package cold

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Quota is the delegating side: to whom this daemon has delegated its share of
// each endpoint, and what it was granted. It is not safe for concurrent use.
type Quota struct {
	options   Options
	endpoints map[ident.Endpoint]*share
}

type share struct {
	sequence unit.Sequence
	// owner and sent belong to the last ask; token is that owner's.
	owner ident.Instance
	sent  time.Time
	token Token
	// holder may rely on this daemon's quota until lapses.
	holder  ident.Instance
	lapses  time.Time
	granted unit.Requests
	until   time.Time
	used    time.Time
}

// NewQuota returns a Quota that has delegated nothing.
func NewQuota(o Options) *Quota {
	return &Quota{options: o, endpoints: make(map[ident.Endpoint]*share)}
}

// Need is what a daemon wants of an endpoint now.
type Need struct {
	Endpoint ident.Endpoint
	Owner    ident.Instance
	Limit    unit.Requests
	Daemons  int64
	Demand   unit.Requests
	InFlight unit.Requests
}

// Ask returns the message to the owner. A quota is delegated to an owner only
// when the delegation to the one before has run out, and not within one
// delegation's time of the start, since the process before may have delegated.
func (q *Quota) Ask(n Need, now time.Time) Ask {
	s := q.endpoints[n.Endpoint]
	if s == nil {
		s = new(share)
		q.endpoints[n.Endpoint] = s
	}
	if s.owner != n.Owner {
		s.owner, s.token = n.Owner, Token{}
	}
	s.sequence++
	s.sent, s.used = now, now
	a := Ask{
		Endpoint: n.Endpoint, Limit: n.Limit, Daemons: n.Daemons,
		Boot: q.options.Boot, Sequence: s.sequence, Token: s.token, Demand: n.Demand, Held: n.InFlight,
	}
	if now.Before(s.until) {
		a.Held = max(a.Held, s.granted)
	}
	ttl := longer(q.options.TTL)
	free := s.holder == n.Owner || !now.Before(s.lapses)
	if free && s.token.Boot != 0 && !now.Before(q.options.Start.Add(ttl)) {
		a.Delegates = true
		s.holder, s.lapses = n.Owner, now.Add(ttl)
	}
	return a
}

// Accept takes the owner's answer and returns the grant in force. The answer
// to any ask but the last is dropped: the last one told its owner what this
// daemon holds, and a later grant of another owner would not be in that count.
func (q *Quota) Accept(from ident.Instance, g Grant) (unit.Requests, time.Time, bool) {
	s := q.endpoints[g.Endpoint]
	if s == nil || s.owner != from || s.sequence != g.Sequence {
		return 0, time.Time{}, false
	}
	s.token = g.Token
	s.granted, s.until = g.Requests, s.sent.Add(shorter(g.For))
	return s.granted, s.until, true
}

// Forget drops endpoints that have not been asked for in the time given, which
// must exceed the time of a delegation.
func (q *Quota) Forget(now time.Time, unused time.Duration) {
	for id, s := range q.endpoints {
		if now.Sub(s.used) > max(unused, longer(q.options.TTL)) {
			delete(q.endpoints, id)
		}
	}
}
