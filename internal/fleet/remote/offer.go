package remote

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

// drains says what is out of service.
type drains interface {
	DataCentreDrained(ident.DataCentre) bool
	InstanceDrained(ident.Instance) bool
}

// loads knows this daemon's requests in flight to an endpoint, also to one that
// is no longer in the table.
type loads interface {
	EndpointInFlight(ident.Endpoint) unit.Requests
}

// Sight is what offers are made from.
type Sight struct {
	Now       time.Time
	Summaries []Summary
	Peers     []roster.Peer
	View      *record.View
	Drains    drains
	Loads     loads
}

// Offers turns the room of other data centres into endpoints. It is not safe
// for concurrent use.
type Offers struct {
	self       ident.Instance
	dataCentre ident.DataCentre
	window     time.Duration
	sustained  map[place]*floor
}

// place is a deployment in a data centre.
type place struct {
	dataCentre ident.DataCentre
	deployment ident.Deployment
}

// NewOffers returns the offers to a daemon. The window has to exceed the age of
// a summary together with that of the reports that it is made from.
func NewOffers(self ident.Instance, dc ident.DataCentre, window time.Duration) *Offers {
	return &Offers{self: self, dataCentre: dc, window: window, sustained: make(map[place]*floor)}
}

// Endpoints returns an endpoint for each deployment with room and each daemon
// of its data centre. A data centre's free requests are divided among the
// daemons that may send there, and this daemon's share among the daemons that
// receive, so that all together stay within the room.
func (o *Offers) Endpoints(s Sight) []table.Endpoint {
	var all []table.Endpoint
	for i := range s.Summaries {
		sum := &s.Summaries[i]
		if sum.DataCentre == o.dataCentre || sum.Drained || s.Drains.DataCentreDrained(sum.DataCentre) {
			continue
		}
		receivers, senders := o.split(s, sum.DataCentre)
		if len(receivers) == 0 {
			continue
		}
		for _, r := range sum.Capacities {
			if d := s.View.Deployment(r.Deployment); d != nil {
				all = append(all, o.spread(s, r, d, receivers, senders)...)
			}
		}
	}
	o.forget(s.Now)
	return all
}

// forget drops what was not offered for a while.
func (o *Offers) forget(now time.Time) {
	const windows = 4
	for at, f := range o.sustained {
		if now.Sub(f.start) >= windows*o.window {
			delete(o.sustained, at)
		}
	}
}

// split returns the daemons of the data centre that take requests, and the
// number of daemons elsewhere.
func (o *Offers) split(s Sight, dc ident.DataCentre) ([]roster.Peer, unit.Requests) {
	var receivers []roster.Peer
	senders := unit.Requests(1)
	for _, p := range s.Peers {
		switch {
		case !p.Alive || p.Instance == o.self:
		case p.DataCentre != dc:
			senders++
		case p.CallerAddress != "" && !p.Leaving && !s.Drains.InstanceDrained(p.Instance):
			receivers = append(receivers, p)
		}
	}
	sort.Slice(receivers, func(i, j int) bool { return receivers[i].Instance < receivers[j].Instance })
	return receivers, senders
}

// spread divides this daemon's share among the receivers. The remainder goes to
// other receivers for each sender.
func (o *Offers) spread(s Sight, r Capacity, d *record.Deployment, receivers []roster.Peer, senders unit.Requests) []table.Endpoint {
	limit := round(o.share(s, r, receivers, senders))
	n := len(receivers)
	start := int(xxhash.Sum64String(string(o.self)) % uint64(n))
	var offered []table.Endpoint
	for i := range n {
		p := receivers[(start+i)%n]
		part := limit / unit.Requests(n)
		if unit.Requests(i) < limit%unit.Requests(n) {
			part++
		}
		if part == 0 {
			break
		}
		e := table.Endpoint{
			ID: endpointID(p.Instance, r.Deployment), Protocol: table.Relay, DataCentre: p.DataCentre,
			Address: p.CallerAddress, Deployment: r.Deployment, Models: []ident.Model{d.Model},
			Organisations: d.Organisations, Limit: part,
		}
		for _, a := range d.Adapters {
			e.Models = append(e.Models, ident.Model(a))
		}
		offered = append(offered, e)
	}
	return offered
}

func endpointID(to ident.Instance, d ident.Deployment) ident.Endpoint {
	return ident.Endpoint("relay/" + string(to) + "/" + string(d))
}

// share returns the requests that this daemon may have in flight to the
// deployment. The free requests don't include those that it already has there,
// as far as the summary counts them; those that it has had for the whole window
// are certainly counted.
func (o *Offers) share(s Sight, r Capacity, receivers []roster.Peer, senders unit.Requests) unit.Requests {
	var inFlight unit.Requests
	for _, p := range receivers {
		inFlight += s.Loads.EndpointInFlight(endpointID(p.Instance, r.Deployment))
	}
	at := place{receivers[0].DataCentre, r.Deployment}
	f := o.sustained[at]
	if f == nil {
		f = &floor{start: s.Now}
		o.sustained[at] = f
	}
	own := f.add(inFlight, s.Now, o.window)
	if r.FreeSlots == 0 {
		return own
	}
	return own + max(1, r.FreeSlots/senders)
}

// round drops all but the highest three bits, so that small changes of the room
// don't make a new table.
func round(n unit.Requests) unit.Requests {
	const kept = 3
	drop := max(0, bits.Len64(uint64(n))-kept)
	return n >> drop << drop
}

// floor is the lowest of the values of at least the last window, and at most
// two.
type floor struct {
	start           time.Time
	before, current unit.Requests
}

func (f *floor) add(n unit.Requests, now time.Time, window time.Duration) unit.Requests {
	if now.Sub(f.start) >= window {
		f.before, f.current, f.start = f.current, n, now
	}
	f.current = min(f.current, n)
	return min(f.before, f.current)
}
