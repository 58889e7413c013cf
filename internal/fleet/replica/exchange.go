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

// clockToken names a time of the daemon that made a digest. The peer returns it with
// its delta, so that the ages in the delta are counted from before the digest
// was sent: neither a stalled connection nor a pause of the reader can make an
// attestation look younger than it is.
type clockToken struct {
	Incarnation unit.Incarnation
	Elapsed     time.Duration
}

// attestationVersion is what a daemon has from one owner.
type attestationVersion struct {
	Incarnation unit.Incarnation `json:"boot"`
	Sequence    unit.Sequence    `json:"sequence"`
	Changed     unit.Sequence    `json:"changed"`
}

// fullAttestation is an owner's attestation with its states.
type fullAttestation struct {
	Owner ident.Instance `json:"owner"`
	attestationVersion
	Age    time.Duration `json:"age"`
	States []State       `json:"states"`
}

// deltaBody is what follows the beats in a delta, if there is any. The token of a
// delta is the digest's, and its beats are the attestations whose states the
// peer has.
type deltaBody struct {
	Heartbeats  []fullAttestation   `json:"heartbeats,omitempty"`
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
	d := message{clockToken: clockToken{Incarnation: t.options.Boot, Elapsed: t.options.Clock.Since(t.start)}}
	for _, owner := range t.sortedOwners() {
		if a := t.attestations[owner]; !a.omitted() {
			d.heartbeats = a.heartbeat(owner, 0).append(d.heartbeats)
		}
	}
	for domain, a := range t.assignments {
		d.body = appendEpoch(d.body, domain, a.Epoch)
	}
	return d.encode()
}

func (a *attestation) version() attestationVersion {
	return attestationVersion{Incarnation: a.incarnation, Sequence: a.sequence, Changed: a.changedSequence}
}

// Delta returns what the sender of the digest lacks, or nil for nothing.
func (t *Tracker) Delta(raw []byte) []byte {
	d, ok := decodeMessage(raw)
	if !ok && len(raw) > 0 {
		return nil
	}
	knownEpochs, ok := decodeEpochs(d.body)
	peerHeartbeats := make(map[ownerKey]heartbeat)
	if !ok || !decodeHeartbeats(d.heartbeats, func(b heartbeat) { peerHeartbeats[b.key] = b }) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var heartbeats []byte
	var body deltaBody
	now := t.options.Clock.Now()
	for _, owner := range t.sortedOwners() {
		a := t.attestations[owner]
		age := now.Sub(a.madeAt)
		b := a.heartbeat(owner, age)
		peer, found := peerHeartbeats[b.key]
		switch {
		case a.omitted() || age >= t.options.AttestStaleAfter || found && peer.sequence >= a.sequence:
		case found && peer.changedSequence == a.changedSequence:
			heartbeats = b.append(heartbeats)
		default:
			h := fullAttestation{Owner: owner, attestationVersion: a.version(), Age: age, States: make([]State, 0, len(a.states))}
			for _, s := range a.states {
				h.States = append(h.States, s)
			}
			body.Heartbeats = append(body.Heartbeats, h)
		}
	}
	for domain, a := range t.assignments {
		if a.Epoch > knownEpochs[newDomainKey(domain)] {
			body.Assignments = append(body.Assignments, a)
		}
	}
	answer := message{clockToken: d.clockToken, heartbeats: heartbeats}
	if len(body.Heartbeats) > 0 || len(body.Assignments) > 0 {
		answer.body = marshalJSON(body)
	} else if len(heartbeats) == 0 {
		return nil
	}
	return answer.encode()
}

func isNewer(a, b attestationVersion) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Merge takes a delta. Heartbeats whose age can't be bounded, as they answer a
// digest of an earlier boot of this daemon, are left out.
//
// Errors carry code.BadMessage.
func (t *Tracker) Merge(from ident.Instance, raw []byte) error {
	p, ok := decodeMessage(raw)
	if !ok {
		return code.BadMessage.New("section replica from %s: header is cut off or of another version", from)
	}
	var d deltaBody
	if len(p.body) > 0 {
		if err := json.Unmarshal(p.body, &d); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
	}
	for _, a := range d.Assignments {
		if _, err := t.UpdateAssignment(a); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
	}
	if p.Incarnation != t.options.Boot {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	digestTime := t.start.Add(p.Elapsed)
	if digestTime.After(now) {
		return code.BadMessage.New("section replica from %s: token of %s is in the future", from, p.Elapsed)
	}
	byKey := make(map[ownerKey]ident.Instance, len(t.attestations))
	for owner, a := range t.attestations {
		k := newOwnerKey(owner, a.incarnation)
		if _, duplicate := byKey[k]; duplicate {
			owner = ""
		}
		byKey[k] = owner
	}
	if !decodeHeartbeats(p.heartbeats, func(b heartbeat) { t.mergeHeartbeat(byKey[b.key], b, digestTime.Add(-b.age)) }) {
		return code.BadMessage.New("section replica from %s: beats are cut off or out of range", from)
	}
	for _, h := range d.Heartbeats {
		if err := h.check(); err != nil {
			return code.BadMessage.Wrap(err, "section replica from %s", from)
		}
		t.mergeAttestation(h, digestTime.Add(-h.Age))
	}
	return nil
}

func (h *fullAttestation) check() error {
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

// mergeAttestation takes a heartbeat if it is newer than what is known of the owner.
func (t *Tracker) mergeAttestation(h fullAttestation, madeAt time.Time) {
	next := &attestation{
		incarnation: h.Incarnation, sequence: h.Sequence, changedSequence: h.Changed, madeAt: madeAt,
		states: make(map[ident.Replica]State, len(h.States)),
	}
	for _, s := range h.States {
		next.states[s.Replica] = s
	}
	if t.replaceAttestation(h.Owner, next) {
		for _, s := range h.States {
			t.highestEpochs[s.Replica] = max(t.highestEpochs[s.Replica], s.Epoch)
		}
	}
}

// mergeHeartbeat takes a heartbeat whose states are the known ones.
func (t *Tracker) mergeHeartbeat(owner ident.Instance, b heartbeat, madeAt time.Time) {
	old := t.attestations[owner]
	if old == nil || old.changedSequence != b.changedSequence {
		return
	}
	t.replaceAttestation(owner, &attestation{incarnation: old.incarnation, sequence: b.sequence, changedSequence: b.changedSequence, madeAt: madeAt, states: old.states})
}

// replaceAttestation sets the attestation of another owner if it is newer, and reports
// whether it was.
func (t *Tracker) replaceAttestation(owner ident.Instance, next *attestation) bool {
	old := t.attestations[owner]
	if owner == t.options.Self || old != nil && !isNewer(next.version(), old.version()) {
		return false
	}
	// A later attestation was made after the earlier one.
	if old != nil && old.incarnation == next.incarnation && next.madeAt.Before(old.madeAt) {
		next.madeAt = old.madeAt
	}
	t.attestations[owner] = next
	return true
}

// marshalJSON returns the JSON of a message of this package, whose types can't fail
// to encode.
func marshalJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}
