package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

func init() {
	plugin.Register(plugin.Decision, "drain", func(deps *plugin.Deps) (plugin.Plugin, error) {
		self := deps.Settings.Daemon.Instance
		p := newPlugin(New(Options{Self: self, HybridClock: deps.Timeline}), deps.Clock)
		p.deps, p.log, p.timeline = deps, deps.Log, deps.Timeline
		deps.Provide(p)
		deps.Provide(&inFlightTopic{deps: deps})
		return p, nil
	})
}

type members interface {
	Self() ident.Instance
	Owners(key string, n int) []ident.Instance
}

type platform interface {
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
}

type eventRecorder interface {
	Record(name, subject string, pairs ...string)
}

// Times of the work in the background.
const (
	writeInterval = time.Second
	readInterval  = 5 * time.Second
	callTimeout   = 3 * time.Second
	// readerCount is the number of daemons of a data centre that read the
	// platform; the others hear from them.
	readerCount = 2
)

// Plugin propagates the marks by peers and platform.
type Plugin struct {
	*State
	plugin.BackgroundTasks
	deps     *plugin.Deps
	log      zerolog.Logger
	clock    clock.Clock
	timeline eventRecorder
	members  members
	platform platform

	mu sync.Mutex
	// unwritten are the targets whose mark the platform may lack.
	unwritten       map[Target]bool
	wake            chan struct{}
	initialReadDone bool
}

func newPlugin(m *State, clk clock.Clock) *Plugin {
	return &Plugin{State: m, clock: clk, unwritten: make(map[Target]bool), wake: make(chan struct{}, 1)}
}

// Start begins to read and write the platform.
func (p *Plugin) Start(context.Context) error {
	if err := p.deps.Resolve(&p.members, &p.platform); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	p.Go(p.writeLoop)
	p.Every(p.clock, readInterval, p.readStatuses)
	return nil
}

// Set takes the target out of service or returns it. It is in effect at this
// daemon on return; peers and platform follow in the background.
func (p *Plugin) Set(_ context.Context, t Target, drained bool) error {
	status, err := p.SetStatus(t, drained)
	if err != nil {
		return err
	}
	p.timeline.Record("drain-set", t.String(), "out", strconv.FormatBool(drained), "stamp", status.Timestamp.String())
	p.enqueue(t)
	return nil
}

// Section is the peer section's name.
func (p *Plugin) Section() string { return "drain" }

// Global says that the marks go to every data centre.
func (p *Plugin) Global() bool { return true }

// Merge applies the marks of a peer. A refused mark doesn't stop the others.
func (p *Plugin) Merge(from ident.Instance, delta []byte) error {
	received, err := decodeDelta(delta)
	if err != nil {
		return err
	}
	var failures []error
	for _, status := range received {
		failures = append(failures, p.applyAndRecord(status, string(from)))
	}
	if err := errors.Join(failures...); err != nil {
		return code.BadMessage.Wrap(err, "drain: delta of %s", from)
	}
	return nil
}

func (p *Plugin) applyAndRecord(status Status, from string) error {
	applied, err := p.ApplyRemote(status)
	if applied {
		p.timeline.Record("drain-heard", status.Target.String(), "out", strconv.FormatBool(status.Drained),
			"stamp", status.Timestamp.String(), "by", string(status.SetBy), "from", from)
	}
	return err
}

func (p *Plugin) enqueue(t Target) {
	p.mu.Lock()
	p.unwritten[t] = true
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes new marks at once and those that failed once an interval.
func (p *Plugin) writeLoop(ctx context.Context) {
	for {
		if !plugin.SleepOrWake(ctx, p.clock, clock.Jitter(writeInterval), p.wake) {
			return
		}
		for _, t := range p.pendingTargets() {
			p.writeStatus(ctx, t)
		}
	}
}

// pendingTargets returns the targets whose mark the platform may lack.
func (p *Plugin) pendingTargets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]Target, 0, len(p.unwritten))
	for t := range p.unwritten {
		targets = append(targets, t)
	}
	return targets
}

// writeStatus stores the current mark unless the platform has a newer one. The first
// try takes the key to be absent; a lost swap returns the current entry.
func (p *Plugin) writeStatus(ctx context.Context, t Target) {
	status, _ := p.Get(t)
	raw, err := json.Marshal(status)
	if err != nil {
		return
	}
	swap := store.Swap{Key: store.DrainPrefix + store.Key(t.String()), Value: raw}
	const maxAttempts = 4
	for range maxAttempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		entry, result, err := p.platform.Swap(callCtx, swap)
		cancel()
		switch result {
		case store.Applied:
			p.clearPending(status)
			return
		case store.Conflict:
			if stored, ok := p.applyStored(entry); ok && !status.Supersedes(&stored) {
				p.clearPending(status)
				return
			}
			swap.ExpectedRevision = entry.Revision
		default:
			p.log.Debug().Err(err).Str("target", t.String()).Msg("drain-write-unknown")
			return
		}
	}
}

// clearPending ends the writing of the mark's target unless there is a newer mark.
func (p *Plugin) clearPending(status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, _ := p.Get(status.Target); current == status || !current.Supersedes(&status) {
		delete(p.unwritten, status.Target)
	}
}

// applyStored decodes and applies a mark of the platform.
func (p *Plugin) applyStored(e store.Entry) (Status, bool) {
	var status Status
	if err := json.Unmarshal(e.Value, &status); err != nil {
		p.log.Warn().Err(err).Str("key", string(e.Key)).Msg("drain-mark-malformed")
		return Status{}, false
	}
	if err := p.applyAndRecord(status, "platform"); err != nil {
		p.log.Warn().Err(err).Str("key", string(e.Key)).Msg("drain-mark-refused")
		return Status{}, false
	}
	return status, true
}

// readStatuses reads the platform's marks, once after the start and then if this
// daemon is one of the readers. The readers also write marks that the platform
// lacks, since the daemon that set one may be gone.
func (p *Plugin) readStatuses(ctx context.Context) {
	reader := slices.Contains(p.members.Owners("drain", readerCount), p.members.Self())
	if p.initialReadDone && !reader {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := p.platform.List(callCtx, store.DrainPrefix)
	if err != nil {
		p.log.Debug().Err(err).Msg("drain-read-failed")
		return
	}
	p.initialReadDone = true
	stored := make(map[Target]Status, len(entries))
	for _, e := range entries {
		if status, ok := p.applyStored(e); ok {
			stored[status.Target] = status
		}
	}
	if !reader {
		return
	}
	for _, mark := range p.Marks() {
		if onPlatform, ok := stored[mark.Target]; !ok || mark.Supersedes(&onPlatform) {
			p.enqueue(mark.Target)
		}
	}
}

// InFlightQuestion is the body of a question of topic "inflight".
type InFlightQuestion struct {
	Endpoint ident.Endpoint `json:"endpoint"`
}

// InFlightAnswer is the number of requests in flight from one daemon.
type InFlightAnswer struct {
	Requests unit.Requests `json:"requests"`
}

type inFlightCounter interface {
	InFlightTo(e ident.Endpoint) unit.Requests
}

// inFlightTopic answers how many requests of this daemon an endpoint has, so that a
// planned stop can wait for them.
type inFlightTopic struct {
	deps *plugin.Deps
}

// Topic is the topic's name.
func (i *inFlightTopic) Topic() string { return "inflight" }

// Answer returns the count as an InFlightAnswer.
func (i *inFlightTopic) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	var question InFlightQuestion
	if err := json.Unmarshal(body, &question); err != nil {
		return nil, code.BadMessage.Wrap(err, "inflight: question of %s", from)
	}
	var counter inFlightCounter
	if err := i.deps.Resolve(&counter); err != nil {
		return nil, code.Internal.Wrap(err, "inflight")
	}
	return json.Marshal(InFlightAnswer{Requests: counter.InFlightTo(question.Endpoint)})
}
