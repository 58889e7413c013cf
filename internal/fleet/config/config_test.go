package config_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/config"
)

// swapStep is one answer of the fake platform to a swap.
type swapStep struct {
	// answerLost drops the answer; applied says whether the write took effect.
	answerLost, applied bool
	// notSent says that nothing was sent.
	notSent bool
	// concurrentWrite is another operator's value that is written first.
	concurrentWrite string
}

// fakePlatform is a platform of one key that follows a script.
type fakePlatform struct {
	mu        sync.Mutex
	entry     store.Entry
	steps     []swapStep
	swaps     int
	getFails  bool
	staleList bool
	watches   chan chan error
}

func (p *fakePlatform) Get(context.Context, store.Key) (store.Entry, error) {
	if p.getFails {
		return store.Entry{}, code.PlatformUnavailable.New("get")
	}
	return p.entry, nil
}

func (p *fakePlatform) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleList {
		return nil, 1, nil
	}
	return []store.Entry{p.entry}, p.entry.Revision, nil
}

func (p *fakePlatform) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	var step swapStep
	if p.swaps < len(p.steps) {
		step = p.steps[p.swaps]
	}
	p.swaps++
	if step.notSent {
		return store.Entry{}, store.Unknown, code.PlatformUnavailable.New("refused")
	}
	if step.concurrentWrite != "" {
		p.entry = store.Entry{Key: s.Key, Value: []byte(step.concurrentWrite), Revision: p.entry.Revision + 1}
	}
	result := store.Conflict
	if p.entry.Revision == s.ExpectedRevision && (!step.answerLost || step.applied) {
		p.entry = store.Entry{Key: s.Key, Value: s.Value, Revision: s.ExpectedRevision + 1}
		result = store.Applied
	}
	if step.answerLost {
		return store.Entry{}, store.Unknown, code.WithOutcome(code.PlatformUnavailable.New("lost"), code.Unknown)
	}
	return p.entry, result, nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ store.Key, _ unit.Revision, emit func([]store.Change, unit.Revision)) error {
	broken := make(chan error)
	emit([]store.Change{{Entry: store.Entry{Key: organisationName(1).Key()}, Removed: true}}, 0)
	select {
	case p.watches <- broken:
	case <-ctx.Done():
		return nil
	}
	select {
	case err := <-broken:
		return err
	case <-ctx.Done():
		return nil
	}
}

// TestWrite guards against a write that is reported as lost or done when it is
// not, and against an invalid record in the platform.
func TestWrite(t *testing.T) {
	const other = `{"schema":2,"keys":["other"]}`
	tests := map[string]struct {
		raw      string
		old      unit.Revision
		steps    []swapStep
		getFails bool
		want     unit.Revision
		code     code.Code
		outcome  code.Outcome
		swaps    int
	}{
		"written":                       {raw: validValue, old: 5, want: 6, swaps: 1},
		"invalid":                       {raw: invalidValue, old: 5, code: code.BadRecord, outcome: code.NotRun},
		"unknown schema":                {raw: unknownSchemaValue, old: 5, code: code.UnknownSchema, outcome: code.NotRun},
		"old revision":                  {raw: validValue, old: 4, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"same value by another":         {raw: validValue, old: 5, steps: []swapStep{{concurrentWrite: validValue}}, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"answer lost, written":          {raw: validValue, old: 5, steps: []swapStep{{answerLost: true, applied: true}}, want: 6, swaps: 1},
		"answer lost, not written":      {raw: validValue, old: 5, steps: []swapStep{{answerLost: true}}, want: 6, swaps: 2},
		"answer lost, another in place": {raw: validValue, old: 5, steps: []swapStep{{answerLost: true, concurrentWrite: other}}, code: code.RecordRace, outcome: code.Unknown, swaps: 1},
		"always lost":                   {raw: validValue, old: 5, steps: []swapStep{{answerLost: true}, {answerLost: true}, {answerLost: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 3},
		"no read-back":                  {raw: validValue, old: 5, steps: []swapStep{{answerLost: true}}, getFails: true, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 1},
		"refused":                       {raw: validValue, old: 5, steps: []swapStep{{notSent: true}}, code: code.PlatformUnavailable, outcome: code.NotRun, swaps: 1},
		"lost, then refused":            {raw: validValue, old: 5, steps: []swapStep{{answerLost: true}, {notSent: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := &fakePlatform{entry: store.Entry{Key: organisationName(1).Key(), Value: []byte(withdrawnValue), Revision: 5}, steps: test.steps, getFails: test.getFails}
			cfg := config.New(config.Options{Clock: clockwork.NewFakeClock(), Events: eventCounts{}, Platform: p})
			revision, err := cfg.Write(context.Background(), organisationName(1), test.old, []byte(test.raw))
			c.Assert(revision, qt.Equals, test.want)
			c.Assert(p.swaps, qt.Equals, test.swaps)
			if test.want > 0 {
				c.Assert(err, qt.IsNil)
				c.Assert(cfg.View().OrganisationByKey("k"), qt.IsNotNil)
				return
			}
			c.Assert(code.Of(err), qt.Equals, test.code)
			c.Assert(code.OutcomeOf(err), qt.Equals, test.outcome)
			if test.code == code.RecordRace {
				c.Assert(err, qt.ErrorMatches, ".*revision "+map[bool]string{true: "6", false: "5"}[len(test.steps) > 0]+" is in place.*")
			}
		})
	}
}

// fakeMembers is a view of daemons whose owners change.
type fakeMembers struct {
	mu     sync.Mutex
	owners []ident.Instance
}

func (o *fakeMembers) Self() ident.Instance { return "self" }

func (o *fakeMembers) Owners(string, int) []ident.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owners
}

// eventNames passes events on as they happen.
type eventNames chan string

func (r eventNames) Record(name, _ string, _ ...string) { r <- name }

// TestRun guards against a watch that stays broken, a record that is lost with
// a deleted key or a list from behind, and a watch held without owning it.
func TestRun(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	p := &fakePlatform{entry: store.Entry{Key: organisationName(1).Key(), Value: []byte(validValue), Revision: 5}, watches: make(chan chan error)}
	members, recorded := &fakeMembers{}, make(eventNames, 16)
	cfg := config.New(config.Options{Clock: clk, Log: zerolog.Nop(), Events: recorded, Platform: p, Members: members})
	cfg.Go(cfg.Run)
	ctx := context.Background()

	// Not an owner: lists once to become ready, and waits.
	c.Assert(<-recorded, qt.Equals, "record-active")
	c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
	c.Assert(cfg.Ready(), qt.IsTrue)

	members.mu.Lock()
	members.owners = []ident.Instance{"other", "self"}
	members.mu.Unlock()
	clk.Advance(2 * time.Second)
	broken := <-p.watches
	p.mu.Lock()
	p.staleList = true
	p.mu.Unlock()
	broken <- errors.New("cut")
	c.Assert(<-recorded, qt.Equals, "watch-broken")
	// The timers of the owner check and of the delay.
	c.Assert(clk.BlockUntilContext(ctx, 2), qt.IsNil)
	clk.Advance(500 * time.Millisecond)
	c.Assert(<-recorded, qt.Equals, "watch-broken")
	c.Assert(cfg.View().OrganisationByKey("k"), qt.IsNotNil)

	p.mu.Lock()
	p.staleList = false
	p.mu.Unlock()
	c.Assert(clk.BlockUntilContext(ctx, 2), qt.IsNil)
	clk.Advance(3 * time.Second)
	<-p.watches
	c.Assert(cfg.Stop(ctx), qt.IsNil)
	c.Assert(cfg.Active(), qt.HasLen, 1)
}
