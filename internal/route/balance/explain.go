package balance

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Explanation says how an endpoint would be chosen now.
type Explanation struct {
	Choice Choice `json:"choice"`
	// Level is the load up to which candidates are filled, zero by count.
	Level      float64     `json:"level,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint with the terms of the choice. Times are in milliseconds.
type Candidate struct {
	Endpoint   ident.Instance   `json:"endpoint"`
	DataCentre ident.DataCentre `json:"datacentre"`
	Replica    ident.Replica    `json:"replica,omitempty"`
	Slots      unit.Requests    `json:"slots"`
	// InFlight counts this daemon's requests, PeerInFlight those of others as last reported.
	InFlight           unit.Requests `json:"inflight"`
	PeerInFlight       unit.Requests `json:"peer_inflight"`
	PendingPrefill     unit.Tokens   `json:"pending_prefill"`
	PeerPendingPrefill unit.Tokens   `json:"peer_pending_prefill"`
	// Load is compared with the level. It has the penalty for another data centre.
	Load float64 `json:"load,omitempty"`
	// First is the expected time to the first event at the level, Spread its standard deviation, and
	// Correction the learned part of it, last observed CorrectionAge ago (negative: never).
	First         int64 `json:"first_ms,omitempty"`
	Spread        int64 `json:"spread_ms,omitempty"`
	Correction    int64 `json:"correction_ms,omitempty"`
	CorrectionAge int64 `json:"correction_age_ms,omitempty"`
	// Missed is the probability that the request misses its objective.
	Missed float64 `json:"missed,omitempty"`
	// Probability is that of the endpoint if all endpoints are candidates. A request draws from a
	// sample of 12 if there are more, and by count takes the best of a sample in a large fleet.
	Probability float64 `json:"probability"`
	// Excluded is empty if the endpoint may be chosen.
	Excluded Exclusion `json:"excluded,omitempty"`
}

// Explain returns how Pick would choose an endpoint now, with all endpoints as candidates. It takes
// nothing from the limits and cold rates of the endpoints.
func (b *Balancer) Explain(now time.Time, endpoints []*catalog.Endpoint, r Request) Explanation {
	p := b.newPick(now, endpoints, r)
	x := Explanation{Choice: ByCount, Candidates: make([]Candidate, len(endpoints))}
	for i, e := range endpoints {
		x.Candidates[i] = Candidate{
			Endpoint: e.ID, DataCentre: e.DataCentre, Replica: e.Replica, Slots: e.Slots,
			InFlight: e.Load.InFlight(), PeerInFlight: e.Load.TotalInFlight() - e.Load.InFlight(),
			PendingPrefill: e.Load.PendingPrefill(), PeerPendingPrefill: e.Load.PeerPendingPrefill(), Excluded: p.exclusion(e),
		}
	}
	if p.byCost {
		x.Choice = ByCost
		p.explainDraw(endpoints, &x)
		return x
	}
	if i := p.leastIndex(endpoints, nil); i >= 0 {
		x.Candidates[i].Probability = 1
	}
	return x
}

// explainDraw adds the terms of the draw by expected loss.
func (p *pick) explainDraw(endpoints []*catalog.Endpoint, x *Explanation) {
	all := make([]weighed, len(endpoints))
	level, sum := p.weigh(endpoints, all), 0.0
	for i := range all {
		sum += all[i].weight
	}
	for i, e := range endpoints {
		c := &x.Candidates[i]
		if c.Excluded != "" {
			continue
		}
		x.Level = level
		f := p.forecast(e, level)
		c.Load, c.First, c.Spread = all[i].load, f.Mean.Milliseconds(), f.Spread.Milliseconds()
		c.Missed = missProbability(f, float64(p.timeLeft))
		c.Correction = p.times.StateOf(p.now, e).Correction.Milliseconds()
		c.CorrectionAge = -1
		if at := e.Load.CorrectedAt(); !at.IsZero() {
			c.CorrectionAge = p.now.Sub(at).Milliseconds()
		}
		if sum > 0 {
			c.Probability = all[i].weight / sum
		}
	}
}
