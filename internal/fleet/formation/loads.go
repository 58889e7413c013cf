package formation

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// loadLimiter paces the loads from the weight store.
type loadLimiter struct {
	perSecond     float64
	maxConcurrent int
	// tokens are the loads that may begin now.
	tokens  float64
	updated time.Time
	now     time.Time
	// bootstrap says that loads are quick and don't count yet, however many run.
	bootstrap bool
	running   map[ident.Instance]load
}

type load struct {
	model       ident.Model
	expectedEnd time.Time
}

// Bounds of the pace: the part of the store's rate that is used, and the loads
// that may begin at once after a pause.
const (
	rateFraction = 0.9
	maxBurst     = 4
)

func newLoadLimiter(now time.Time) *loadLimiter {
	return &loadLimiter{tokens: maxBurst, updated: now, running: make(map[ident.Instance]load)}
}

func (l *loadLimiter) configure(e *cluster.Engine) {
	l.perSecond, l.maxConcurrent = e.MaxLoadsPerSecond, e.MaxConcurrentLoads
}

// refill refills the tokens and forgets the loads that have ended.
func (l *loadLimiter) refill(now time.Time, bootstrap bool) {
	l.tokens = min(maxBurst, l.tokens+now.Sub(l.updated).Seconds()*l.perSecond*rateFraction)
	l.now, l.updated, l.bootstrap = now, now, bootstrap
	for id, load := range l.running {
		if now.After(load.expectedEnd) {
			delete(l.running, id)
		}
	}
}

// allows reports whether n loads may begin. The members of a replica load
// together, so that the last one may exceed what the store does at once.
func (l *loadLimiter) allows(n int) bool {
	if l.bootstrap {
		return true
	}
	if l.maxConcurrent > 0 && len(l.running) >= l.maxConcurrent {
		return false
	}
	return l.perSecond <= 0 || l.tokens >= min(float64(n), maxBurst)
}

func (l *loadLimiter) add(id ident.Instance, model ident.Model, expectedEnd time.Time) {
	l.running[id] = load{model, expectedEnd}
	if !l.bootstrap {
		l.tokens--
	}
}

// remove forgets the load of a server that has the weights.
func (l *loadLimiter) remove(id ident.Instance) {
	delete(l.running, id)
}

// loadingModel returns the model that the server loads.
func (l *loadLimiter) loadingModel(id ident.Instance) ident.Model {
	return l.running[id].model
}
