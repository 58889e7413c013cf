package cost

import (
	"math"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Bounds of the correction of the time to the first event. It is an added time rather than a factor,
// as an engine has fixed times that it doesn't publish, which are the same at any load. A factor
// learned without load would overestimate the wait at a full replica.
const (
	// maxCorrection is half of the 2 s without an event after which callers disconnect. No
	// request that waits for longer meets its objective.
	maxCorrection = time.Second
	// usualDivisor weights the moving averages over all endpoints of a model: a new observation
	// counts for 1/32.
	usualDivisor = 32
	// maxLearnedModels bounds the number of models that are learned.
	maxLearnedModels = 256
)

// Time to the first event near full use of the slots. Requests end at random times, so that some
// requests wait before all slots are in use, and some find a slot free after that. The number of
// requests in flight varies by about the square root of the slots, so the expected wait bends over
// queueSoftness times that root. The spread is the standard deviation: a request arrives at any time
// of a pass, and the wait for a slot varies by nearly its mean.
const (
	queueSoftness = 0.345
	spreadPasses  = 1.5
	spreadOfWait  = 0.9
)

// minPeerAge is the least age of what is known of the peers' pending prefill. A replica prefills
// meanwhile, so that only what it can't prefill in this time still counts.
const minPeerAge = 100 * time.Millisecond

// workWeight is the number of requests of the usual work that count beside those at an endpoint, of
// which this daemon may know only a few.
const workWeight = 8

// EndpointState is the load of an endpoint that a further request would see.
type EndpointState struct {
	// InFlight counts the requests that run or wait there.
	InFlight unit.Requests
	Slots    unit.Requests
	// PendingPrefill counts the prompt tokens that are not prefilled yet.
	PendingPrefill unit.Tokens
	// Work is the expected slot time of the requests that WorkOf counts. Peers that don't report
	// work are in neither.
	Work   time.Duration
	WorkOf unit.Requests
	// Correction is added to the published time to the first event.
	Correction time.Duration
}

// Forecast is the expected time to the first event of a request and its standard deviation.
type Forecast struct {
	Mean   time.Duration
	Spread time.Duration
	// passSpread is the part of Spread that doesn't come from the wait for a slot.
	passSpread time.Duration
}

// certainty returns the weight of an observation of the forecast time, which is the inverse of its
// variance in relation to that without a wait. The wait for a slot depends on the other requests
// there and says little about the endpoint.
func (f Forecast) certainty() float64 {
	if f.Spread <= 0 {
		return 1
	}
	ratio := float64(f.passSpread) / float64(f.Spread)
	return ratio * ratio
}

// Times are the published and learned times of the replicas of a model. They are computed once for a
// decision and used for all its candidates. Durations are in nanoseconds.
type Times struct {
	// passStep is the time of a pass without requests, and passPerRequest the time that each
	// running request adds.
	passStep       float64
	passPerRequest float64
	prefillToken   float64
	// attention is the prefill time of a pair of a prompt token and an earlier one.
	attention float64
	// slotTime is the mean time for which a request holds a slot, flightTime that from when it is sent
	// to its end, zero if unknown, and meanWork the mean of the expected work.
	slotTime   float64
	flightTime float64
	meanWork   float64
	// usual is the mean correction of all endpoints.
	usual time.Duration
}

// modelKey identifies a model of a service.
type modelKey struct {
	service ident.Service
	model   ident.Model
}

// learnedTimes are the averages of a model over all endpoints.
type learnedTimes struct {
	correction, slotTime, flightTime, work movingAverage
}

// movingAverage is a moving average of times.
type movingAverage struct {
	count atomic.Int64
	// mean is in nanoseconds.
	mean atomic.Int64
}

// add adds a value. Two concurrent values may overwrite each other, which an average tolerates.
func (a *movingAverage) add(value time.Duration) {
	n := min(a.count.Add(1), usualDivisor)
	mean := a.mean.Load()
	a.mean.Store(mean + (int64(value)-mean)/n)
}

// value returns the average, zero before the first value.
func (a *movingAverage) value() time.Duration {
	return time.Duration(a.mean.Load())
}

// learned returns the learned times of the model, and false if there are too many models.
func (m *Model) learned(key modelKey) (*learnedTimes, bool) {
	if learned := m.knownTimes(key); learned != nil {
		return learned, true
	}
	value, ok := m.times.Add(key, func() any { return new(learnedTimes) })
	learned, _ := value.(*learnedTimes)
	return learned, ok
}

// knownTimes returns the learned times of the model, nil if there are none.
func (m *Model) knownTimes(key modelKey) *learnedTimes {
	learned, _ := m.times.Get(key).(*learnedTimes)
	return learned
}

// Times returns the times of the replicas of the model. The engine and the model are nil for a plain
// service.
func (m *Model) Times(service ident.Service, engine *cluster.Engine, model *cluster.Model) Times {
	var t Times
	key := modelKey{service: service}
	if engine != nil && model != nil {
		key.model = model.Name
		t = publishedTimes(engine, model)
	}
	learned := m.knownTimes(key)
	if learned == nil {
		return t
	}
	t.usual = learned.correction.value()
	t.meanWork = float64(learned.work.value())
	if learned.slotTime.count.Load() > 0 {
		t.slotTime = float64(learned.slotTime.value())
	}
	t.flightTime = float64(learned.flightTime.value())
	return t
}

// publishedTimes returns the times that the configuration has.
func publishedTimes(engine *cluster.Engine, model *cluster.Model) Times {
	const thousand, million = 1e3, 1e6
	steps, factor := float64(max(engine.StepsPerPass, 1)), model.TimeFactor
	// A running request has its prompt and on average half of its answer as context.
	meanContext := float64(engine.MeanPrompt) + float64(engine.MeanOutput)/2
	perRequest := float64(engine.StepTimePerSequence) + float64(engine.ContextTime)*meanContext/thousand
	t := Times{
		passStep:       steps * float64(engine.StepTime) * factor,
		passPerRequest: steps * perRequest * factor,
		attention:      float64(engine.AttentionTime) / million * factor,
		slotTime:       float64(engine.MeanOutput) * (float64(engine.StepTime) + float64(engine.Slots)*perRequest) * factor,
	}
	if engine.PrefillRate > 0 {
		t.prefillToken = float64(time.Second) / engine.PrefillRate * factor
	}
	return t
}

// StateOf returns the state of an endpoint of the model.
func (t *Times) StateOf(now time.Time, e *catalog.Endpoint) EndpointState {
	s := EndpointState{
		InFlight: e.Load.TotalInFlight(), Slots: e.Slots, PendingPrefill: e.Load.PendingPrefill(), Work: e.Load.TotalWork(),
		Correction: e.Load.Correction(now, t.usual),
	}
	if peerPendingPrefill := e.Load.PeerPendingPrefill(); peerPendingPrefill > 0 && t.prefillToken > 0 {
		s.PendingPrefill += max(peerPendingPrefill-unit.Tokens(float64(minPeerAge)/t.prefillToken), 0)
	}
	s.WorkOf = s.InFlight
	if s.Work == e.Load.Work() {
		s.WorkOf = e.Load.InFlight()
	}
	return s
}

// FirstEvent returns the expected time to the first event of a request with the prompt at an endpoint
// in the state: the rest of the running pass, the pending prefill or the wait for a
// slot, the request's own prefill and pass, and the correction.
func (t *Times) FirstEvent(s EndpointState, prompt unit.Tokens) Forecast {
	f := t.published(s, prompt)
	f.Mean = max(f.Mean+s.Correction, 0)
	return f
}

// FirstEventInSlot returns the published time from a free slot to the first event of the request, at a
// replica whose other slots are in use, and zero if the service publishes none. The learned time is
// left out: where it is close to the objective, every request would count as late on arrival.
func (m *Model) FirstEventInSlot(p Profile, engine *cluster.Engine) time.Duration {
	if engine == nil || engine.StepTime <= 0 {
		return 0
	}
	model := engine.Model(p.Model)
	if model == nil {
		return 0
	}
	t := publishedTimes(engine, model)
	pass := t.passStep + t.passPerRequest*float64(engine.Slots)
	return time.Duration(pass/2 + t.prefill(p.PromptTokens) + pass)
}

// Ended returns the expected number of requests that end in the time while the number in flight stays
// the same, zero before the time of a request is known.
func (t *Times) Ended(inFlight float64, d time.Duration) float64 {
	flightTime := t.flightTime
	if flightTime <= 0 {
		flightTime = t.slotTime
	}
	if flightTime <= 0 {
		return 0
	}
	return inFlight * float64(d) / flightTime
}

// Arrived returns the expected number of requests of the offered load that arrive in the time, zero
// before the work of a request is known.
func (t *Times) Arrived(offered unit.Slots, d time.Duration) float64 {
	if t.meanWork <= 0 {
		return 0
	}
	return float64(offered) * float64(d) / t.meanWork
}

// prefill returns the prefill time of a prompt.
func (t *Times) prefill(prompt unit.Tokens) float64 {
	return float64(prompt)*t.prefillToken + float64(prompt)*float64(prompt)/2*t.attention
}

// published is FirstEvent without the correction.
func (t *Times) published(s EndpointState, prompt unit.Tokens) Forecast {
	running := float64(min(s.InFlight, max(s.Slots, 1)))
	pass := t.passStep + t.passPerRequest*running
	wait := t.wait(s)
	// Queued prompts are prefilled while slots become free, so the two times don't add up.
	prefillWait := float64(max(s.PendingPrefill, 0)) * t.prefillToken
	return Forecast{
		Mean:       time.Duration(pass/2 + max(wait, prefillWait) + t.prefill(prompt) + pass),
		Spread:     time.Duration(spreadPasses*pass + spreadOfWait*wait),
		passSpread: time.Duration(spreadPasses * pass),
	}
}

// wait returns the expected wait for a slot.
func (t *Times) wait(s EndpointState) float64 {
	slots := float64(max(s.Slots, 1))
	interval := t.slotTime / slots
	if t.meanWork > 0 {
		interval *= (float64(s.Work) + workWeight*t.meanWork) / ((float64(s.WorkOf) + workWeight) * t.meanWork)
	}
	excess := float64(s.InFlight) - slots
	bend := math.Sqrt(excess*excess + 4*queueSoftness*queueSoftness*slots)
	return interval * (excess + bend) / 2
}
