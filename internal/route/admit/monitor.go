package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/rcu"
)

// ContentionTime is the time for which requests that were short of slots count as contention.
const ContentionTime = 2 * time.Second

// Monitor observes, for each key of a queue, the rate at which slots become free at this daemon, the
// waits for them, and which priorities are short of slots. Its methods may be called from several
// goroutines. Only Return and the first observation of a key or priority take a lock.
type Monitor struct {
	clock clock.Clock
	// flows has a *Flow for each QueueKey.
	flows rcu.Map
}

// NewMonitor returns a Monitor without observations.
func NewMonitor(c clock.Clock) *Monitor {
	return &Monitor{clock: c}
}

// Flow returns the observations for the key.
func (m *Monitor) Flow(key QueueKey) *Flow {
	if f := m.known(key); f != nil {
		return f
	}
	f, _ := m.flows.Add(key, func() any { return &Flow{clock: m.clock} })
	return f.(*Flow)
}

// known returns the observations for the key, nil if there are none.
func (m *Monitor) known(key QueueKey) *Flow {
	f, _ := m.flows.Get(key).(*Flow)
	return f
}

// Peek returns the observations for the key for reading only. Without observations it returns an empty
// Flow and doesn't keep the key.
func (m *Monitor) Peek(key QueueKey) *Flow {
	if f := m.known(key); f != nil {
		return f
	}
	return &Flow{clock: m.clock}
}

// Contention returns the contention that this daemon has observed for the key.
func (m *Monitor) Contention(key QueueKey) Contention {
	f := m.known(key)
	if f == nil {
		return Contention{}
	}
	return f.contention()
}

// Flow has the observations for one key.
type Flow struct {
	clock    clock.Clock
	freed    freedSlots
	inFlight atomic.Int64
	// corrections has, by class, the logarithm of the mean ratio of actual to predicted waits, as
	// bits of a float64.
	corrections [Late + 1]atomic.Uint64

	// short has, for each unit.Priority, an *atomic.Int64 with the last time at which a request of the
	// priority was short of slots, as a clock.Instant.
	short rcu.Map

	mu sync.Mutex
	// lastReturn is the latest time at which a refused caller comes back, and refusals their number.
	lastReturn time.Time
	refusals   int
}

// SlotTaken records that a request of this daemon occupies a slot.
func (f *Flow) SlotTaken() {
	f.inFlight.Add(1)
}

// SlotFreed records that a slot became free at this daemon.
func (f *Flow) SlotFreed() {
	f.inFlight.Add(-1)
	f.freed.record(f.clock.Now())
}

// RecordShortage records that a request of the priority had to wait or was refused.
func (f *Flow) RecordShortage(priority unit.Priority) {
	f.shortageAt(priority).Store(int64(clock.InstantOf(f.clock.Now())))
}

// shortageAt returns the last time at which a request of the priority was short of slots.
func (f *Flow) shortageAt(priority unit.Priority) *atomic.Int64 {
	if at, found := f.short.Get(priority).(*atomic.Int64); found {
		return at
	}
	at, _ := f.short.Add(priority, func() any { return new(atomic.Int64) })
	return at.(*atomic.Int64)
}

func (f *Flow) contention() Contention {
	var c Contention
	since := int64(clock.InstantOf(f.clock.Now().Add(-ContentionTime)))
	for key, value := range f.short.Load() {
		priority, at := key.(unit.Priority), value.(*atomic.Int64)
		if at.Load() > since && (!c.Recent || priority > c.Priority) {
			c = Contention{Priority: priority, Recent: true}
		}
	}
	return c
}

// Bounds of the ratio of actual to predicted waits. Daemons of a large fleet have few requests each,
// and one that waits alone gets a slot much earlier than the rate of its own slots says.
const (
	minCorrection = 1.0 / 32
	maxCorrection = 8.0
	// correctionWeight weights the moving average: a new wait counts for one eighth.
	correctionWeight = 1.0 / 8
	// minPrediction keeps the ratio of waits of a few milliseconds from dominating the average.
	minPrediction = 10 * time.Millisecond
)

// RecordWait records the wait of a request of the class that was predicted. A wait that ended without
// a slot counts only if it was longer than predicted, as the actual one would have been longer yet.
func (f *Flow) RecordWait(class Class, predicted, waited time.Duration, gotSlot bool) {
	if predicted <= 0 || class > Late || !gotSlot && waited <= predicted {
		return
	}
	correction := &f.corrections[class]
	mean := math.Float64frombits(correction.Load())
	// The prediction contains the mean ratio already.
	ratio := mean + math.Log(float64(max(waited, minPrediction))/float64(max(predicted, minPrediction)))
	mean += (ratio - mean) * correctionWeight
	// Two concurrent waits may overwrite each other's update. A mean tolerates one missing value.
	correction.Store(math.Float64bits(min(max(mean, math.Log(minCorrection)), math.Log(maxCorrection))))
}

// Forecast predicts waits.
type Forecast struct {
	// FreedPerSecond is the rate at which slots become free at this daemon, zero if unknown.
	FreedPerSecond float64
	// Corrections has the mean ratio of actual to predicted waits by class.
	Corrections [Late + 1]float64
}

// Forecast returns the forecast from the slots that became free within the last two seconds. While the
// daemon has answered few requests, those that run and the time for which this request is expected to
// occupy a slot say more.
func (f *Flow) Forecast(work time.Duration) Forecast {
	forecast := Forecast{FreedPerSecond: f.freed.perSecond(f.clock.Now())}
	if work > 0 {
		forecast.FreedPerSecond = max(forecast.FreedPerSecond, float64(f.inFlight.Load())/work.Seconds())
	}
	for class := range forecast.Corrections {
		forecast.Corrections[class] = math.Exp(math.Float64frombits(f.corrections[class].Load()))
	}
	return forecast
}

// Wait returns the expected wait of a request of the class with the given number of requests
// ahead of it, zero if it is unknown.
func (f Forecast) Wait(class Class, ahead unit.Requests) time.Duration {
	if f.FreedPerSecond <= 0 {
		return 0
	}
	wait := float64(ahead+1) / f.FreedPerSecond * f.Corrections[class]
	const longest = time.Hour
	return time.Duration(min(wait, longest.Seconds()) * float64(time.Second))
}

// Spacing of late requests that leave a queue. lateRateFactor is the number of slots that late requests
// may take for each one that becomes free at this daemon.
const (
	lateRateFactor  = 2
	maxLateInterval = 100 * time.Millisecond
)

// LateInterval returns the least time between two late requests that leave the queue, zero if the rate
// of freed slots is unknown.
func (f Forecast) LateInterval() time.Duration {
	if f.FreedPerSecond <= 0 {
		return 0
	}
	return min(time.Duration(float64(time.Second)/f.FreedPerSecond/lateRateFactor), maxLateInterval)
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo one are spread evenly,
// however many there are.
const goldenRatio = 0.6180339887498949

// Return returns the time after which a refused caller finds a slot, at most patience. Callers that
// are refused together come back one by one at the rate at which slots become free, after those that
// wait now. Those for whom there is no slot within their patience come back
// spread evenly over its second half.
func (f *Flow) Return(waiting unit.Requests, forecast Forecast, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	after, isScheduled := f.nextReturn(now, waiting, forecast, patience)
	f.refusals++
	if isScheduled {
		f.lastReturn = now.Add(after)
	}
	return after
}

// PeekReturn returns what Return would return at the given time if no other caller was refused until
// then. The schedule doesn't change.
func (f *Flow) PeekReturn(at time.Time, waiting unit.Requests, forecast Forecast, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	after, _ := f.nextReturn(at, waiting, forecast, patience)
	return after
}

// nextReturn returns the time after which the next refused caller comes back, and whether that is when
// a slot is expected. The caller holds the lock.
func (f *Flow) nextReturn(now time.Time, waiting unit.Requests, forecast Forecast, patience time.Duration) (after time.Duration, isScheduled bool) {
	if forecast.FreedPerSecond > 0 {
		interval := time.Duration(float64(time.Second) / forecast.FreedPerSecond)
		at := now.Add(forecast.Wait(Late, waiting))
		if next := f.lastReturn.Add(interval); next.After(at) {
			at = next
		}
		if after := at.Sub(now); after <= patience {
			return after, true
		}
	}
	_, fraction := math.Modf(float64(f.refusals+1) * goldenRatio)
	return patience/2 + time.Duration(fraction*float64(patience)/2), false
}

// Counting of freed slots: freedBuckets complete buckets of bucketTime and the current one.
const (
	freedBuckets = 8
	bucketTime   = 250 * time.Millisecond
	countBits    = 24
)

// freedSlots counts the slots that became free within the last two seconds, without a lock.
type freedSlots struct {
	// buckets has the number of the bucket's time since 1970 above countBits, and the count below.
	buckets [freedBuckets + 1]atomic.Uint64
	// first is the time of the first slot, as a clock.Instant.
	first atomic.Int64
}

func (s *freedSlots) record(now time.Time) {
	instant := int64(clock.InstantOf(now))
	s.first.CompareAndSwap(0, instant)
	index := uint64(instant / int64(bucketTime))
	bucket := &s.buckets[index%uint64(len(s.buckets))]
	for {
		current := bucket.Load()
		next := current + 1
		if current>>countBits != index {
			next = index<<countBits + 1
		}
		if bucket.CompareAndSwap(current, next) {
			return
		}
	}
}

// perSecond returns the slots that became free a second, zero if there were none.
func (s *freedSlots) perSecond(now time.Time) float64 {
	instant := int64(clock.InstantOf(now))
	index := uint64(instant / int64(bucketTime))
	var count uint64
	for i := range s.buckets {
		if bucket := s.buckets[i].Load(); bucket>>countBits+freedBuckets >= index {
			count += bucket & (1<<countBits - 1)
		}
	}
	window := freedBuckets*bucketTime + time.Duration(instant%int64(bucketTime))
	if known := time.Duration(instant - s.first.Load()); known < window {
		window = max(known, bucketTime)
	}
	return float64(count) / window.Seconds()
}
