// Package reach finds out which endpoints this daemon can connect to, and whether it has lost
// its links to all servers. An endpoint that accepts no connection may be down, or only the
// link to it; connections to other servers tell the two apart.
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// connector opens connections to servers.
type connector interface {
	AcceptsConnection(ctx context.Context, address string) bool
}

// serverCatalog has the current servers and endpoints.
type serverCatalog interface {
	Current() *catalog.Snapshot
}

// Options are the dependencies of a Monitor.
type Options struct {
	Clock      clock.Clock
	Log        zerolog.Logger
	DataCentre ident.DataCentre
	Connector  connector
	Catalog    serverCatalog
}

const (
	// connectTimeout bounds a connection. A server that works accepts it within the round
	// trip time.
	connectTimeout = 150 * time.Millisecond
	// lateMargin is the time by which connections may exceed their timeout. A process that was
	// paused or is short of processor time ends them later, and they say nothing.
	lateMargin = 100 * time.Millisecond
	// confirmTimeout bounds the connections that confirm lost links. A daemon that is short of
	// processor time handles connections late that servers have accepted.
	confirmTimeout = 2 * connectTimeout
	// recheckInterval is the time between two rounds while endpoints are unreachable.
	recheckInterval = 300 * time.Millisecond
	// localSample and remoteSample are the numbers of other servers, in this daemon's data
	// centre and elsewhere, to which a round connects to find out whether the links work.
	// A failure of a fabric domain or of a data centre leaves some of them.
	localSample  = 3
	remoteSample = 3
	// maxRechecks bounds the unreachable endpoints that one round checks again.
	maxRechecks = 16
)

// Monitor checks endpoints in rounds. Its methods may be called from several goroutines, and
// those for requests take no lock.
type Monitor struct {
	Options
	cutOff atomic.Bool
	// wake starts a round. It has a capacity of one.
	wake chan struct{}

	mu sync.Mutex
	// next is the round that has not begun.
	next *round
}

// round is one check of several servers.
type round struct {
	suspects map[ident.Instance]*catalog.Endpoint
	// decided is closed when it is known whether the links work.
	decided chan struct{}
}

func newRound() *round {
	return &round{suspects: make(map[ident.Instance]*catalog.Endpoint), decided: make(chan struct{})}
}

// New returns a Monitor that takes all endpoints for reachable.
func New(o Options) *Monitor {
	return &Monitor{Options: o, wake: make(chan struct{}, 1), next: newRound()}
}

// CutOff reports whether this daemon reaches no server, as far as it knows.
func (m *Monitor) CutOff() bool {
	return m.cutOff.Load()
}

// Suspect starts a check of an endpoint that has failed a request.
func (m *Monitor) Suspect(e *catalog.Endpoint) {
	m.join(e)
}

// LinksWork checks the links now, and reports whether any server accepts a connection.
func (m *Monitor) LinksWork(ctx context.Context) bool {
	r := m.join(nil)
	select {
	case <-r.decided:
	case <-ctx.Done():
	}
	return !m.CutOff()
}

// join returns the next round, which checks the endpoint, unless nil, and the links.
func (m *Monitor) join(e *catalog.Endpoint) *round {
	m.mu.Lock()
	r := m.next
	if e != nil {
		r.suspects[e.ID] = e
	}
	m.mu.Unlock()
	plugin.Wake(m.wake)
	return r
}

// Run checks endpoints until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for m.waitForRound(ctx) {
		m.mu.Lock()
		r := m.next
		m.next = newRound()
		m.mu.Unlock()
		m.runRound(ctx, r)
	}
}

// waitForRound waits until there is something to check. It returns false when the context has
// ended.
func (m *Monitor) waitForRound(ctx context.Context) bool {
	if m.CutOff() || len(m.unreachable()) > 0 {
		return plugin.SleepOrWake(ctx, m.Clock, recheckInterval, m.wake)
	}
	select {
	case <-m.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// unreachable returns the endpoints that accepted no connection in their last check.
func (m *Monitor) unreachable() []*catalog.Endpoint {
	var unreachable []*catalog.Endpoint
	m.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
		if e.Load.Unreachable() {
			unreachable = append(unreachable, e)
		}
	})
	return unreachable
}

// runRound connects to the suspects, to unreachable endpoints and to a sample of the other
// servers at the same time. If none accepts, it tries others before it concludes that the links
// are lost.
func (m *Monitor) runRound(ctx context.Context, r *round) {
	for _, e := range sample(m.unreachable(), maxRechecks) {
		r.suspects[e.ID] = e
	}
	result := m.tryConnections(ctx, r, connectTimeout)
	if result == silent && !m.CutOff() {
		result = m.tryConnections(ctx, r, confirmTimeout)
	}
	if result == silent {
		m.setCutOff(true)
	}
	if result != accepted {
		close(r.decided)
	}
}

// connectionResult is what the connections of a round show.
type connectionResult int

const (
	// inconclusive connections ended late, or there is no server.
	inconclusive connectionResult = iota
	// accepted says that a server accepted a connection.
	accepted
	// silent says that no server accepted one.
	silent
)

// tryConnections connects to the suspects of the round and to a sample of the other servers. The
// first one that accepts decides the round.
func (m *Monitor) tryConnections(ctx context.Context, r *round, timeout time.Duration) connectionResult {
	start := m.Clock.Now()
	ctx, cancel := clock.WithDeadline(ctx, m.Clock, start.Add(timeout))
	defer cancel()
	servers := m.sampleServers(r.suspects)
	results := make(chan bool)
	for _, s := range servers {
		go func() { results <- m.Connector.AcceptsConnection(ctx, s.Address) }()
	}
	isLate := func() bool { return m.Clock.Since(start) > timeout+lateMargin }
	for _, e := range r.suspects {
		go func() {
			reachable := m.Connector.AcceptsConnection(ctx, e.Address)
			if reachable || !isLate() {
				e.Load.SetUnreachable(!reachable)
			}
			results <- reachable
		}()
	}
	result := silent
	for range len(servers) + len(r.suspects) {
		if <-results && result != accepted {
			result = accepted
			m.setCutOff(false)
			close(r.decided)
		}
	}
	switch {
	case result == silent && len(servers) == 0:
		m.setCutOff(false)
		return inconclusive
	case result == silent && isLate():
		return inconclusive
	}
	return result
}

func (m *Monitor) setCutOff(cutOff bool) {
	if m.cutOff.Swap(cutOff) == cutOff {
		return
	}
	if cutOff {
		m.Log.Warn().Msg("links-lost")
		return
	}
	m.Log.Info().Msg("links-restored")
}

// sampleServers returns servers of this data centre and of others that are not suspects.
func (m *Monitor) sampleServers(suspects map[ident.Instance]*catalog.Endpoint) []*cluster.Server {
	var local, remote []*cluster.Server
	m.Catalog.Current().EachServer(func(s *cluster.Server) {
		switch {
		case suspects[s.ID] != nil || s.Draining:
		case s.DataCentre == m.DataCentre:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	})
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local[:min(localSample, len(local))], remote[:min(remoteSample, len(remote))]...)
}

// sample returns random endpoints of the list, which it reorders.
func sample(endpoints []*catalog.Endpoint, size int) []*catalog.Endpoint {
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:min(size, len(endpoints))]
}
