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

// drainStates says which data centres and instances are drained.
type drainStates interface {
	DataCentreDrained(ident.DataCentre) bool
	InstanceDrained(ident.Instance) bool
}

// loadSource has this daemon's requests in flight to an endpoint, also to an
// endpoint that is no longer in the table.
type loadSource interface {
	EndpointInFlight(ident.Endpoint) unit.Requests
}

// OfferInput is the input from which the relay endpoints are computed.
type OfferInput struct {
	Now       time.Time
	Summaries []Summary
	Peers     []roster.Peer
	View      *record.View
	Drains    drainStates
	Loads     loadSource
}

// RelayOffers turns the free capacity of other data centres into relay
// endpoints. It is not safe for concurrent use.
type RelayOffers struct {
	self       ident.Instance
	dataCentre ident.DataCentre
	window     time.Duration
	// inFlightMinimums has the lowest number of this daemon's requests in
	// flight to each deployment.
	inFlightMinimums map[remoteDeployment]*windowMinimum
}

// remoteDeployment identifies a deployment in another data centre.
type remoteDeployment struct {
	dataCentre ident.DataCentre
	deployment ident.Deployment
}

// NewRelayOffers returns the RelayOffers of the daemon self. A request in
// flight for the whole window must be counted in the summary. So the window
// must exceed the highest age of a summary plus the highest age of the reports
// from which the summary is made.
func NewRelayOffers(self ident.Instance, dc ident.DataCentre, window time.Duration) *RelayOffers {
	return &RelayOffers{self: self, dataCentre: dc, window: window, inFlightMinimums: make(map[remoteDeployment]*windowMinimum)}
}

// Endpoints returns a relay endpoint for each deployment with free capacity and
// each daemon of its data centre. A data centre's free slots are divided among
// the daemons that may send requests there, and this daemon's share among the
// receiving daemons. So all daemons together stay within the free capacity,
// unless there are fewer free slots than senders: each sender gets at least
// one.
func (o *RelayOffers) Endpoints(in OfferInput) []table.Endpoint {
	var endpoints []table.Endpoint
	for i := range in.Summaries {
		summary := &in.Summaries[i]
		if summary.DataCentre == o.dataCentre || summary.Drained || in.Drains.DataCentreDrained(summary.DataCentre) {
			continue
		}
		receivers, senders := o.receiversAndSenders(in, summary.DataCentre)
		if len(receivers) == 0 {
			continue
		}
		for _, capacity := range summary.Capacities {
			if d := in.View.Deployment(capacity.Deployment); d != nil {
				endpoints = append(endpoints, o.divideLimit(in, capacity, d, receivers, senders)...)
			}
		}
	}
	o.prune(in.Now)
	return endpoints
}

// prune removes the minimums of deployments that have not been offered for at
// least three windows.
func (o *RelayOffers) prune(now time.Time) {
	const retainedWindows = 4
	for deployment, minimum := range o.inFlightMinimums {
		if now.Sub(minimum.windowStart) >= retainedWindows*o.window {
			delete(o.inFlightMinimums, deployment)
		}
	}
}

// receiversAndSenders returns the daemons of the data centre that accept
// requests, and the number of live daemons in other data centres, this daemon
// included.
func (o *RelayOffers) receiversAndSenders(in OfferInput, dc ident.DataCentre) ([]roster.Peer, unit.Requests) {
	var receivers []roster.Peer
	senders := unit.Requests(1)
	for _, p := range in.Peers {
		switch {
		case !p.Alive || p.Instance == o.self:
		case p.DataCentre != dc:
			senders++
		case p.CallerAddress != "" && !p.Leaving && !in.Drains.InstanceDrained(p.Instance):
			receivers = append(receivers, p)
		}
	}
	sort.Slice(receivers, func(i, j int) bool { return receivers[i].Instance < receivers[j].Instance })
	return receivers, senders
}

// divideLimit divides this daemon's limit among the receivers. Which receivers
// get the remainder differs between the senders.
func (o *RelayOffers) divideLimit(in OfferInput, capacity Capacity, d *record.Deployment, receivers []roster.Peer, senders unit.Requests) []table.Endpoint {
	limit := roundDown(o.requestLimit(in, capacity, receivers, senders))
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
			ID: relayEndpointID(p.Instance, capacity.Deployment), Protocol: table.Relay, DataCentre: p.DataCentre,
			Address: p.CallerAddress, Deployment: capacity.Deployment, Models: []ident.Model{d.Model},
			Organisations: d.Organisations, Limit: receiverLimit,
		}
		for _, a := range d.Adapters {
			e.Models = append(e.Models, ident.Model(a))
		}
		offered = append(offered, e)
	}
	return offered
}

// relayEndpointID returns the id of the relay endpoint for the deployment at
// the daemon.
func relayEndpointID(to ident.Instance, d ident.Deployment) ident.Endpoint {
	return ident.Endpoint("relay/" + string(to) + "/" + string(d))
}

// requestLimit returns the number of requests that this daemon may have in
// flight to the deployment. If the summary counts this daemon's own requests in
// flight, their slots are missing from its free slots. Requests in flight for
// the whole window are certainly counted, so their number is added to this
// daemon's share of the free slots. The share is at least one slot if any is
// free.
func (o *RelayOffers) requestLimit(in OfferInput, capacity Capacity, receivers []roster.Peer, senders unit.Requests) unit.Requests {
	var inFlight unit.Requests
	for _, p := range receivers {
		inFlight += in.Loads.EndpointInFlight(relayEndpointID(p.Instance, capacity.Deployment))
	}
	deployment := remoteDeployment{receivers[0].DataCentre, capacity.Deployment}
	minimum := o.inFlightMinimums[deployment]
	if minimum == nil {
		minimum = &windowMinimum{windowStart: in.Now}
		o.inFlightMinimums[deployment] = minimum
	}
	counted := minimum.addValue(inFlight, in.Now, o.window)
	if capacity.FreeSlots == 0 {
		return counted
	}
	return counted + max(1, capacity.FreeSlots/senders)
}

// roundDown clears all but the highest three bits, so that small changes of the
// capacity don't lead to a new table.
func roundDown(n unit.Requests) unit.Requests {
	const keptBits = 3
	clearedBits := max(0, bits.Len64(uint64(n))-keptBits)
	return n >> clearedBits << clearedBits
}

// windowMinimum is the lowest value recorded in the last one to two windows.
type windowMinimum struct {
	windowStart       time.Time
	previous, current unit.Requests
}

// addValue records a value and returns the minimum.
func (m *windowMinimum) addValue(n unit.Requests, now time.Time, window time.Duration) unit.Requests {
	if now.Sub(m.windowStart) >= window {
		m.previous, m.current, m.windowStart = m.current, n, now
	}
	m.current = min(m.current, n)
	return min(m.previous, m.current)
}
