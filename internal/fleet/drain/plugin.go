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
		return p, nil
	})
}

// ownerLookup assigns keys to the live daemons of the data centre.
type ownerLookup interface {
	Self() ident.Instance
	Owners(key string, n int) []ident.Instance
}

// platform is the part of the platform's key-value store that this package uses.
type platform interface {
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
}

// eventRecorder is the part of the timeline that this package uses.
type eventRecorder interface {
	Record(name, subject string, pairs ...string)
}

// Intervals and time limits of the calls to the platform.
const (
	writeInterval = time.Second
	readInterval  = 5 * time.Second
	callTimeout   = 3 * time.Second
	// readerCount is the number of daemons of a data centre that read the
	// platform. The other daemons get the statuses from their peers.
	readerCount = 2
)

// Plugin exchanges the statuses with peers and with the platform.
type Plugin struct {
	*State
	plugin.BackgroundTasks
	deps     *plugin.Deps
	log      zerolog.Logger
	clock    clock.Clock
	timeline eventRecorder
	owners   ownerLookup
	platform platform

	mu sync.Mutex
	// unwritten has the targets whose current status may not be on the platform.
	unwritten       map[Target]bool
	wake            chan struct{}
	initialReadDone bool
}

func newPlugin(state *State, clk clock.Clock) *Plugin {
	return &Plugin{State: state, clock: clk, unwritten: make(map[Target]bool), wake: make(chan struct{}, 1)}
}

// Start starts reading from and writing to the platform in the background.
func (p *Plugin) Start(context.Context) error {
	if err := p.deps.Resolve(&p.owners, &p.platform); err != nil {
		return fmt.Errorf("drain: find the plug-ins that it uses: %w", err)
	}
	p.Go(p.writeLoop)
	p.Every(p.clock, readInterval, p.readStatuses)
	return nil
}

// Set takes the target out of service or back into service. The status is in
// effect at this daemon when Set returns; peers and the platform get it in the
// background.
func (p *Plugin) Set(_ context.Context, t Target, drained bool) error {
	status, err := p.SetStatus(t, drained)
	if err != nil {
		return err
	}
	p.timeline.Record("drain-set", t.String(), "out", strconv.FormatBool(drained), "stamp", status.Timestamp.String())
	p.enqueue(t)
	return nil
}

// Section returns the name of the section that daemons exchange.
func (p *Plugin) Section() string { return "drain" }

// IsGlobal reports that the section is exchanged with other data centres too.
func (p *Plugin) IsGlobal() bool { return true }

// Merge applies the statuses of a peer. If one is refused, the others are still
// applied.
//
// Errors carry code.BadMessage.
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
		return code.BadMessage.Wrap(err, "drain: merge delta from %s", from)
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
	plugin.Wake(p.wake)
}

// writeLoop writes new statuses to the platform at once, and repeats failed writes
// every writeInterval.
func (p *Plugin) writeLoop(ctx context.Context) {
	for {
		if !plugin.SleepOrWake(ctx, p.clock, clock.Jitter(writeInterval), p.wake) {
			return
		}
		for _, t := range p.unwrittenTargets() {
			p.writeStatus(ctx, t)
		}
	}
}

// unwrittenTargets returns the targets whose current status may not be on the
// platform.
func (p *Plugin) unwrittenTargets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]Target, 0, len(p.unwritten))
	for t := range p.unwritten {
		targets = append(targets, t)
	}
	return targets
}

// writeStatus stores the target's current status unless the platform has a newer
// one. The first swap expects the key to be absent; a conflict returns the current
// entry, whose revision the next swap expects.
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
			p.markWritten(status)
			return
		case store.Conflict:
			if stored, ok := p.applyStored(entry); ok && !status.Supersedes(&stored) {
				p.markWritten(status)
				return
			}
			swap.ExpectedRevision = entry.Revision
		default:
			p.log.Debug().Err(err).Str("target", t.String()).Msg("drain-write-unknown")
			return
		}
	}
}

// markWritten removes the status's target from unwritten, unless a newer status of the
// target has been applied since.
func (p *Plugin) markWritten(status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, _ := p.Get(status.Target); current == status || !current.Supersedes(&status) {
		delete(p.unwritten, status.Target)
	}
}

// applyStored decodes and applies a status that the platform stores. It returns
// false if the status is malformed or refused.
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

// readStatuses reads the statuses from the platform: once after the start, and
// then only if this daemon is one of the readers. A reader also writes statuses
// that the platform lacks, since the daemon that set them may have failed.
func (p *Plugin) readStatuses(ctx context.Context) {
	isReader := slices.Contains(p.owners.Owners("drain", readerCount), p.owners.Self())
	if p.initialReadDone && !isReader {
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
	if !isReader {
		return
	}
	for _, status := range p.Statuses() {
		if platformStatus, ok := stored[status.Target]; !ok || status.Supersedes(&platformStatus) {
			p.enqueue(status.Target)
		}
	}
}
