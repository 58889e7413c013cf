package balance

import (
	"math"
	"math/rand/v2"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// Choice by expected loss. The counts of the other daemons' requests are old, and the other daemons
// have the same ones. If each daemon chose the replica with the lowest expected loss by these counts,
// all would meet there. Each daemon therefore computes how all requests that arrive while the counts grow old
// should be spread, which is up to a level of equal load, and draws a replica with the probability of
// the requests that are to go there.
const (
	// maxCandidates is the number of candidates of a draw.
	maxCandidates = 12
	// ownArrivals is the share of the expected requests at an idle replica of another data centre
	// that are taken to be that data centre's own, for each unit of RemotePenalty. With the default
	// penalty of 0.3 it is 0.9.
	ownArrivals = 3
	// lossScale is the difference in expected loss that makes a replica e times less likely to be
	// chosen. A replica at which the probability to miss the objective is higher by 0.1 gets a
	// seventh of the requests that it would get otherwise, so that callers seldom wait there while
	// others have room.
	lossScale = 0.05
	// delayLoss is the expected loss for a second until the first event, in requests that miss their
	// objective. It tells replicas apart at which the objective is met, or missed, in any case.
	delayLoss = 0.05
	// logisticScale is the scale of a logistic distribution with a standard deviation of one.
	logisticScale = 0.55
)

// drawByLoss returns a random candidate that has room and admits the request, nil if there is none.
func (p *pick) drawByLoss(candidates []*catalog.Endpoint, all []weighed) *catalog.Endpoint {
	p.weigh(candidates, all)
	for range candidates {
		i := drawIndex(all)
		if i < 0 {
			return nil
		}
		if p.admits(candidates[i]) {
			return candidates[i]
		}
		all[i].weight = 0
	}
	return nil
}

// weighed has the terms by which a candidate is drawn. It has no room, and its load is infinite, if it may
// not be chosen.
type weighed struct {
	room         float64
	turnover     float64
	load         float64
	expectedLoss float64
	weight       float64
}

// drawIndex returns a random index with a probability in proportion to its weight, negative if all
// weights are zero.
func drawIndex(all []weighed) int {
	sum := 0.0
	for i := range all {
		sum += all[i].weight
	}
	point, last := sum*rand.Float64(), -1
	for i := range all {
		if all[i].weight <= 0 {
			continue
		}
		// Rounding may leave a rest after the last weight.
		last = i
		if point -= all[i].weight; point < 0 {
			break
		}
	}
	return last
}

// weigh sets the other terms of each candidate, whose room and turnover are known, and returns the level.
// The weight is zero for those that may not be chosen. It is the number of requests by which a candidate is below the level, at most its room,
// reduced by the expected loss of the request there.
func (p *pick) weigh(candidates []*catalog.Endpoint, all []weighed) float64 {
	arrivals := 1.0
	for i, e := range candidates {
		if all[i].load = math.Inf(1); all[i].room > 0 {
			load, shared := p.load(e, all[i].turnover)
			all[i].load = load
			arrivals += shared
		}
	}
	level := levelOf(all, arrivals)
	least := math.Inf(1)
	for i, e := range candidates {
		// The level is infinite if no candidate may be chosen.
		if !math.IsInf(all[i].load, 1) && level > all[i].load {
			all[i].weight = min(level-all[i].load, all[i].room)
			all[i].expectedLoss = p.expectedLoss(e, level)
			least = min(least, all[i].expectedLoss)
		}
	}
	for i := range all {
		if all[i].weight > 0 {
			all[i].weight *= math.Exp((least - all[i].expectedLoss) / lossScale)
		}
	}
	return level
}

// load returns the load of the endpoint that is compared with the level, and which of the requests that
// are expected there arrive at any candidate. A replica in another data centre counts as fuller by the
// penalty and by the requests that its own data centre sends there, both in proportion to its free
// slots: a request that waits for a slot is worse than one that goes to another data centre.
func (p *pick) load(e *catalog.Endpoint, expected float64) (load, shared float64) {
	load = float64(e.Load.TotalInFlight())
	if e.DataCentre == p.DataCentre {
		return load, expected
	}
	free := max(float64(e.Slots)-load, 0)
	own := expected * min(ownArrivals*p.RemotePenalty, 1) * free / float64(max(e.Slots, 1))
	return load + p.RemotePenalty*free + own, expected - own
}

// levelOf returns the load up to which the arrivals fill the candidates.
func levelOf(all []weighed, arrivals float64) float64 {
	const halvings = 12
	low := math.Inf(1)
	for i := range all {
		low = min(low, all[i].load)
	}
	high := low + arrivals
	for range halvings {
		level, filled := (low+high)/2, 0.0
		for i := range all {
			filled += max(level-all[i].load, 0)
		}
		if filled < arrivals {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// expectedLoss returns the probability that the request misses its objective at the endpoint when
// that has as many requests as the level says, and a small part for the delay. The level is the same for all
// candidates, which differ in pending prefill, in the work of their requests and in the correction.
func (p *pick) expectedLoss(e *catalog.Endpoint, level float64) float64 {
	f := p.forecast(e, level)
	return missProbability(f, float64(p.timeLeft)) + delayLoss*f.Mean.Seconds()
}

// forecast returns the expected time to the first event at the endpoint with as many requests as the
// level says.
func (p *pick) forecast(e *catalog.Endpoint, level float64) cost.Forecast {
	state := p.times.StateOf(p.now, e)
	state.InFlight = unit.Requests(level)
	return p.times.FirstEvent(state, p.request.PromptTokens)
}

// missProbability returns the probability that the time to the first event, which has about a logistic
// distribution, exceeds the limit in nanoseconds.
func missProbability(f cost.Forecast, limit float64) float64 {
	scale := max(float64(f.Spread)*logisticScale, 1)
	return 1 / (1 + math.Exp((limit-float64(f.Mean))/scale))
}

// fitsCache reports whether the KV cache of the endpoint has room for the request and for all that
// the accepted requests will still grow to. The sizes of the peers' requests are taken as the usual
// ones. A request that is larger than the cache may run alone.
func (p *pick) fitsCache(e *catalog.Endpoint) bool {
	capacity := e.Engine.KVCapacity
	inFlight := e.Load.TotalInFlight()
	if capacity <= 0 || inFlight == 0 {
		return true
	}
	usual := e.Engine.MeanPrompt + e.Engine.MeanOutput
	held := e.Load.Reserved() + unit.Tokens(inFlight-e.Load.InFlight())*usual
	return held+p.request.PromptTokens+p.request.OutputTokens <= capacity
}
