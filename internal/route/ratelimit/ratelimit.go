// Package ratelimit keeps the rates of requests that servers name as their limits, and
// divides each of them among the daemons. Daemons tell each other the limits that they have
// read, and each computes its share from the list of daemons, without waiting for another
// one. It also keeps the pauses that servers want from this daemon. Requests read shares and
// pauses, and take from shares, without a lock.
package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
)

// daemonList has the daemons that may send requests, including this one.
type daemonList interface {
	Daemons() []ident.Instance
}

// endpointCatalog has the endpoints, whose names are logged.
type endpointCatalog interface {
	Current() *catalog.Snapshot
}

// Options are the dependencies of Limits.
type Options struct {
	Clock   clock.Clock
	Log     zerolog.Logger
	Self    ident.Instance
	Daemons daemonList
	Catalog endpointCatalog
}

// Limits holds the limits that servers name. Its methods may be called from several
// goroutines.
type Limits struct {
	Options
	// shares has the share of each server with a limit. Changes replace the map.
	shares atomic.Pointer[map[ident.ServerIncarnation]*share]
	pauses pauses
	// admitted counts the requests that were admitted to servers with a limit.
	admitted atomic.Int64

	mu      sync.Mutex
	known   map[ident.ServerIncarnation]*namedLimit
	daemons []ident.Instance
	// refreshedAt is the time of the last check for changes on which shares depend, and
	// daemonsHash the hash of the daemons then.
	refreshedAt time.Time
	daemonsHash uint64
}

// New returns Limits without any limit.
func New(o Options) *Limits {
	l := &Limits{Options: o, known: make(map[ident.ServerIncarnation]*namedLimit)}
	l.shares.Store(&map[ident.ServerIncarnation]*share{})
	l.pauses.current.Store(&map[ident.ServerIncarnation]pause{})
	return l
}

// Register registers the metrics.
func (l *Limits) Register(registry prometheus.Registerer) error {
	limited := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminbay_limited_servers", Help: "Servers that name a limit of requests.",
	}, func() float64 { return float64(len(*l.shares.Load())) })
	admitted := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cuminbay_limited_requests_total", Help: "Requests of this daemon to servers that name a limit.",
	}, func() float64 { return float64(l.admitted.Load()) })
	for _, c := range []prometheus.Collector{limited, admitted} {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Admit reports whether a request may be sent to the endpoint now, and counts the request
// against this daemon's share of the endpoint's limit.
func (l *Limits) Admit(now time.Time, e *catalog.Endpoint) bool {
	if _, isPaused := l.pauses.of(now, e.Process); isPaused {
		return false
	}
	s := (*l.shares.Load())[e.Process]
	if s == nil {
		return true
	}
	if !s.take(now) {
		return false
	}
	l.admitted.Add(1)
	return true
}

// Available reports whether Admit would admit a request to the endpoint now.
func (l *Limits) Available(now time.Time, e *catalog.Endpoint) bool {
	if _, isPaused := l.pauses.of(now, e.Process); isPaused {
		return false
	}
	s := (*l.shares.Load())[e.Process]
	return s == nil || s.available(now)
}

// Observe records whether an answer of the endpoint names a limit. A nil limit says that it
// names none.
func (l *Limits) Observe(e *catalog.Endpoint, limit *unit.RequestRate) {
	if _, isLimited := (*l.shares.Load())[e.Process]; limit == nil && !isLimited {
		return
	}
	o := Observation{Server: e.Process}
	if limit != nil {
		o.Limit = min(max(*limit, minLimit), maxLimit)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	known := l.knownLimit(o.Server)
	known.own, known.ownAt = o, now
	l.record(known, o, now, l.Self)
}

// Observation says whether a recent answer of a server named a limit.
type Observation struct {
	Server ident.ServerIncarnation
	// Limit is zero if the answer named none.
	Limit unit.RequestRate
	// Age is the time since the answer.
	Age time.Duration
}

// Bounds of the observations that are sent to other daemons.
const (
	observationLifetime = 3 * time.Second
	maxObservations     = 32
)

// Observations returns this daemon's recent observations. If there are too many for one
// message, each call returns others.
func (l *Limits) Observations() []Observation {
	if len(*l.shares.Load()) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	var recent []Observation
	// The order of a map is random, so every observation gets its turn.
	for _, known := range l.known {
		age := now.Sub(known.ownAt)
		if known.ownAt.IsZero() || age > observationLifetime {
			continue
		}
		o := known.own
		o.Age = age
		if recent = append(recent, o); len(recent) == maxObservations {
			break
		}
	}
	return recent
}

// Merge records the observations of another daemon.
func (l *Limits) Merge(from ident.Instance, observations []Observation) {
	if len(observations) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, o := range observations {
		if o.Limit > 0 || l.known[o.Server] != nil {
			l.record(l.knownLimit(o.Server), o, now.Add(-o.Age), from)
		}
	}
}

func (l *Limits) knownLimit(server ident.ServerIncarnation) *namedLimit {
	known := l.known[server]
	if known == nil {
		known = &namedLimit{server: server}
		l.known[server] = known
	}
	return known
}

// record applies an observation that was made at the given time. The caller holds the lock.
func (l *Limits) record(known *namedLimit, o Observation, at time.Time, from ident.Instance) {
	before := known.effectiveLimit()
	known.observe(o.Limit, at)
	after := known.effectiveLimit()
	if before == after {
		return
	}
	share := l.publish(known, l.Clock.Now())
	event := "limit-named"
	if after == 0 {
		event = "limit-ended"
	}
	l.Log.Info().Str("endpoint", string(l.nameOf(known.server))).Float64("limit", float64(after)).
		Float64("before", float64(before)).Float64("share", float64(share)).
		Int("daemons", len(l.daemons)).Str("from", string(from)).Msg(event)
}

// nameOf returns the name of the server, empty if it isn't an endpoint now.
func (l *Limits) nameOf(server ident.ServerIncarnation) ident.Instance {
	var name ident.Instance
	l.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if e.Process == server {
			name = e.ID
		}
	})
	return name
}

// publish replaces the share of the server and returns its rate. The caller holds the lock.
func (l *Limits) publish(known *namedLimit, now time.Time) unit.RequestRate {
	daemonCount := l.daemonCount()
	current := *l.shares.Load()
	existing := current[known.server]
	limit := known.effectiveLimit()
	if limit == 0 {
		if existing != nil {
			next := maps.Clone(current)
			delete(next, known.server)
			l.shares.Store(&next)
		}
		return 0
	}
	known.dividedAsStale = known.isStale(now)
	rate := shareOf(division{limit: limit, server: known.server, self: l.Self, daemons: l.daemons, stale: known.dividedAsStale})
	fleetRate := limit / unit.RequestRate(daemonCount)
	if existing != nil {
		existing.setRates(now, rate, fleetRate)
		return rate
	}
	next := maps.Clone(current)
	next[known.server] = newShare(now, rate, fleetRate)
	l.shares.Store(&next)
	return rate
}

// daemonCount returns the number of daemons, which it lists if they aren't known yet. The
// caller holds the lock.
func (l *Limits) daemonCount() int {
	if len(l.daemons) == 0 {
		l.daemons = l.Daemons.Daemons()
	}
	return max(len(l.daemons), 1)
}

// refreshInterval is the time between two checks for changes on which shares depend.
const refreshInterval = 500 * time.Millisecond

// Refresh computes shares again if the daemons have changed, or the knowledge of a limit has
// become stale. It is called often.
func (l *Limits) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if len(l.known) == 0 || now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.refreshedAt, l.daemons = now, l.Daemons.Daemons()
	hash := hashOf(l.daemons)
	haveDaemonsChanged := hash != l.daemonsHash
	l.daemonsHash = hash
	for server, known := range l.known {
		isForgotten := now.Sub(known.confirmedAt()) > forgetTime
		if isForgotten {
			delete(l.known, server)
			known.limit = 0
		}
		if isForgotten || haveDaemonsChanged || known.isStale(now) != known.dividedAsStale {
			l.publish(known, now)
		}
	}
}

// hashOf returns a hash of the daemons that doesn't depend on their order.
func hashOf(daemons []ident.Instance) uint64 {
	var hash uint64
	for _, daemon := range daemons {
		hash += xxhash.Sum64String(string(daemon))
	}
	return hash
}
