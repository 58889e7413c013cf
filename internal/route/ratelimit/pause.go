package ratelimit

import (
	"maps"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// maxPause bounds the time for which a server gets no requests after one rejection.
const maxPause = time.Hour

// unknownResponseTime is assumed of servers that have answered no request yet.
const unknownResponseTime = time.Second

// pause is a time in which a server wants no requests from this daemon.
type pause struct {
	until time.Time
	// fleetRate is the mean number of requests a second of a daemon that the server
	// completes after the pause.
	fleetRate unit.RequestRate
}

// pauses has the latest pause of each server. Changes replace the map.
type pauses struct {
	current atomic.Pointer[map[ident.ServerIncarnation]pause]
}

// of returns the pause of the server, and reports whether it has one now.
func (p *pauses) of(now time.Time, server ident.ServerIncarnation) (pause, bool) {
	found, ok := (*p.current.Load())[server]
	return found, ok && now.Before(found.until)
}

// add records the pause unless the server has one that ends later, and forgets those that are
// over. It returns whether the server had none. Calls must not overlap.
func (p *pauses) add(now time.Time, server ident.ServerIncarnation, added pause) bool {
	known, hasPause := p.of(now, server)
	if hasPause && !added.until.After(known.until) {
		return false
	}
	next := maps.Clone(*p.current.Load())
	maps.DeleteFunc(next, func(_ ident.ServerIncarnation, other pause) bool { return !now.Before(other.until) })
	next[server] = added
	p.current.Store(&next)
	return !hasPause
}

// Pause records that the server has rejected a request and wants none for the time.
func (l *Limits) Pause(e *catalog.Endpoint, d time.Duration) {
	d = min(d, maxPause)
	if d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	responseTime := e.Load.MeanResponseTime()
	if responseTime == 0 {
		responseTime = unknownResponseTime
	}
	rate := float64(e.Slots) / responseTime.Seconds() / float64(l.daemonCount())
	if l.pauses.add(now, e.Process, pause{now.Add(d), unit.RequestRate(rate)}) {
		l.Log.Info().Str("endpoint", string(e.ID)).Dur("pause_ms", d).Msg("server-paused")
	}
}
