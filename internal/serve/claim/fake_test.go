package claim

import (
	"context"
	"errors"
	"sync"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// fault is the fault that the fake store applies to one call.
type fault int

const (
	healthy             fault = iota
	lostReply                 // a write takes effect but has no reply; a read fails
	delayedWrite              // a write has no reply and may take effect later
	outage                    // a call has no effect and no reply
	earlierWriteApplied       // an earlier delayed write takes effect just before the call
)

var errNoReply = errors.New("no reply")

// fakeStore is a key-value store with compare-and-swap. It applies one of the faults to
// each call, and none when the list is empty.
type fakeStore struct {
	mu            sync.Mutex
	entries       map[store.Key]store.Entry
	revision      unit.Revision
	faults        []fault
	delayedWrites []store.Swap
	unavailable   bool
	beforeSwap    func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[store.Key]store.Entry)}
}

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

func (f *fakeStore) nextFault() fault {
	if f.unavailable {
		return outage
	}
	if len(f.faults) == 0 {
		return healthy
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	if next == earlierWriteApplied {
		f.applyDelayed()
	}
	return next
}

// applyDelayed applies the oldest delayed write.
func (f *fakeStore) applyDelayed() {
	if len(f.delayedWrites) > 0 {
		s := f.delayedWrites[0]
		f.delayedWrites = f.delayedWrites[1:]
		f.applySwap(s)
	}
}

func (f *fakeStore) applySwap(s store.Swap) (store.Entry, bool) {
	if f.entries[s.Key].Revision != s.ExpectedRevision {
		return f.entries[s.Key], false
	}
	f.revision++
	e := store.Entry{Key: s.Key, Value: s.Value, Revision: f.revision}
	f.entries[s.Key] = e
	return e, true
}

func (f *fakeStore) Get(_ context.Context, key store.Key) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if injected := f.nextFault(); injected == outage || injected == lostReply {
		return store.Entry{}, errNoReply
	}
	return f.entries[key], nil
}

func (f *fakeStore) Swap(_ context.Context, s store.Swap) (store.Entry, store.SwapResult, error) {
	if f.beforeSwap != nil {
		f.beforeSwap()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.nextFault() {
	case lostReply:
		f.applySwap(s)
		return store.Entry{}, store.Unknown, errNoReply
	case delayedWrite:
		f.delayedWrites = append(f.delayedWrites, s)
		return store.Entry{}, store.Unknown, errNoReply
	case outage:
		return store.Entry{}, store.Unknown, errNoReply
	}
	e, applied := f.applySwap(s)
	if !applied {
		return e, store.Conflict, nil
	}
	return e, store.Applied, nil
}

// fakePeers passes queries to the daemons in its map.
type fakePeers struct {
	daemons     map[ident.Instance]*Claims
	unreachable bool
}

func (p *fakePeers) Ask(ctx context.Context, to ident.Instance, _ string, body []byte) ([]byte, error) {
	if c := p.daemons[to]; c != nil && !p.unreachable {
		return c.Answer(ctx, "peer", body)
	}
	return nil, errNoReply
}
