package cold

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/route/table"
)

// Settings are the settings in the section "cold".
type Settings struct {
	// Interval is the time between two messages to an owner.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// TTL is the lifetime of a delegation.
	TTL settings.Duration `json:"ttl" validate:"duration"`
	// MaxHold is the time for which the requests of a silent daemon count as in
	// flight. It should exceed the longest request.
	MaxHold settings.Duration `json:"maxHold" validate:"duration"`
	// Limit bounds the concurrent requests from all daemons to a cold endpoint
	// that has no limit of its own.
	Limit unit.Requests `json:"limit" validate:"min=1"`
	// SuspectHold is the time for which an endpoint that reports that it is warm
	// is handled as cold because of slow first tokens.
	SuspectHold settings.Duration `json:"suspectHold" validate:"duration"`
}

func defaults() any {
	return &Settings{
		Interval:    settings.DurationOf(300 * time.Millisecond),
		TTL:         settings.DurationOf(2 * time.Second),
		MaxHold:     settings.DurationOf(time.Minute),
		Limit:       2,
		SuspectHold: settings.DurationOf(10 * time.Second),
	}
}

func init() {
	settings.Register("cold", defaults)
	plugin.Register(plugin.Controller, "cold", func(deps *plugin.Deps) (plugin.Plugin, error) {
		p := newPlugin(deps.Settings.Section("cold").(*Settings), deps.Clock)
		p.deps, p.log = deps, deps.Log
		deps.Provide(p)
		return p, nil
	})
}

// ownerLookup finds the owners of endpoints.
type ownerLookup interface {
	Self() ident.Instance
	Owner(key string) ident.Instance
	KnownDaemons() int
}

// peerClient sends messages to other daemons.
type peerClient interface {
	Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error)
}

// waitingCounter counts the requests that wait for an endpoint.
type waitingCounter interface {
	Waiting(e ident.Endpoint) unit.Requests
}

const topic = "cold"

// Plugin requests grants for this daemon and answers the requests of other
// daemons.
type Plugin struct {
	plugin.BackgroundTasks
	deps     *plugin.Deps
	log      zerolog.Logger
	clock    clock.Clock
	settings *Settings
	owners   ownerLookup
	peers    peerClient
	waiting  waitingCounter
	tables   *table.Publisher

	mu        sync.Mutex
	delegator *Delegator
	granter   *Granter
	// awaitingAnswer has the owners that have not answered the last message.
	awaitingAnswer map[ident.Instance]bool
	// suspectedSince has the endpoints that report that they are warm but that
	// this daemon suspects to be cold, with the time since which it does.
	suspectedSince map[ident.Endpoint]time.Time
}

func newPlugin(s *Settings, clk clock.Clock) *Plugin {
	now := clk.Now()
	o := Options{Incarnation: uint64(now.UnixNano()), Start: now, TTL: s.TTL.Duration, MaxHold: s.MaxHold.Duration}
	return &Plugin{
		clock: clk, settings: s, delegator: NewDelegator(o), granter: NewGranter(o),
		awaitingAnswer: make(map[ident.Instance]bool), suspectedSince: make(map[ident.Endpoint]time.Time),
	}
}

// publisher identifies the *table.Publisher among the plug-ins.
type publisher interface {
	Current() *table.Table
	Publish(endpoints []table.Endpoint) bool
}

// Start begins to request grants.
func (p *Plugin) Start(context.Context) error {
	var tables publisher
	if err := p.deps.Resolve(&p.owners, &p.peers, &tables); err != nil {
		return fmt.Errorf("cold: find the plug-ins that it uses: %w", err)
	}
	publisher, ok := tables.(*table.Publisher)
	if !ok {
		return fmt.Errorf("cold: endpoint table is published by a %T, expected a *table.Publisher", tables)
	}
	p.tables = publisher
	if err := p.deps.Resolve(&p.waiting); err != nil {
		p.log.Debug().Msg("cold-demand-unknown")
	}
	p.Every(p.clock, p.settings.Interval.Duration, p.requestGrants)
	return nil
}

// requestGrants sends each owner one message with the requests for all its
// endpoints. Owners that have not answered the last message are left out, so
// that a slow owner doesn't delay the others.
func (p *Plugin) requestGrants(context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.delegator.Prune(now, p.settings.MaxHold.Duration)
	p.granter.Prune(now)
	for owner, requests := range p.newRequests(now) {
		p.awaitingAnswer[owner] = true
		p.Go(func(ctx context.Context) { p.requestGrantsFrom(ctx, owner, requests) })
	}
}

// newRequests returns the grant requests for all cold endpoints by owner.
func (p *Plugin) newRequests(now time.Time) map[ident.Instance][]GrantRequest {
	requests := make(map[ident.Instance][]GrantRequest)
	for _, e := range p.tables.Current().Endpoints() {
		if e.Protocol != table.Engine || !p.isCold(e, now) {
			continue
		}
		owner := p.owners.Owner("replica/" + string(e.ID))
		if owner == "" || p.awaitingAnswer[owner] {
			continue
		}
		demand := EndpointDemand{
			Endpoint: e.ID, Owner: owner, Limit: e.ColdLimit, Daemons: int64(max(p.owners.KnownDaemons(), 1)),
			InFlight: e.Load.InFlight(),
		}
		if demand.Limit <= 0 {
			demand.Limit = p.settings.Limit
		}
		demand.Requests = demand.Limit
		if p.waiting != nil {
			demand.Requests = demand.InFlight + p.waiting.Waiting(e.ID)
		}
		requests[owner] = append(requests[owner], p.delegator.NewRequest(demand, now))
	}
	return requests
}

// isCold reports whether the endpoint gets only granted requests, because it
// reports that it is cold or because this daemon suspects it to be cold. Other
// daemons may not suspect the endpoint and so delegate no quota for it. Without
// a grant, no request could show that the endpoint is warm, so a suspicion ends
// after SuspectHold.
func (p *Plugin) isCold(e *table.Endpoint, now time.Time) bool {
	if e.Cold || !e.Load.IsSuspectedCold() {
		delete(p.suspectedSince, e.ID)
		return e.Cold
	}
	suspectedSince, known := p.suspectedSince[e.ID]
	if !known {
		p.suspectedSince[e.ID] = now
		return true
	}
	if now.Sub(suspectedSince) > p.settings.SuspectHold.Duration {
		delete(p.suspectedSince, e.ID)
		e.Load.ClearColdSuspicion()
		return false
	}
	return true
}

// requestGrantsFrom sends grant requests to an owner and sets the granted
// numbers of requests at the endpoints.
func (p *Plugin) requestGrantsFrom(ctx context.Context, owner ident.Instance, requests []GrantRequest) {
	grants, err := p.sendRequests(ctx, owner, requests)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaitingAnswer, owner)
	if err != nil {
		p.log.Debug().Err(err).Str("owner", string(owner)).Msg("cold-ask-failed")
		return
	}
	current := p.tables.Current()
	for _, g := range grants {
		n, until, ok := p.delegator.AcceptGrant(owner, g)
		if e := current.Endpoint(g.Endpoint); ok && e != nil {
			e.Load.SetColdGrant(n, until)
		}
	}
}

// sendRequests sends grant requests to an owner, which may be this daemon, and
// returns the owner's grants.
func (p *Plugin) sendRequests(ctx context.Context, owner ident.Instance, requests []GrantRequest) ([]Grant, error) {
	if owner == p.owners.Self() {
		return p.applyRequests(owner, requests), nil
	}
	body, err := json.Marshal(requests)
	if err != nil {
		return nil, err
	}
	answer, err := p.peers.Ask(ctx, owner, topic, body)
	if err != nil {
		return nil, err
	}
	var grants []Grant
	if err := json.Unmarshal(answer, &grants); err != nil {
		return nil, code.BadMessage.Wrap(err, "cold: decode grants of %s", owner)
	}
	return grants, nil
}

// Topic returns the topic of grant requests.
func (p *Plugin) Topic() string { return topic }

// Answer applies the requests of another daemon and returns the grants. Errors
// carry code.BadMessage.
func (p *Plugin) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	var requests []GrantRequest
	if err := json.Unmarshal(body, &requests); err != nil {
		return nil, code.BadMessage.Wrap(err, "cold: decode grant requests of %s", from)
	}
	for i := range requests {
		if err := requests[i].Check(); err != nil {
			return nil, code.BadMessage.Wrap(err, "cold: check grant requests of %s", from)
		}
	}
	return json.Marshal(p.applyRequests(from, requests))
}

// applyRequests applies a daemon's requests and returns the grants for them.
func (p *Plugin) applyRequests(from ident.Instance, requests []GrantRequest) []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	grants := make([]Grant, 0, len(requests))
	for _, r := range requests {
		// The clock is read for each request: a time read before a pause
		// would make the token and the grant too old, but never too new.
		grants = append(grants, p.granter.Grant(from, r, p.clock.Now()))
	}
	return grants
}
