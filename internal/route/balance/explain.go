package balance

import (
	"encoding/json"
	"math"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Explanation says how an endpoint would be chosen now.
type Explanation struct {
	Choice Choice `json:"choice"`
	// Level is the load up to which candidates are filled, zero by count.
	Level float64 `json:"level,omitempty"`
	// Admitted is the share of the requests for which the endpoints have room, Room the number that
	// they can take until the counts are renewed, and Arrivals the number that is expected meanwhile.
	// By count, all are admitted.
	Admitted   float64     `json:"admitted"`
	Room       float64     `json:"room,omitempty"`
	Arrivals   float64     `json:"arrivals,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint with the terms of the choice. Times are in milliseconds.
type Candidate struct {
	Endpoint   ident.Instance   `json:"endpoint"`
	DataCentre ident.DataCentre `json:"datacentre"`
	Replica    ident.Replica    `json:"replica,omitempty"`
	Slots      unit.Requests    `json:"slots"`
	// InFlight counts this daemon's requests, PeerInFlight those of others as last reported.
	InFlight     unit.Requests `json:"inflight"`
	PeerInFlight unit.Requests `json:"peer_inflight"`
	// PeerAge is the mean age of the counts of the others' requests, negative if none were received.
	PeerAge            int64       `json:"peer_age_ms"`
	PendingPrefill     unit.Tokens `json:"pending_prefill"`
	PeerPendingPrefill unit.Tokens `json:"peer_pending_prefill"`
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

// UnmarshalJSON decodes a candidate. A daemon of an older build sends no age of the others' counts, which
// is then unknown.
func (c *Candidate) UnmarshalJSON(raw []byte) error {
	type plain Candidate
	decoded := plain{PeerAge: -1}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return err
	}
	*c = Candidate(decoded)
	return nil
}

// Explain returns how Pick would choose an endpoint now, with all endpoints as candidates. It takes
// nothing from the limits and cold rates of the endpoints, and counts nothing.
func (b *Balancer) Explain(now time.Time, endpoints []*catalog.Endpoint, r Request) Explanation {
	p := b.newPick(now, endpoints, r)
	p.isExplained = true
	x := Explanation{Choice: ByCount, Admitted: 1, Candidates: make([]Candidate, len(endpoints))}
	for i, e := range endpoints {
		x.Candidates[i] = p.describe(e)
	}
	if p.byCost {
		x.Choice = ByCost
		if p.explainDraw(endpoints, &x) {
			return x
		}
	}
	if len(endpoints) > 0 && p.areAvoided(endpoints) {
		p.includeAvoided = true
		for i, e := range endpoints {
			x.Candidates[i].Excluded = p.explainExclusion(e)
		}
	}
	if p.explainCount(endpoints, &x) {
		x.Choice = ByCount
	}
	return x
}

// describe returns the terms of the endpoint that don't depend on the others.
func (p *pick) describe(e *catalog.Endpoint) Candidate {
	c := Candidate{
		Endpoint: e.ID, DataCentre: e.DataCentre, Replica: e.Replica, Slots: e.Slots,
		InFlight: e.Load.InFlight(), PeerInFlight: e.Load.TotalInFlight() - e.Load.InFlight(), PeerAge: -1,
		PendingPrefill: e.Load.PendingPrefill(), PeerPendingPrefill: e.Load.PeerPendingPrefill(), Excluded: p.explainExclusion(e),
	}
	if at := e.Load.PeerCountedAt(); !at.IsZero() {
		c.PeerAge = p.now.Sub(at).Milliseconds()
	}
	return c
}

// explainExclusion returns why Pick would not return the endpoint.
func (p *pick) explainExclusion(e *catalog.Endpoint) Exclusion {
	if reason := p.exclusion(e); reason != "" || !isCold(p.now, e) {
		return reason
	}
	if rate, _ := p.coldShare(e); !e.Load.ColdAvailable(p.now, rate) {
		return AtColdRate
	}
	return ""
}

// explainDraw adds the terms of the draw by expected loss. It reports whether any endpoint may be
// drawn.
func (p *pick) explainDraw(endpoints []*catalog.Endpoint, x *Explanation) bool {
	all := make([]weighed, len(endpoints))
	s := p.supplyOf(endpoints, len(endpoints), all)
	x.Admitted, x.Room, x.Arrivals = s.admitted(), s.room, s.arrivals
	level, sum := p.weigh(endpoints, all), 0.0
	for i := range all {
		if x.Candidates[i].Excluded == "" {
			sum += all[i].weight
		}
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
	return sum > 0
}

// tieBreakSteps is the number of steps in which the probabilities of the tie-break are integrated. With
// a dozen endpoints of equal utilisation, 64 steps are exact to less than a thousandth.
const tieBreakSteps = 64

// explainCount adds the probabilities of the choice by count, in which a random number is added to each
// utilisation. It reports whether any endpoint may be chosen.
func (p *pick) explainCount(endpoints []*catalog.Endpoint, x *Explanation) bool {
	// above has by how much the utilisation exceeds the lowest one, as a share of tieBreakRange.
	above, lowest := make([]float64, len(endpoints)), math.Inf(1)
	for i, e := range endpoints {
		above[i] = math.Inf(1)
		if x.Candidates[i].Excluded == "" {
			above[i] = p.utilisation(e)
			lowest = min(lowest, above[i])
		}
	}
	if math.IsInf(lowest, 1) {
		return false
	}
	sum := 0.0
	for i := range above {
		above[i] = (above[i] - lowest) / tieBreakRange
	}
	for step := range tieBreakSteps {
		point, allHigher := (float64(step)+0.5)/tieBreakSteps, 1.0
		for _, a := range above {
			allHigher *= 1 - max(point-a, 0)
		}
		for i, a := range above {
			if point > a {
				density := allHigher / (1 - (point - a))
				x.Candidates[i].Probability += density
				sum += density
			}
		}
	}
	for i := range x.Candidates {
		x.Candidates[i].Probability /= sum
	}
	return true
}
