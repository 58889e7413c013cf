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

// swapStep says how the fake platform answers one swap.
type swapStep struct {
	// answerLost drops the answer; applied says whether the write takes effect
	// despite the lost answer.
	answerLost, applied bool
	// notSent fails the swap before the write is sent.
	notSent bool
	// concurrentWrite is a value that another operator writes before the swap.
	concurrentWrite string
}

// fakePlatform stores one key and answers swaps by its steps, in order.
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
		return store.Entry{}, code.PlatformUnavailable.New("get: the fake platform is unavailable")
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
		return store.Entry{}, store.Unknown, code.PlatformUnavailable.New("swap: the write was not sent")
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
		return store.Entry{}, store.Unknown, code.WithOutcome(code.PlatformUnavailable.New("swap: the answer was lost"), code.Unknown)
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

// TestWrite guards against a write that is reported as applied or not applied
// when the opposite may be true, and against an invalid record that is stored.
func TestWrite(t *testing.T) {
	const other = `{"schema":2,"keys":["other"]}`
	tests := map[string]struct {
		raw      string
		expected unit.Revision
		steps    []swapStep
		getFails bool
		want     unit.Revision
		code     code.Code
		outcome  code.Outcome
		swaps    int
	}{
		"written":                           {raw: validValue, expected: 5, want: 6, swaps: 1},
		"invalid":                           {raw: invalidValue, expected: 5, code: code.BadRecord, outcome: code.NotRun},
		"unknown schema":                    {raw: unknownSchemaValue, expected: 5, code: code.UnknownSchema, outcome: code.NotRun},
		"stale revision":                    {raw: validValue, expected: 4, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"same value written by another":     {raw: validValue, expected: 5, steps: []swapStep{{concurrentWrite: validValue}}, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"answer lost, written":              {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true, applied: true}}, want: 6, swaps: 1},
		"answer lost, not written":          {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true}}, want: 6, swaps: 2},
		"answer lost, another value stored": {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true, concurrentWrite: other}}, code: code.RecordRace, outcome: code.Unknown, swaps: 1},
		"all answers lost":                  {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true}, {answerLost: true}, {answerLost: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 3},
		"read-back fails":                   {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true}}, getFails: true, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 1},
		"not sent":                          {raw: validValue, expected: 5, steps: []swapStep{{notSent: true}}, code: code.PlatformUnavailable, outcome: code.NotRun, swaps: 1},
		"answer lost, then not sent":        {raw: validValue, expected: 5, steps: []swapStep{{answerLost: true}, {notSent: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := &fakePlatform{entry: store.Entry{Key: organisationName(1).Key(), Value: []byte(withdrawnValue), Revision: 5}, steps: test.steps, getFails: test.getFails}
			cfg := config.New(config.Options{Clock: clockwork.NewFakeClock(), Events: eventCounts{}, Platform: p})
			revision, err := cfg.Write(context.Background(), organisationName(1), test.expected, []byte(test.raw))
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
				c.Assert(err, qt.ErrorMatches, ".*found revision "+map[bool]string{true: "6", false: "5"}[len(test.steps) > 0]+", expected.*")
			}
		})
	}
}

// fakeOwners returns owners that the test changes.
type fakeOwners struct {
	mu     sync.Mutex
	owners []ident.Instance
}

func (o *fakeOwners) Self() ident.Instance { return "self" }

func (o *fakeOwners) Owners(string, int) []ident.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owners
}

// eventNames sends the name of each recorded event.
type eventNames chan string

func (e eventNames) Record(name, _ string, _ ...string) { e <- name }

// TestRun guards against a broken watch that is not opened again, a record that is
// lost when its key is deleted or when a list has a lower revision, and a daemon
// that watches although it does not own the watch.
func TestRun(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	p := &fakePlatform{entry: store.Entry{Key: organisationName(1).Key(), Value: []byte(validValue), Revision: 5}, watches: make(chan chan error)}
	owners, recorded := &fakeOwners{}, make(eventNames, 16)
	cfg := config.New(config.Options{Clock: clk, Log: zerolog.Nop(), Events: recorded, Platform: p, Owners: owners})
	cfg.Go(cfg.Run)
	ctx := context.Background()

	// A daemon that is not an owner lists once to become ready, then waits.
	c.Assert(<-recorded, qt.Equals, "record-active")
	c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
	c.Assert(cfg.Ready(), qt.IsTrue)

	owners.mu.Lock()
	owners.owners = []ident.Instance{"other", "self"}
	owners.mu.Unlock()
	clk.Advance(2 * time.Second)
	broken := <-p.watches
	p.mu.Lock()
	p.staleList = true
	p.mu.Unlock()
	broken <- errors.New("watch connection closed")
	c.Assert(<-recorded, qt.Equals, "watch-broken")
	// Two timers run: the owner check and the delay before the next list.
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
