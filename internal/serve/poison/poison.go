// Package poison refuses requests that have crashed the endpoints that ran
// them.
package poison

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/clock"
)

// threshold is the number of suspicions at which a request is refused: one
// crash may be chance, the second names the request.
const threshold = 2

// Options are the parts of a Book.
type Options struct {
	Self  ident.Instance
	Clock clock.Clock
	// Lifetime is how long a suspicion lasts, Limit how many observations
	// are kept; the oldest go first.
	Lifetime time.Duration
	Limit    int
}

// mark is what one daemon observed of one fingerprint. Observations of
// different daemons add up; of the same daemon the larger count holds.
type mark struct {
	count uint32
	until time.Time
}

type marks map[ident.Fingerprint]map[ident.Instance]mark

// Book holds the suspicions. Check reads it without a lock; every change
// replaces the whole map, as changes are as rare as crashes.
type Book struct {
	Options
	current atomic.Pointer[marks]
	change  sync.Mutex
}

// New returns an empty book.
func New(o Options) *Book {
	b := &Book{Options: o}
	b.current.Store(&marks{})
	return b
}

// Check refuses a fingerprint that has been suspected twice.
//
// Errors carry code.PoisonRequest.
func (b *Book) Check(f ident.Fingerprint) error {
	observers, suspected := (*b.current.Load())[f]
	if !suspected {
		return nil
	}
	now := b.Clock.Now()
	var sum uint32
	for _, m := range observers {
		if m.until.After(now) {
			sum += m.count
		}
	}
	if sum < threshold {
		return nil
	}
	return code.PoisonRequest.New("request %x was in flight at %d endpoints that died", uint64(f), sum)
}

// Suspect adds a suspicion of this daemon.
func (b *Book) Suspect(f ident.Fingerprint) {
	b.update(func(next marks, now time.Time) {
		put(next, f, b.Self, mark{count: next[f][b.Self].count + 1, until: now.Add(b.Lifetime)})
	})
}

// update replaces the map by a copy without what has expired, changed by edit.
func (b *Book) update(edit func(next marks, now time.Time)) {
	b.change.Lock()
	defer b.change.Unlock()
	now := b.Clock.Now()
	next := make(marks)
	for f, observers := range *b.current.Load() {
		for o, m := range observers {
			if m.until.After(now) {
				put(next, f, o, m)
			}
		}
	}
	edit(next, now)
	for size(next) > b.Limit {
		removeOldest(next)
	}
	b.current.Store(&next)
}

func put(next marks, f ident.Fingerprint, o ident.Instance, m mark) {
	if next[f] == nil {
		next[f] = make(map[ident.Instance]mark)
	}
	next[f][o] = m
}

func size(m marks) int {
	n := 0
	for _, observers := range m {
		n += len(observers)
	}
	return n
}

func removeOldest(m marks) {
	var (
		print    ident.Fingerprint
		observer ident.Instance
		oldest   time.Time
	)
	for f, observers := range m {
		for o, k := range observers {
			if oldest.IsZero() || k.until.Before(oldest) {
				print, observer, oldest = f, o, k.until
			}
		}
	}
	delete(m[print], observer)
	if len(m[print]) == 0 {
		delete(m, print)
	}
}

// Item is one observation on its way to a peer. Left is the time that it still
// lasts in milliseconds, as wall clocks of peers differ.
type Item struct {
	Fingerprint ident.Fingerprint `json:"f"`
	Observer    ident.Instance    `json:"o"`
	Count       uint32            `json:"n"`
	Left        int64             `json:"ms"`
}

// Check reports an observation without a count, observer or time.
func (i Item) Check() error {
	if i.Count == 0 || i.Left <= 0 || ident.CheckName(string(i.Observer)) != nil {
		return code.BadMessage.New("poison item of %q: count %d, %d ms left", i.Observer, i.Count, i.Left)
	}
	return nil
}

// Section names the section of the exchange between daemons.
func (b *Book) Section() string { return "poison" }

// Global says that the section goes to all data centres.
func (b *Book) Global() bool { return true }

func (b *Book) items() []Item {
	now := b.Clock.Now()
	var items []Item
	for f, observers := range *b.current.Load() {
		for o, m := range observers {
			if left := m.until.Sub(now).Milliseconds(); left > 0 {
				items = append(items, Item{Fingerprint: f, Observer: o, Count: m.count, Left: left})
			}
		}
	}
	return items
}

// Digest returns the observations, which are few, or nil for none.
func (b *Book) Digest() []byte {
	return encode(b.items())
}

func encode(items []Item) []byte {
	if len(items) == 0 {
		return nil
	}
	raw, err := json.Marshal(items)
	if err != nil {
		return nil
	}
	return raw
}

// Delta returns the observations that the digest lacks, or nil for none.
func (b *Book) Delta(digest []byte) []byte {
	var theirs []Item
	_ = json.Unmarshal(digest, &theirs)
	known := make(map[Item]bool, len(theirs))
	for _, i := range theirs {
		i.Left = 0
		known[i] = true
	}
	var missing []Item
	for _, i := range b.items() {
		key := i
		key.Left = 0
		if !known[key] {
			missing = append(missing, i)
		}
	}
	return encode(missing)
}

// Merge takes in a peer's observations: of each observer the larger count.
//
// Errors carry code.BadMessage.
func (b *Book) Merge(from ident.Instance, delta []byte) error {
	var items []Item
	if err := json.Unmarshal(delta, &items); err != nil {
		return code.BadMessage.Wrap(err, "poison delta of %s", from)
	}
	for _, i := range items {
		if err := i.Check(); err != nil {
			return code.BadMessage.Wrap(err, "poison delta of %s", from)
		}
	}
	b.update(func(next marks, now time.Time) {
		for _, i := range items {
			left := min(time.Duration(i.Left)*time.Millisecond, b.Lifetime)
			old, known := next[i.Fingerprint][i.Observer]
			if !known || i.Count > old.count {
				put(next, i.Fingerprint, i.Observer, mark{count: i.Count, until: now.Add(left)})
			}
		}
	})
	return nil
}
