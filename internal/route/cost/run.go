package cost

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Run is one attempt of a request at an endpoint. It keeps the attempt's cost in the endpoint's load,
// and compares the estimates with what happens. A Run is used by one goroutine.
type Run struct {
	model     *Model
	endpoint  *catalog.Endpoint
	estimate  Estimate
	startedAt time.Time
	// firstEventAt is zero before the first event.
	firstEventAt time.Time
	// published and expected are the time to the first event without and with the correction.
	published time.Duration
	expected  time.Duration
	// certainty is the weight of the observation, below one if a wait for a slot was expected.
	certainty float64
	// pendingPrefill and reserved are the tokens of this attempt that are in the load.
	pendingPrefill unit.Tokens
	reserved       unit.Tokens
	// learns says that the attempt's times are recorded. A daemon that a request is passed on to
	// is not a replica.
	learns bool
}

// StartRun records the start of an attempt. The request itself has to be counted in the endpoint's
// requests in flight. End must be called.
func (m *Model) StartRun(now time.Time, e *catalog.Endpoint, p Profile, estimate Estimate) Run {
	r := Run{
		model: m, endpoint: e, estimate: estimate, startedAt: now, learns: !e.IsRelay,
		pendingPrefill: p.PromptTokens, reserved: p.PromptTokens + estimate.OutputTokens,
	}
	if r.learns {
		times := m.Times(e.Service, e.Engine, e.Model)
		state := times.StateOf(now, e)
		state.InFlight = max(state.InFlight-1, 0)
		f := times.published(state, p.PromptTokens)
		r.published, r.certainty = f.Mean, f.certainty()
		r.expected = times.FirstEvent(state, p.PromptTokens).Mean
	}
	e.Load.AddPendingPrefill(r.pendingPrefill)
	e.Load.AddReserved(r.reserved)
	e.Load.AddWork(estimate.Work)
	return r
}

// Expected returns the expected time to the first event.
func (r *Run) Expected() time.Duration {
	return r.expected
}

// FirstEvent records that an event has arrived. Only the first call has an effect.
func (r *Run) FirstEvent(now time.Time) {
	if !r.firstEventAt.IsZero() {
		return
	}
	r.firstEventAt = now
	r.endpoint.Load.AddPendingPrefill(-r.pendingPrefill)
	r.pendingPrefill = 0
	if !r.learns {
		return
	}
	observed := now.Sub(r.startedAt)
	r.model.errors.firstEvent.record(float64(r.expected), float64(observed))
	// An endpoint counts as at most twice as quick as published.
	excess := min(max(observed-r.published, -r.published/2), maxCorrection)
	learned, ok := r.model.learned(r.modelKey())
	if !ok {
		return
	}
	usual := excess
	if learned.correction.count.Load() > 0 {
		usual = learned.correction.value()
	}
	r.endpoint.Load.RecordCorrection(now, excess, usual, r.certainty)
	learned.correction.add(usual + time.Duration(float64(excess-usual)*r.certainty))
}

// End removes the attempt from the endpoint's load.
func (r *Run) End() {
	r.endpoint.Load.AddPendingPrefill(-r.pendingPrefill)
	r.endpoint.Load.AddReserved(-r.reserved)
	r.endpoint.Load.AddWork(-r.estimate.Work)
	r.pendingPrefill, r.reserved, r.estimate.Work = 0, 0, 0
}

// Completed records that the attempt's answer is complete. It is called before End.
func (r *Run) Completed(now time.Time) {
	if !r.learns || r.firstEventAt.IsZero() {
		return
	}
	learned, ok := r.model.learned(r.modelKey())
	if !ok {
		return
	}
	learned.slotTime.add(now.Sub(r.firstEventAt))
	learned.flightTime.add(now.Sub(r.startedAt))
	if r.estimate.Work > 0 {
		learned.work.add(r.estimate.Work)
	}
}

func (r *Run) modelKey() modelKey {
	key := modelKey{service: r.endpoint.Service}
	if r.endpoint.Model != nil {
		key.model = r.endpoint.Model.Name
	}
	return key
}
