package poison

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
)

// suspectID is the fingerprint of a request or a prompt part, by the kind of the suspect.
type suspectID uint64

// suspectKind is what a suspect is. It is part of the suspect's key.
type suspectKind string

// The kinds of suspects.
const (
	requestSuspect suspectKind = "request"
	partSuspect    suspectKind = "part"
)

// suspect is a request or a prompt part whose crashes have reached the threshold.
type suspect struct {
	id          suspectID
	crashes     []ident.Crash
	lastCrashAt time.Time
	// local says that this daemon observed the crash with the highest id. Usually that is one daemon,
	// and all daemons that know the same crashes agree on it.
	local bool
}

// refusalKey identifies a refusal in the platform's store.
type refusalKey struct {
	kind suspectKind
	id   suspectID
}

// below returns the key in the platform's store, such as "cuminbay/poison/request/00000000000000ff" with
// the prefix "cuminbay/poison/".
func (k refusalKey) below(prefix store.Key) store.Key {
	return prefix + store.Key(fmt.Sprintf("%s/%016x", k.kind, uint64(k.id)))
}

// parseRefusalKey is the inverse of below.
//
// Errors carry code.BadMessage.
func parseRefusalKey(prefix, key store.Key) (refusalKey, error) {
	kind, digits, _ := strings.Cut(strings.TrimPrefix(string(key), string(prefix)), "/")
	id, err := strconv.ParseUint(digits, 16, 64)
	k := refusalKey{suspectKind(kind), suspectID(id)}
	if err != nil || k.below(prefix) != key || k.kind != requestSuspect && k.kind != partSuspect {
		return refusalKey{}, code.BadMessage.New("parse key %q: expected %srequest/ID or %spart/ID", key, prefix, prefix)
	}
	return k, nil
}

// refusal is the value of a key: the crashes of a suspect.
type refusal struct {
	Crashes []ident.Crash `json:"crashes"`
	// Cleared says that the suspect has run to its end since these crashes. The entry stays until its
	// lease ends, as other daemons may still report them.
	Cleared bool `json:"cleared,omitempty"`
	// LastAt is the time of the last crash in milliseconds since 1970. The clocks of daemons differ by
	// seconds, the lifetime of a crash is a minute.
	LastAt int64 `json:"last"`
}

func refusalOf(s *suspect) refusal {
	return refusal{Crashes: s.crashes, LastAt: s.lastCrashAt.UnixMilli()}
}

// decodeRefusal decodes and checks a value.
//
// Errors carry code.BadMessage.
func decodeRefusal(raw []byte) (refusal, error) {
	var r refusal
	if err := json.Unmarshal(raw, &r); err != nil {
		return refusal{}, code.BadMessage.Wrap(err, "decode refusal")
	}
	return r, r.check()
}

func (r *refusal) check() error {
	switch {
	case len(r.Crashes) > ident.MaxCrashes:
		return code.BadMessage.New("refusal has %d crashes, expected at most %d", len(r.Crashes), ident.MaxCrashes)
	case len(r.Crashes) == 0:
		return code.BadMessage.New("refusal has no crashes, expected at least one")
	case r.LastAt < 0:
		return code.BadMessage.New("refusal has a last crash at %d, expected a time since 1970", r.LastAt)
	}
	return nil
}

// lastCrashAt returns the time of the last crash. A clock that was set back must not prolong the refusal.
func (r *refusal) lastCrashAt(now time.Time) time.Time {
	if at := time.UnixMilli(r.LastAt); at.Before(now) {
		// The difference keeps the monotonic reading of now.
		return now.Add(at.Sub(now.Round(0)))
	}
	return now
}
