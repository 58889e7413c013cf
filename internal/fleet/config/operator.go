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
func (c *Config) Write(ctx context.Context, name record.Name, expected unit.Revision, raw []byte) (unit.Revision, error) {
	if len(raw) > maxRecordBytes {
		return 0, code.BadRecord.New("%s: %d bytes are more than %d", name, len(raw), maxRecordBytes)
	}
	if _, err := decode(Stored{Name: name, Raw: raw}); err != nil {
		return 0, err
	}
	revision, err := c.swap(ctx, store.Swap{Key: name.Key(), ExpectedRevision: expected, Value: raw})
	if err != nil {
		return 0, err
	}
	c.Apply(FromWrite, []Stored{{Name: name, Revision: revision, Raw: raw}})
	return revision, nil
}

// swap repeats a swap with an unknown result only after a read-back has shown
// the old revision. Both attempts name that revision, so only one of them can
// take effect.
func (c *Config) swap(ctx context.Context, s store.Swap) (unit.Revision, error) {
	outcomeUnknown := false
	var lastErr error
	for range writeAttempts {
		entry, result, err := c.platform.Swap(ctx, s)
		switch result {
		case store.Applied:
			return entry.Revision, nil
		case store.Conflict:
			return resolveSwap(s, entry, outcomeUnknown)
		case store.Unknown:
		}
		lastErr = err
		if code.OutcomeOf(err) == code.NotRun {
			break
		}
		outcomeUnknown = true
		entry, err = c.platform.Get(ctx, s.Key)
		if err != nil {
			break
		}
		if entry.Revision != s.ExpectedRevision {
			return resolveSwap(s, entry, outcomeUnknown)
		}
	}
	lastErr = code.PlatformUnavailable.Wrap(lastErr, "write %s", s.Key)
	if outcomeUnknown {
		return 0, code.WithOutcome(lastErr, code.Unknown)
	}
	return 0, lastErr
}

// resolveSwap judges the entry that was found in the place of the old revision. If
// an earlier attempt may have taken effect, an equal value counts as written,
// and another value leaves open whether the write was in effect before it.
func resolveSwap(s store.Swap, current store.Entry, outcomeUnknown bool) (unit.Revision, error) {
	if outcomeUnknown && current.Revision > s.ExpectedRevision && bytes.Equal(current.Value, s.Value) {
		return current.Revision, nil
	}
	err := code.RecordRace.New("write %s: revision %d is in place of %d", s.Key, current.Revision, s.ExpectedRevision)
	if outcomeUnknown {
		return 0, code.WithOutcome(err, code.Unknown)
	}
	return 0, err
}

// Get returns a record as the platform holds it.
//
// Errors carry code.NoSuchRecord or code.PlatformUnavailable.
func (c *Config) Get(ctx context.Context, name record.Name) (Stored, error) {
	entry, err := c.platform.Get(ctx, name.Key())
	if err != nil {
		return Stored{}, err
	}
	if entry.Revision == 0 {
		return Stored{}, code.NoSuchRecord.New("%s: not in the platform", name)
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
