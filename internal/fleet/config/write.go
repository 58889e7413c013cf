package config

import (
	"bytes"
	"context"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
)

// platform is the part of the platform's key-value store that this package uses.
type platform interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
	Watch(ctx context.Context, prefix store.Key, after unit.Revision, emit func([]store.Change, unit.Revision)) error
}

// maxRecordBytes is the largest value that the platform stores.
const maxRecordBytes = 1 << 20

// writeAttempts limits how often one Write attempts a swap whose result is
// unknown.
const writeAttempts = 3

// Write validates a record and stores it if the stored record still has the
// expected revision; zero stands for a record that does not exist. It returns the
// new revision.
//
// Errors carry code.BadRecord or code.UnknownSchema for an invalid record, and
// code.RecordRace if another write came first; the message then has the revision
// of that write. They carry code.PlatformUnavailable if the platform failed; the
// error's outcome then says whether the write may still take effect.
func (c *Config) Write(ctx context.Context, name record.Name, expected unit.Revision, raw []byte) (unit.Revision, error) {
	if len(raw) > maxRecordBytes {
		return 0, code.BadRecord.New("write %s: record has %d bytes, the limit is %d", name, len(raw), maxRecordBytes)
	}
	if _, err := decode(StoredRecord{Name: name, Raw: raw}); err != nil {
		return 0, err
	}
	revision, err := c.swap(ctx, store.Swap{Key: name.Key(), ExpectedRevision: expected, Value: raw})
	if err != nil {
		return 0, err
	}
	c.Apply(FromWrite, []StoredRecord{{Name: name, Revision: revision, Raw: raw}})
	return revision, nil
}

// swap repeats a swap with an unknown result only if reading the key back shows
// the expected revision. All attempts expect that revision, so only one of them
// can take effect.
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

// resolveSwap returns the result of a write after the key was found at another
// revision than expected. If an earlier attempt may have taken effect, an equal
// value counts as written; with a different value the outcome is unknown, since
// the write may have been in effect until another one replaced it.
func resolveSwap(s store.Swap, current store.Entry, outcomeUnknown bool) (unit.Revision, error) {
	if outcomeUnknown && current.Revision > s.ExpectedRevision && bytes.Equal(current.Value, s.Value) {
		return current.Revision, nil
	}
	err := code.RecordRace.New("write %s: found revision %d, expected revision %d", s.Key, current.Revision, s.ExpectedRevision)
	if outcomeUnknown {
		return 0, code.WithOutcome(err, code.Unknown)
	}
	return 0, err
}

// Get reads a record from the platform.
//
// Errors carry code.NoSuchRecord or code.PlatformUnavailable.
func (c *Config) Get(ctx context.Context, name record.Name) (StoredRecord, error) {
	entry, err := c.platform.Get(ctx, name.Key())
	if err != nil {
		return StoredRecord{}, err
	}
	if entry.Revision == 0 {
		return StoredRecord{}, code.NoSuchRecord.New("get %s: the platform has no such record", name)
	}
	return recordFromEntry(entry), nil
}

// List reads all records from the platform.
//
// Errors carry code.PlatformUnavailable.
func (c *Config) List(ctx context.Context) ([]StoredRecord, error) {
	entries, _, err := c.platform.List(ctx, store.RecordPrefix)
	if err != nil {
		return nil, err
	}
	return recordsFromEntries(entries), nil
}

func recordsFromEntries(entries []store.Entry) []StoredRecord {
	records := make([]StoredRecord, 0, len(entries))
	for _, e := range entries {
		records = append(records, recordFromEntry(e))
	}
	return records
}
