package poison

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
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

// suspectSource has the suspects of one kind.
type suspectSource interface {
	// suspects returns those whose crashes have reached the threshold, also if they may run again.
	suspects() []suspect
	// restoreSuspect adds a suspect that was read from the platform's store.
	restoreSuspect(s suspect)
	// clearance reports whether the suspect has run to its end, and whether it did so at this
	// daemon alone.
	clearance(id suspectID) (cleared, local bool)
	// clearSuspect records that the suspect has run to its end at another daemon.
	clearSuspect(id suspectID)
}

// refusalStore has the operations of the platform's store that a Blocklist needs.
type refusalStore interface {
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Revoke(ctx context.Context, id store.LeaseID) error
}

// readerList knows whether this daemon is among the few of its data centre that call the platform.
type readerList interface {
	MayReadPlatform() bool
}

// BlocklistOptions are the dependencies of a Blocklist.
type BlocklistOptions struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// KeyPrefix is the prefix of the refusals' keys in the platform's store.
	KeyPrefix store.Key
	Requests  *Detector
	// Parts is nil if prompts have no parts.
	Parts *PartDetector
	// Lifetime is that of a crash in the detectors.
	Lifetime time.Duration
	Store    refusalStore
	Readers  readerList
	// Changed is signalled when suspects have changed. The detectors have the same channel.
	Changed chan struct{}
}

// Blocklist keeps the refused requests and prompt parts in the platform's store, so that they
// outlive a loss of all daemons. Each daemon compares its suspects with its copy of the store: one
// that observed a crash writes what is missing at once, and the daemons that read from the platform
// do so later if it has not, as after a loss of the writer or a restoration of the store. Nothing on
// the path of a request waits for it.
type Blocklist struct {
	BlocklistOptions
	sources map[suspectKind]suspectSource
	// due has the times at which this daemon writes refusals, unless another one does so before. Only
	// Run uses it.
	due map[refusalKey]time.Time

	mu sync.Mutex
	// entries has the refusals in this daemon's copy of the store.
	entries map[refusalKey]refusalEntry
}

// refusalEntry is the stored refusal of a key.
type refusalEntry struct {
	refusal
	revision unit.Revision
}

// Bounds of the entries, and times of their writes.
const (
	// maxEntries bounds the refusals in the store. A caller can have many different requests refused.
	maxEntries = 256
	// minLeaseTime and maxLeaseTime bound the time to live that the platform grants.
	minLeaseTime = time.Second
	maxLeaseTime = 10 * time.Minute
	// A daemon that has no part in the crashes writes after a random time between
	// minTakeoverDelay and maxTakeoverDelay. Another daemon's write is usually known before.
	minTakeoverDelay = time.Second
	maxTakeoverDelay = 4 * time.Second
	// minWriteInterval is the time between two rounds of writes.
	minWriteInterval = 100 * time.Millisecond
	// recheckInterval is the longest time between two rounds while a refusal is to be written: the
	// daemons that read from the platform may be others then.
	recheckInterval = 5 * time.Second
	writeTimeout    = 5 * time.Second
)

// NewBlocklist returns a blocklist without entries.
func NewBlocklist(o BlocklistOptions) *Blocklist {
	b := &Blocklist{
		BlocklistOptions: o,
		sources:          map[suspectKind]suspectSource{requestSuspect: o.Requests},
		entries:          make(map[refusalKey]refusalEntry),
		due:              make(map[refusalKey]time.Time),
	}
	if o.Parts != nil {
		b.sources[partSuspect] = o.Parts
	}
	return b
}

// Prefix returns the prefix of the refusals' keys in the platform's store.
func (b *Blocklist) Prefix() store.Key {
	return b.KeyPrefix
}

// HandleChanges applies changes of the copy of the store. A key that is removed says nothing about the
// suspect: its lease has ended, or a restored store lacks it.
func (b *Blocklist) HandleChanges(changes []store.Change, _ bool) {
	for _, change := range changes {
		key, err := parseRefusalKey(b.KeyPrefix, change.Key)
		if err != nil || b.sources[key.kind] == nil {
			b.Log.Warn().Err(err).Str("key", string(change.Key)).Msg("refusal-rejected")
			continue
		}
		if change.Removed {
			b.forget(key)
			continue
		}
		b.applyEntry(key, change.Entry)
	}
	plugin.Wake(b.Changed)
}

func (b *Blocklist) forget(key refusalKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, key)
}

// applyEntry records the entry and has its refusal applied by the detectors.
func (b *Blocklist) applyEntry(key refusalKey, e store.Entry) {
	r, err := decodeRefusal(e.Value)
	if err != nil {
		r = refusal{}
	}
	b.mu.Lock()
	b.entries[key] = refusalEntry{r, e.Revision}
	b.mu.Unlock()
	source := b.sources[key.kind]
	switch {
	case err != nil:
		b.Log.Warn().Err(err).Str("key", string(key.below(b.KeyPrefix))).Msg("refusal-rejected")
	case r.Cleared:
		source.clearSuspect(key.id)
	default:
		source.restoreSuspect(suspect{id: key.id, crashes: r.Crashes, lastCrashAt: r.lastCrashAt(b.Clock.Now())})
	}
}

// Run writes refusals until the context ends.
func (b *Blocklist) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := b.writeDue(ctx)
		plugin.Sleep(ctx, b.Clock, minWriteInterval)
		plugin.SleepOrWake(ctx, b.Clock, wait, b.Changed)
	}
}

// pendingWrite is a refusal that the store lacks. The daemon with local set may write it at once.
type pendingWrite struct {
	key     refusalKey
	refusal refusal
	local   bool
}

// writeDue writes the refusals that are due. It returns the time until the next one is.
func (b *Blocklist) writeDue(ctx context.Context) time.Duration {
	now := b.Clock.Now()
	pending := b.pendingWrites(now)
	wait := maxLeaseTime
	if len(pending) > 0 {
		wait = recheckInterval
	}
	for _, w := range b.schedule(pending, now) {
		if !b.due[w.key].After(now) {
			b.due[w.key] = now.Add(takeoverDelay())
			b.write(ctx, w, now)
		}
		wait = min(wait, b.due[w.key].Sub(now))
	}
	return wait
}

// pendingWrites returns what the copy of the store lacks.
func (b *Blocklist) pendingWrites(now time.Time) []pendingWrite {
	var pending []pendingWrite
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, source := range b.sources {
		for _, s := range source.suspects() {
			key := refusalKey{kind, s.id}
			e, r := b.entries[key], refusalOf(&s)
			switch {
			case e.Cleared && e.has(s.crashes):
				// A daemon that had not heard of it has reported the crashes again.
				source.clearSuspect(s.id)
			case e.isComplete(s.crashes) || b.leaseTime(r, now) < minLeaseTime:
			default:
				pending = append(pending, pendingWrite{key, r, s.local})
			}
		}
	}
	for key, e := range b.entries {
		cleared, local := b.sources[key.kind].clearance(key.id)
		if cleared && !e.Cleared && len(e.Crashes) > 0 {
			pending = append(pending, pendingWrite{key, refusal{e.Crashes, true, e.LastAt}, local})
		}
	}
	return pending
}

// has reports whether the entry has all the crashes.
func (e refusalEntry) has(crashes []ident.Crash) bool {
	return !slices.ContainsFunc(crashes, func(c ident.Crash) bool { return !slices.Contains(e.Crashes, c) })
}

// isComplete reports whether the entry refuses the suspect for the crashes, of which it has as many as
// are kept.
func (e refusalEntry) isComplete(crashes []ident.Crash) bool {
	return !e.Cleared && (len(e.Crashes) >= ident.MaxCrashes || e.has(crashes))
}

// schedule sets the times of new writes and forgets those of writes that are no longer pending. It
// returns the writes that this daemon may do.
func (b *Blocklist) schedule(pending []pendingWrite, now time.Time) []pendingWrite {
	isReader := b.Readers.MayReadPlatform()
	pending = slices.DeleteFunc(pending, func(w pendingWrite) bool { return !w.local && !isReader })
	due := make(map[refusalKey]time.Time, len(pending))
	for _, w := range pending {
		at, found := b.due[w.key]
		switch {
		case found:
		case w.local:
			at = now
		default:
			at = now.Add(takeoverDelay())
		}
		due[w.key] = at
	}
	b.due = due
	return pending
}

func takeoverDelay() time.Duration {
	return minTakeoverDelay + rand.N(maxTakeoverDelay-minTakeoverDelay)
}

// write writes the refusal with a lease of its own. A failure is logged: the refusal stays pending.
func (b *Blocklist) write(ctx context.Context, w pendingWrite, now time.Time) {
	b.mu.Lock()
	known, found := b.entries[w.key]
	isFull := !found && len(b.entries) >= maxEntries
	b.mu.Unlock()
	if isFull {
		return
	}
	err := b.swap(ctx, w, known.revision, max(b.leaseTime(w.refusal, now), minLeaseTime))
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	b.Log.WithLevel(level).Err(err).Str("key", string(w.key.below(b.KeyPrefix))).Int("crashes", len(w.refusal.Crashes)).Msg("refusal-written")
}

// leaseTime returns the time after which the daemons forget the crashes of the refusal.
func (b *Blocklist) leaseTime(r refusal, now time.Time) time.Duration {
	return min(r.lastCrashAt(now).Add(forgetLifetimes*b.Lifetime).Sub(now), maxLeaseTime)
}

// swap writes the refusal if the key has the expected revision. Otherwise it applies the entry that
// another daemon has written.
//
// Errors are those of the store.
func (b *Blocklist) swap(ctx context.Context, w pendingWrite, expected unit.Revision, ttl time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(w.refusal)
	if err != nil {
		return code.Internal.Wrap(err, "encode refusal")
	}
	lease, err := b.Store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	entry, result, err := b.Store.Swap(ctx, store.Swap{Key: w.key.below(b.KeyPrefix), ExpectedRevision: expected, Value: value, Lease: lease})
	if result == store.Unknown {
		// The copy of the store will show whether the write took effect.
		return err
	}
	if result == store.Applied {
		b.applyEntry(w.key, entry)
		return nil
	}
	if entry.Revision != 0 {
		b.applyEntry(w.key, entry)
	} else {
		b.forget(w.key)
	}
	return b.Store.Revoke(ctx, lease)
}
