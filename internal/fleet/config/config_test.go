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

// step is one answer of the fake platform to a swap.
type step struct {
	// lost drops the answer; applied says whether the write took effect.
	lost, applied bool
	// refused says that nothing was sent.
	refused bool
	// race is another operator's value that is written first.
	race string
}

// platform is a platform of one key that follows a script.
type platform struct {
	mu       sync.Mutex
	entry    store.Entry
	steps    []step
	swaps    int
	getFails bool
	behind   bool
	watches  chan chan error
}

func (p *platform) Get(context.Context, store.Key) (store.Entry, error) {
	if p.getFails {
		return store.Entry{}, code.PlatformUnavailable.New("get")
	}
	return p.entry, nil
}

func (p *platform) List(context.Context, store.Key) ([]store.Entry, unit.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.behind {
		return nil, 1, nil
	}
	return []store.Entry{p.entry}, p.entry.Revision, nil
}

func (p *platform) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	var now step
	if p.swaps < len(p.steps) {
		now = p.steps[p.swaps]
	}
	p.swaps++
	if now.refused {
		return store.Entry{}, store.Unknown, code.PlatformUnavailable.New("refused")
	}
	if now.race != "" {
		p.entry = store.Entry{Key: s.Key, Value: []byte(now.race), Revision: p.entry.Revision + 1}
	}
	result := store.Conflict
	if p.entry.Revision == s.ExpectedRevision && (!now.lost || now.applied) {
		p.entry = store.Entry{Key: s.Key, Value: s.Value, Revision: s.ExpectedRevision + 1}
		result = store.Applied
	}
	if now.lost {
		return store.Entry{}, store.Unknown, code.WithOutcome(code.PlatformUnavailable.New("lost"), code.Unknown)
	}
	return p.entry, result, nil
}

func (p *platform) Watch(ctx context.Context, _ store.Key, _ unit.Revision, emit func([]store.Change, unit.Revision)) error {
	broken := make(chan error)
	emit([]store.Change{{Entry: store.Entry{Key: organisation(1).Key()}, Removed: true}}, 0)
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
		steps    []step
		getFails bool
		want     unit.Revision
		code     code.Code
		outcome  code.Outcome
		swaps    int
	}{
		"written":                       {raw: valid, old: 5, want: 6, swaps: 1},
		"invalid":                       {raw: invalid, old: 5, code: code.BadRecord, outcome: code.NotRun},
		"unknown schema":                {raw: future, old: 5, code: code.UnknownSchema, outcome: code.NotRun},
		"old revision":                  {raw: valid, old: 4, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"same value by another":         {raw: valid, old: 5, steps: []step{{race: valid}}, code: code.RecordRace, outcome: code.NotRun, swaps: 1},
		"answer lost, written":          {raw: valid, old: 5, steps: []step{{lost: true, applied: true}}, want: 6, swaps: 1},
		"answer lost, not written":      {raw: valid, old: 5, steps: []step{{lost: true}}, want: 6, swaps: 2},
		"answer lost, another in place": {raw: valid, old: 5, steps: []step{{lost: true, race: other}}, code: code.RecordRace, outcome: code.Unknown, swaps: 1},
		"always lost":                   {raw: valid, old: 5, steps: []step{{lost: true}, {lost: true}, {lost: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 3},
		"no read-back":                  {raw: valid, old: 5, steps: []step{{lost: true}}, getFails: true, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 1},
		"refused":                       {raw: valid, old: 5, steps: []step{{refused: true}}, code: code.PlatformUnavailable, outcome: code.NotRun, swaps: 1},
		"lost, then refused":            {raw: valid, old: 5, steps: []step{{lost: true}, {refused: true}}, code: code.PlatformUnavailable, outcome: code.Unknown, swaps: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := &platform{entry: store.Entry{Key: organisation(1).Key(), Value: []byte(withdrawn), Revision: 5}, steps: test.steps, getFails: test.getFails}
			cfg := config.New(config.Options{Clock: clockwork.NewFakeClock(), Events: events{}, Platform: p})
			revision, err := cfg.Write(context.Background(), organisation(1), test.old, []byte(test.raw))
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

// owners is a view of daemons whose owners change.
type owners struct {
	mu   sync.Mutex
	list []ident.Instance
}

func (o *owners) Self() ident.Instance { return "self" }

func (o *owners) Owners(string, int) []ident.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list
}

// recorded passes events on as they happen.
type recorded chan string

func (r recorded) Record(name, _ string, _ ...string) { r <- name }

// TestRun guards against a watch that stays broken, a record that is lost with
// a deleted key or a list from behind, and a watch held without owning it.
func TestRun(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	p := &platform{entry: store.Entry{Key: organisation(1).Key(), Value: []byte(valid), Revision: 5}, watches: make(chan chan error)}
	o, seen := &owners{}, make(recorded, 16)
	cfg := config.New(config.Options{Clock: clk, Log: zerolog.Nop(), Events: seen, Platform: p, Members: o})
	cfg.Go(cfg.Run)
	ctx := context.Background()

	// Not an owner: lists once to become ready, and waits.
	c.Assert(<-seen, qt.Equals, "record-active")
	c.Assert(clk.BlockUntilContext(ctx, 1), qt.IsNil)
	c.Assert(cfg.Ready(), qt.IsTrue)

	o.mu.Lock()
	o.list = []ident.Instance{"other", "self"}
	o.mu.Unlock()
	clk.Advance(2 * time.Second)
	broken := <-p.watches
	p.mu.Lock()
	p.behind = true
	p.mu.Unlock()
	broken <- errors.New("cut")
	c.Assert(<-seen, qt.Equals, "watch-broken")
	// The timers of the owner check and of the delay.
	c.Assert(clk.BlockUntilContext(ctx, 2), qt.IsNil)
	clk.Advance(500 * time.Millisecond)
	c.Assert(<-seen, qt.Equals, "watch-broken")
	c.Assert(cfg.View().OrganisationByKey("k"), qt.IsNotNil)

	p.mu.Lock()
	p.behind = false
	p.mu.Unlock()
	c.Assert(clk.BlockUntilContext(ctx, 2), qt.IsNil)
	clk.Advance(3 * time.Second)
	<-p.watches
	c.Assert(cfg.Stop(ctx), qt.IsNil)
	c.Assert(cfg.Active(), qt.HasLen, 1)
}
