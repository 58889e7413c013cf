package formation

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// loads paces the loads from the weight store.
type loads struct {
	rate   float64
	atOnce int
	// tokens are the loads that may begin now.
	tokens  float64
	updated time.Time
	now     time.Time
	// bootstrap says that loads are quick and don't count yet, however many run.
	bootstrap bool
	running   map[ident.Instance]load
}

type load struct {
	model ident.Model
	until time.Time
}

// Bounds of the pace: the part of the store's rate that is used, and the loads
// that may begin at once after a pause.
const (
	ratePart = 0.9
	burst    = 4
)

func newLoads(now time.Time) *loads {
	return &loads{tokens: burst, updated: now, running: make(map[ident.Instance]load)}
}

func (l *loads) configure(e *cluster.Engine) {
	l.rate, l.atOnce = e.MaxLoadsPerSecond, e.MaxConcurrentLoads
}

// begin refills the tokens and forgets the loads that have ended.
func (l *loads) begin(now time.Time, bootstrap bool) {
	l.tokens = min(burst, l.tokens+now.Sub(l.updated).Seconds()*l.rate*ratePart)
	l.now, l.updated, l.bootstrap = now, now, bootstrap
	for id, load := range l.running {
		if now.After(load.until) {
			delete(l.running, id)
		}
	}
}

// room reports whether n loads may begin. The members of a replica load
// together, so that the last one may exceed what the store does at once.
func (l *loads) room(n int) bool {
	if l.bootstrap {
		return true
	}
	if l.atOnce > 0 && len(l.running) >= l.atOnce {
		return false
	}
	return l.rate <= 0 || l.tokens >= min(float64(n), burst)
}

func (l *loads) add(id ident.Instance, model ident.Model, until time.Time) {
	l.running[id] = load{model, until}
	if !l.bootstrap {
		l.tokens--
	}
}

// done forgets the load of a server that has the weights.
func (l *loads) done(id ident.Instance) {
	delete(l.running, id)
}

// staging returns the model that the server loads.
func (l *loads) staging(id ident.Instance) ident.Model {
	return l.running[id].model
}
