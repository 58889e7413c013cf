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

// drainStates says what is out of service.
type drainStates interface {
	DataCentreDrained(ident.DataCentre) bool
	InstanceDrained(ident.Instance) bool
}

// loadSource knows this daemon's requests in flight to an endpoint, also to one that
// is no longer in the table.
type loadSource interface {
	EndpointInFlight(ident.Endpoint) unit.Requests
}

// OfferInput is what offers are made from.
type OfferInput struct {
	Now       time.Time
	Summaries []Summary
	Peers     []roster.Peer
	View      *record.View
	Drains    drainStates
	Loads     loadSource
}

// RelayOffers turns the room of other data centres into endpoints. It is not safe
// for concurrent use.
type RelayOffers struct {
	self             ident.Instance
	dataCentre       ident.DataCentre
	window           time.Duration
	inFlightMinimums map[remoteDeployment]*windowMinimum
}

// remoteDeployment is a deployment in a data centre.
type remoteDeployment struct {
	dataCentre ident.DataCentre
	deployment ident.Deployment
}

// NewRelayOffers returns the offers to a daemon. The window has to exceed the age of
// a summary together with that of the reports that it is made from.
func NewRelayOffers(self ident.Instance, dc ident.DataCentre, window time.Duration) *RelayOffers {
	return &RelayOffers{self: self, dataCentre: dc, window: window, inFlightMinimums: make(map[remoteDeployment]*windowMinimum)}
}

// Endpoints returns an endpoint for each deployment with room and each daemon
// of its data centre. A data centre's free requests are divided among the
// daemons that may send there, and this daemon's share among the daemons that
// receive, so that all together stay within the room.
func (o *RelayOffers) Endpoints(s OfferInput) []table.Endpoint {
	var endpoints []table.Endpoint
	for i := range s.Summaries {
		summary := &s.Summaries[i]
		if summary.DataCentre == o.dataCentre || summary.Drained || s.Drains.DataCentreDrained(summary.DataCentre) {
			continue
		}
		receivers, senders := o.receiversAndSenders(s, summary.DataCentre)
		if len(receivers) == 0 {
			continue
		}
		for _, r := range summary.Capacities {
			if d := s.View.Deployment(r.Deployment); d != nil {
				endpoints = append(endpoints, o.divideLimit(s, r, d, receivers, senders)...)
			}
		}
	}
	o.prune(s.Now)
	return endpoints
}

// prune drops what was not offered for a while.
func (o *RelayOffers) prune(now time.Time) {
	const windows = 4
	for deployment, f := range o.inFlightMinimums {
		if now.Sub(f.windowStart) >= windows*o.window {
			delete(o.inFlightMinimums, deployment)
		}
	}
}

// receiversAndSenders returns the daemons of the data centre that take requests, and the
// number of daemons elsewhere.
func (o *RelayOffers) receiversAndSenders(s OfferInput, dc ident.DataCentre) ([]roster.Peer, unit.Requests) {
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

// divideLimit divides this daemon's share among the receivers. The remainder goes to
// other receivers for each sender.
func (o *RelayOffers) divideLimit(s OfferInput, r Capacity, d *record.Deployment, receivers []roster.Peer, senders unit.Requests) []table.Endpoint {
	limit := roundDown(o.requestLimit(s, r, receivers, senders))
	n := len(receivers)
	start := int(xxhash.Sum64String(string(o.self)) % uint64(n))
	var offered []table.Endpoint
	for i := range n {
		p := receivers[(start+i)%n]
		receiverLimit := limit / unit.Requests(n)
		if unit.Requests(i) < limit%unit.Requests(n) {
			receiverLimit++
		}
		if receiverLimit == 0 {
			break
		}
		e := table.Endpoint{
			ID: endpointID(p.Instance, r.Deployment), Protocol: table.Relay, DataCentre: p.DataCentre,
			Address: p.CallerAddress, Deployment: r.Deployment, Models: []ident.Model{d.Model},
			Organisations: d.Organisations, Limit: receiverLimit,
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

// requestLimit returns the requests that this daemon may have in flight to the
// deployment. The free requests don't include those that it already has there,
// as far as the summary counts them; those that it has had for the whole window
// are certainly counted.
func (o *RelayOffers) requestLimit(s OfferInput, r Capacity, receivers []roster.Peer, senders unit.Requests) unit.Requests {
	var inFlight unit.Requests
	for _, p := range receivers {
		inFlight += s.Loads.EndpointInFlight(endpointID(p.Instance, r.Deployment))
	}
	deployment := remoteDeployment{receivers[0].DataCentre, r.Deployment}
	f := o.inFlightMinimums[deployment]
	if f == nil {
		f = &windowMinimum{windowStart: s.Now}
		o.inFlightMinimums[deployment] = f
	}
	counted := f.add(inFlight, s.Now, o.window)
	if r.FreeSlots == 0 {
		return counted
	}
	return counted + max(1, r.FreeSlots/senders)
}

// roundDown drops all but the highest three bits, so that small changes of the room
// don't make a new table.
func roundDown(n unit.Requests) unit.Requests {
	const kept = 3
	drop := max(0, bits.Len64(uint64(n))-kept)
	return n >> drop << drop
}

// windowMinimum is the lowest of the values of at least the last window, and at most
// two.
type windowMinimum struct {
	windowStart       time.Time
	previous, current unit.Requests
}

func (f *windowMinimum) add(n unit.Requests, now time.Time, window time.Duration) unit.Requests {
	if now.Sub(f.windowStart) >= window {
		f.previous, f.current, f.windowStart = f.current, n, now
	}
	f.current = min(f.current, n)
	return min(f.previous, f.current)
}
