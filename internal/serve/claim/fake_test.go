package claim

import (
	"context"
	"errors"
	"sync"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// fault is what the fake platform does to one call.
type fault int

const (
	healthy        fault = iota
	lostAnswer           // a write takes effect, its answer is lost; a read fails
	delayedWrite         // a write has no answer and may take effect later
	outage               // nothing happens and there is no answer
	delayedApplied       // a delayed write takes effect just before the call
)

var errLost = errors.New("no answer")

// fakePlatform is a compare-and-swap map with faults.
type fakePlatform struct {
	mu       sync.Mutex
	entries  map[store.Key]store.Entry
	revision unit.Revision
	faults   []fault
	delayed  []store.Swap
	down     bool
	delay    func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{entries: make(map[store.Key]store.Entry)}
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *fakePlatform) nextFault() fault {
	if p.down {
		return outage
	}
	if len(p.faults) == 0 {
		return healthy
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	if f == delayedApplied {
		p.applyDelayed()
	}
	return f
}

// applyDelayed lets the oldest delayed write reach the platform.
func (p *fakePlatform) applyDelayed() {
	if len(p.delayed) > 0 {
		s := p.delayed[0]
		p.delayed = p.delayed[1:]
		p.apply(s)
	}
}

func (p *fakePlatform) apply(s store.Swap) (store.Entry, bool) {
	if p.entries[s.Key].Revision != s.ExpectedRevision {
		return p.entries[s.Key], false
	}
	p.revision++
	e := store.Entry{Key: s.Key, Value: s.Value, Revision: p.revision}
	p.entries[s.Key] = e
	return e, true
}

func (p *fakePlatform) Get(_ context.Context, key store.Key) (store.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.nextFault(); f == outage || f == lostAnswer {
		return store.Entry{}, errLost
	}
	return p.entries[key], nil
}

func (p *fakePlatform) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	if p.delay != nil {
		p.delay()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.nextFault() {
	case lostAnswer:
		p.apply(s)
		return store.Entry{}, store.Unknown, errLost
	case delayedWrite:
		p.delayed = append(p.delayed, s)
		return store.Entry{}, store.Unknown, errLost
	case outage:
		return store.Entry{}, store.Unknown, errLost
	}
	e, done := p.apply(s)
	if !done {
		return e, store.Conflict, nil
	}
	return e, store.Applied, nil
}

// fakePeers passes a question to the live daemon of that name.
type fakePeers struct {
	daemons     map[ident.Instance]*Claims
	unreachable bool
}

func (p *fakePeers) Ask(ctx context.Context, to ident.Instance, _ string, body []byte) ([]byte, error) {
	if c := p.daemons[to]; c != nil && !p.unreachable {
		return c.Answer(ctx, "peer", body)
	}
	return nil, errLost
}
