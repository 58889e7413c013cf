package replica

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// token names a time of the daemon that made a digest. The peer returns it with
// its delta, so that the ages in the delta are counted from before the digest
// was sent: neither a stalled connection nor a pause of the reader can make an
// attestation look younger than it is.
type token struct {
	Boot  unit.Incarnation
	Since time.Duration
}

// known is what a daemon has from one owner.
type known struct {
	Boot     unit.Incarnation `json:"boot"`
	Sequence unit.Sequence    `json:"sequence"`
	Changed  unit.Sequence    `json:"changed"`
}

// heartbeat is an owner's attestation with its states.
type heartbeat struct {
	Owner ident.Instance `json:"owner"`
	known
	Age    time.Duration `json:"age"`
	States []State       `json:"states"`
}

// delta is what follows the beats in a delta, if there is any. The token of a
// delta is the digest's, and its beats are the attestations whose states the
// peer has.
type delta struct {
	Heartbeats  []heartbeat         `json:"heartbeats,omitempty"`
	Assignments []report.Assignment `json:"assignments,omitempty"`
}

// Section returns the name of the peer section.
func (t *Tracker) Section() string { return "replica" }

// Global returns false: replica states stay within their data centre.
func (t *Tracker) Global() bool { return false }

// Digest returns what is known of each owner and domain: packed beats without
// ages, and the epochs of the assignments.
func (t *Tracker) Digest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := packed{token: token{Boot: t.options.Boot, Since: t.options.Clock.Since(t.start)}}
	for _, owner := range t.sortedOwners() {
		if a := t.owners[owner]; !a.silent() {
			d.beats = a.beat(owner, 0).append(d.beats)
		}
	}
	for domain, a := range t.assignments {
		d.rest = appendEpoch(d.rest, domain, a.Epoch)
	}
	return d.append()
}

func (a *attestation) known() known {
	return known{Boot: a.boot, Sequence: a.sequence, Changed: a.changed}
}

// Delta returns what the sender of the digest lacks, or nil for nothing.
func (t *Tracker) Delta(raw []byte) []byte {
	d, ok := unpack(raw)
	if !ok && len(raw) > 0 {
		return nil
	}
	known, ok := epochs(d.rest)
	theirs := make(map[beatKey]beat)
	if !ok || !eachBeat(d.beats, func(b beat) { theirs[b.key] = b }) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var beats []byte
	var out delta
	now := t.options.Clock.Now()
	for _, owner := range t.sortedOwners() {
		a := t.owners[owner]
		age := now.Sub(a.made)
		b := a.beat(owner, age)
		peer, has := theirs[b.key]
		switch {
		case a.silent() || age >= t.options.AttestStaleAfter || has && peer.sequence >= a.sequence:
		case has && peer.changed == a.changed:
			beats = b.append(beats)
		default:
			h := heartbeat{Owner: owner, known: a.known(), Age: age, States: make([]State, 0, len(a.states))}
			for _, s := range a.states {
				h.States = append(h.States, s)
			}
			out.Heartbeats = append(out.Heartbeats, h)
		}
	}
	for domain, a := range t.assignments {
		if a.Epoch > known[keyOfDomain(domain)] {
			out.Assignments = append(out.Assignments, a)
		}
	}
	answer := packed{token: d.token, beats: beats}
	if len(out.Heartbeats) > 0 || len(out.Assignments) > 0 {
		answer.rest = encode(out)
	} else if len(beats) == 0 {
		return nil
	}
	return answer.append()
}

func newer(a, b known) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.Sequence > b.Sequence
}

// Merge takes a delta. Heartbeats whose age can't be bounded, as they answer a
// digest of an earlier boot of this daemon, are left out.
//
// Errors carry code.BadMessage.
func (t *Tracker) Merge(from ident.Instance, raw []byte) error {
	p, ok := unpack(raw)
	if !ok {
		return code.BadMessage.New("section replica from %s: header is cut off or of another version", from)
	}
	var d delta
	if len(p.rest) > 0 {
		if err := json.Unmarshal(p.rest, &d); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
	}
	for _, a := range d.Assignments {
		if _, err := t.UpdateAssignment(a); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
	}
	if p.Boot != t.options.Boot {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	asked := t.start.Add(p.Since)
	if asked.After(now) {
		return code.BadMessage.New("section replica from %s: token of %s is in the future", from, p.Since)
	}
	byKey := make(map[beatKey]ident.Instance, len(t.owners))
	for owner, a := range t.owners {
		k := keyOf(owner, a.boot)
		if _, twice := byKey[k]; twice {
			owner = ""
		}
		byKey[k] = owner
	}
	if !eachBeat(p.beats, func(b beat) { t.hearBeat(byKey[b.key], b, asked.Add(-b.age)) }) {
		return code.BadMessage.New("section replica from %s: beats are cut off or out of range", from)
	}
	for _, h := range d.Heartbeats {
		if err := h.check(); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
		t.hear(h, asked.Add(-h.Age))
	}
	return nil
}

func (h *heartbeat) check() error {
	if err := ident.CheckName(string(h.Owner)); err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	if h.Age < 0 || h.Changed > h.Sequence {
		return fmt.Errorf("heartbeat of %s: age %s or changed %d is out of range", h.Owner, h.Age, h.Changed)
	}
	for _, s := range h.States {
		if s.Replica == "" || s.Epoch == 0 || len(s.Members) == 0 {
			return fmt.Errorf("heartbeat of %s: state of %q without epoch or members", h.Owner, s.Replica)
		}
	}
	return nil
}

// hear takes a heartbeat if it is newer than what is known of the owner.
func (t *Tracker) hear(h heartbeat, made time.Time) {
	next := &attestation{
		boot: h.Boot, sequence: h.Sequence, changed: h.Changed, made: made,
		states: make(map[ident.Replica]State, len(h.States)),
	}
	for _, s := range h.States {
		next.states[s.Replica] = s
	}
	if t.replace(h.Owner, next) {
		for _, s := range h.States {
			t.highest[s.Replica] = max(t.highest[s.Replica], s.Epoch)
		}
	}
}

// hearBeat takes a heartbeat whose states are the known ones.
func (t *Tracker) hearBeat(owner ident.Instance, b beat, made time.Time) {
	old := t.owners[owner]
	if old == nil || old.changed != b.changed {
		return
	}
	t.replace(owner, &attestation{boot: old.boot, sequence: b.sequence, changed: b.changed, made: made, states: old.states})
}

// replace sets the attestation of another owner if it is newer, and reports
// whether it was.
func (t *Tracker) replace(owner ident.Instance, next *attestation) bool {
	old := t.owners[owner]
	if owner == t.options.Self || old != nil && !newer(next.known(), old.known()) {
		return false
	}
	// A later attestation was made after the earlier one.
	if old != nil && old.boot == next.boot && next.made.Before(old.made) {
		next.made = old.made
	}
	t.owners[owner] = next
	return true
}

// encode returns the JSON of a message of this package, whose types can't fail
// to encode.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}
