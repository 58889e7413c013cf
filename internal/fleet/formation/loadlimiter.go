package formation

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// loadLimiter limits the rate of the loads from the weight store, and how many
// run at the same time.
type loadLimiter struct {
	perSecond     float64
	maxConcurrent int
	// tokens is the number of loads that may start now.
	tokens     float64
	refilledAt time.Time
	now        time.Time
	// bootstrap says that the system starts for the first time: loads are then
	// quick and not limited.
	bootstrap bool
	running   map[ident.Instance]modelLoad
	// busyUntil has the servers that rejected a load, since they carry out another
	// order, with the time at which they are asked again.
	busyUntil map[ident.Instance]time.Time
}

// modelLoad is a load of a model's weights that runs on a server.
type modelLoad struct {
	model       ident.Model
	expectedEnd time.Time
}

// rateFraction is the fraction of the weight store's rate that is used.
// maxBurst is the number of loads that may start together after a pause.
const (
	rateFraction = 0.9
	maxBurst     = 4
)

func newLoadLimiter(now time.Time) *loadLimiter {
	return &loadLimiter{tokens: maxBurst, refilledAt: now, running: make(map[ident.Instance]modelLoad), busyUntil: make(map[ident.Instance]time.Time)}
}

// setLimits sets the limits of the service's engine.
func (l *loadLimiter) setLimits(e *cluster.Engine) {
	l.perSecond, l.maxConcurrent = e.MaxLoadsPerSecond, e.MaxConcurrentLoads
}

// refill adds the tokens since the last call and removes the loads whose
// expected end has passed.
func (l *loadLimiter) refill(now time.Time, bootstrap bool) {
	l.tokens = min(maxBurst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond*rateFraction)
	l.now, l.refilledAt, l.bootstrap = now, now, bootstrap
	for id, load := range l.running {
		if now.After(load.expectedEnd) {
			delete(l.running, id)
		}
	}
	for id, until := range l.busyUntil {
		if !now.Before(until) {
			delete(l.busyUntil, id)
		}
	}
}

// allowsLoads reports whether n loads may start. The members of a replica load
// together, so the last replica may exceed maxConcurrent.
func (l *loadLimiter) allowsLoads(n int) bool {
	if l.bootstrap {
		return true
	}
	if l.maxConcurrent > 0 && len(l.running) >= l.maxConcurrent {
		return false
	}
	return l.perSecond <= 0 || l.tokens >= min(float64(n), maxBurst)
}

// addLoad records a load and takes a token.
func (l *loadLimiter) addLoad(id ident.Instance, model ident.Model, expectedEnd time.Time) {
	l.running[id] = modelLoad{model, expectedEnd}
	if !l.bootstrap {
		l.tokens--
	}
}

// removeLoad removes the load of a server that has the weights or was removed.
func (l *loadLimiter) removeLoad(id ident.Instance) {
	delete(l.running, id)
}

// busyTime is the time for which a server that rejected a load gets no further one.
const busyTime = 2 * time.Second

// rejectLoad records that a server rejected its load. An earlier planner may have ordered a
// load of another model, which the server's entry doesn't show.
func (l *loadLimiter) rejectLoad(id ident.Instance) {
	if _, ordered := l.running[id]; ordered && !l.bootstrap {
		l.tokens = min(maxBurst, l.tokens+1)
	}
	delete(l.running, id)
	l.busyUntil[id] = l.now.Add(busyTime)
}

// isBusy reports whether the server rejected a load recently.
func (l *loadLimiter) isBusy(id ident.Instance) bool {
	_, busy := l.busyUntil[id]
	return busy
}

// loadingModel returns the model whose weights the server loads, empty for
// none.
func (l *loadLimiter) loadingModel(id ident.Instance) ident.Model {
	return l.running[id].model
}
