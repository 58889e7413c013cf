package config

import (
	"bytes"
	"context"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// platform is the part of the key-value service that this package uses.
type platform interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Watch(ctx context.Context, prefix store.Key, after unit.Revision, emit func([]store.Change, unit.Revision)) error
}

// maxRecordBytes is the platform's limit of a value.
const maxRecordBytes = 1 << 20

// writeAttempts bounds the swaps of one Write whose results are unknown.
const writeAttempts = 3

// Write validates a record and stores it if the record's revision is old; zero
// stands for a record that does not exist. It returns the new revision.
//
// Errors carry code.BadRecord or code.UnknownSchema for an invalid record,
// code.RecordRace, with the revision that won in the message, if another write
// came first, and code.PlatformUnavailable, whose outcome says whether the
// write may still take effect.
func (c *Config) Write(ctx context.Context, n record.Name, old unit.Revision, raw []byte) (unit.Revision, error) {
	if len(raw) > maxRecordBytes {
		return 0, code.BadRecord.New("%s: %d bytes are more than %d", n, len(raw), maxRecordBytes)
	}
	if _, err := decode(Stored{Name: n, Raw: raw}); err != nil {
		return 0, err
	}
	revision, err := c.swap(ctx, store.Swap{Key: n.Key(), ExpectedRevision: old, Value: raw})
	if err != nil {
		return 0, err
	}
	c.Apply(FromWrite, []Stored{{Name: n, Revision: revision, Raw: raw}})
	return revision, nil
}

// swap repeats a swap with an unknown result only after a read-back has shown
// the old revision. Both attempts name that revision, so only one of them can
// take effect.
func (c *Config) swap(ctx context.Context, s store.Swap) (unit.Revision, error) {
	unsettled := false
	var failure error
	for range writeAttempts {
		entry, result, err := c.platform.Swap(ctx, s)
		switch result {
		case store.Applied:
			return entry.Revision, nil
		case store.Conflict:
			return resolveSwap(s, entry, unsettled)
		case store.Unknown:
		}
		failure = err
		if code.OutcomeOf(err) == code.NotRun {
			break
		}
		unsettled = true
		entry, err = c.platform.Get(ctx, s.Key)
		if err != nil {
			break
		}
		if entry.Revision != s.ExpectedRevision {
			return resolveSwap(s, entry, unsettled)
		}
	}
	failure = code.PlatformUnavailable.Wrap(failure, "write %s", s.Key)
	if unsettled {
		return 0, code.WithOutcome(failure, code.Unknown)
	}
	return 0, failure
}

// resolveSwap judges the entry that was found in the place of the old revision. If
// an earlier attempt may have taken effect, an equal value counts as written,
// and another value leaves open whether the write was in effect before it.
func resolveSwap(s store.Swap, now store.Entry, unsettled bool) (unit.Revision, error) {
	if unsettled && now.Revision > s.ExpectedRevision && bytes.Equal(now.Value, s.Value) {
		return now.Revision, nil
	}
	err := code.RecordRace.New("write %s: revision %d is in place of %d", s.Key, now.Revision, s.ExpectedRevision)
	if unsettled {
		return 0, code.WithOutcome(err, code.Unknown)
	}
	return 0, err
}

// Get returns a record as the platform holds it.
//
// Errors carry code.NoSuchRecord or code.PlatformUnavailable.
func (c *Config) Get(ctx context.Context, n record.Name) (Stored, error) {
	entry, err := c.platform.Get(ctx, n.Key())
	if err != nil {
		return Stored{}, err
	}
	if entry.Revision == 0 {
		return Stored{}, code.NoSuchRecord.New("%s: not in the platform", n)
	}
	return storedFromEntry(entry), nil
}

// List returns every record as the platform holds them.
//
// Errors carry code.PlatformUnavailable.
func (c *Config) List(ctx context.Context) ([]Stored, error) {
	entries, _, err := c.platform.List(ctx, store.RecordPrefix)
	if err != nil {
		return nil, err
	}
	return storedFromEntries(entries), nil
}

func storedFromEntries(entries []store.Entry) []Stored {
	records := make([]Stored, 0, len(entries))
	for _, e := range entries {
		records = append(records, storedFromEntry(e))
	}
	return records
}
