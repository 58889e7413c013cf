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

// clockToken is a clock reading of the daemon that made a digest: the time since
// the start of that incarnation. The peer returns the token with its delta, and
// the ages in the delta count from the time of the reading, which is before the
// digest was sent. So neither a stalled connection nor a pause of the reader
// makes an attestation appear younger than it is.
type clockToken struct {
	Incarnation unit.Incarnation
	Elapsed     time.Duration
}

// attestationVersion identifies an attestation of an owner and the last change
// of its states.
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

// deltaBody is the part of a delta after the heartbeats. It is left out if it
// is empty. The delta returns the token of the digest, and its heartbeats stand
// for the attestations whose states the peer has.
type deltaBody struct {
	Attestations []fullAttestation   `json:"heartbeats,omitempty"`
	Assignments  []report.Assignment `json:"assignments,omitempty"`
}

// Section returns the name of the peer section.
func (t *Tracker) Section() string { return "replica" }

// IsGlobal returns false, since replica states are sent only to daemons of the
// same data centre.
func (t *Tracker) IsGlobal() bool { return false }

// Digest returns the versions of the known attestations, as heartbeats without
// ages, and the epochs of the assignments.
func (t *Tracker) Digest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := message{clockToken: clockToken{Incarnation: t.options.Incarnation, Elapsed: t.options.Clock.Since(t.start)}}
	for _, owner := range t.sortedOwners() {
		if a := t.attestations[owner]; !a.canBeOmitted() {
			digest.heartbeats = a.heartbeat(owner, 0).appendTo(digest.heartbeats)
		}
	}
	for domain, a := range t.assignments {
		digest.body = appendEpoch(digest.body, domain, a.Epoch)
	}
	return digest.encode()
}

// version returns the attestation's version.
func (a *attestation) version() attestationVersion {
	return attestationVersion{Incarnation: a.incarnation, Sequence: a.sequence, Changed: a.changedSequence}
}

// Delta returns the attestations, heartbeats and assignments that the sender of
// the digest lacks, nil if it lacks none or the digest is malformed.
func (t *Tracker) Delta(raw []byte) []byte {
	digest, ok := decodeMessage(raw)
	if !ok && len(raw) > 0 {
		return nil
	}
	knownEpochs, ok := decodeEpochs(digest.body)
	peerHeartbeats := make(map[ownerKey]heartbeat)
	if !ok || !decodeHeartbeats(digest.heartbeats, func(h heartbeat) { peerHeartbeats[h.key] = h }) {
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
		h := a.heartbeat(owner, age)
		peer, found := peerHeartbeats[h.key]
		switch {
		case a.canBeOmitted() || age >= t.options.AttestStaleAfter || found && peer.sequence >= a.sequence:
		case found && peer.changedSequence == a.changedSequence:
			heartbeats = h.appendTo(heartbeats)
		default:
			full := fullAttestation{Owner: owner, attestationVersion: a.version(), Age: age, States: make([]State, 0, len(a.states))}
			for _, s := range a.states {
				full.States = append(full.States, s)
			}
			body.Attestations = append(body.Attestations, full)
		}
	}
	for domain, a := range t.assignments {
		if a.Epoch > knownEpochs[newDomainKey(domain)] {
			body.Assignments = append(body.Assignments, a)
		}
	}
	answer := message{clockToken: digest.clockToken, heartbeats: heartbeats}
	if len(body.Attestations) > 0 || len(body.Assignments) > 0 {
		answer.body = marshalJSON(body)
	} else if len(heartbeats) == 0 {
		return nil
	}
	return answer.encode()
}

// isNewer reports whether a is newer than b, another version of the same owner.
func isNewer(a, b attestationVersion) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Merge applies a delta. If it answers a digest of an earlier incarnation of
// this daemon, its attestations are ignored, since their ages can't be bounded.
//
// Errors carry code.BadMessage.
func (t *Tracker) Merge(from ident.Instance, raw []byte) error {
	m, ok := decodeMessage(raw)
	if !ok {
		return code.BadMessage.New("replica: merge delta from %s: header is truncated or of another version", from)
	}
	var body deltaBody
	if len(m.body) > 0 {
		if err := json.Unmarshal(m.body, &body); err != nil {
			return code.BadMessage.Wrap(err, "replica: merge delta from %s", from)
		}
	}
	for _, a := range body.Assignments {
		if _, err := t.UpdateAssignment(a); err != nil {
			return code.BadMessage.Wrap(err, "replica: merge delta from %s", from)
		}
	}
	if m.Incarnation != t.options.Incarnation {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	digestTime := t.start.Add(m.Elapsed)
	if digestTime.After(now) {
		return code.BadMessage.New("replica: merge delta from %s: clock token %s is in the future", from, m.Elapsed)
	}
	byKey := make(map[ownerKey]ident.Instance, len(t.attestations))
	for owner, a := range t.attestations {
		key := newOwnerKey(owner, a.incarnation)
		if _, duplicate := byKey[key]; duplicate {
			owner = ""
		}
		byKey[key] = owner
	}
	if !decodeHeartbeats(m.heartbeats, func(h heartbeat) { t.mergeHeartbeat(byKey[h.key], h, digestTime.Add(-h.age)) }) {
		return code.BadMessage.New("replica: merge delta from %s: heartbeats are truncated or out of range", from)
	}
	for _, a := range body.Attestations {
		if err := a.check(); err != nil {
			return code.BadMessage.Wrap(err, "replica: merge delta from %s", from)
		}
		t.mergeAttestation(a, digestTime.Add(-a.Age))
	}
	return nil
}

// check reports what is wrong with an attestation from a peer.
func (a *fullAttestation) check() error {
	if err := ident.CheckName(string(a.Owner)); err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	if a.Age < 0 || a.Changed > a.Sequence {
		return fmt.Errorf("attestation of %s: age %s is negative, or sequence %d of the last change is above the sequence", a.Owner, a.Age, a.Changed)
	}
	for _, s := range a.States {
		if s.Replica == "" || s.Epoch == 0 || len(s.Members) == 0 {
			return fmt.Errorf("attestation of %s: state of replica %q lacks a name, an epoch or members", a.Owner, s.Replica)
		}
	}
	return nil
}

// mergeAttestation stores an attestation if it is newer than the known one of
// its owner.
func (t *Tracker) mergeAttestation(a fullAttestation, madeAt time.Time) {
	next := &attestation{
		incarnation: a.Incarnation, sequence: a.Sequence, changedSequence: a.Changed, madeAt: madeAt,
		states: make(map[ident.Replica]State, len(a.States)),
	}
	for _, s := range a.States {
		next.states[s.Replica] = s
	}
	if t.replaceAttestation(a.Owner, next) {
		for _, s := range a.States {
			t.highestEpochs[s.Replica] = max(t.highestEpochs[s.Replica], s.Epoch)
		}
	}
}

// mergeHeartbeat renews the known attestation of the owner if the heartbeat
// stands for the same states.
func (t *Tracker) mergeHeartbeat(owner ident.Instance, h heartbeat, madeAt time.Time) {
	known := t.attestations[owner]
	if known == nil || known.changedSequence != h.changedSequence {
		return
	}
	t.replaceAttestation(owner, &attestation{incarnation: known.incarnation, sequence: h.sequence, changedSequence: h.changedSequence, madeAt: madeAt, states: known.states})
}

// replaceAttestation stores the attestation of another owner if it is newer
// than the known one, and reports whether it did.
func (t *Tracker) replaceAttestation(owner ident.Instance, next *attestation) bool {
	known := t.attestations[owner]
	if owner == t.options.Self || known != nil && !isNewer(next.version(), known.version()) {
		return false
	}
	// The owner made the newer attestation after the known one.
	if known != nil && known.incarnation == next.incarnation && next.madeAt.Before(known.madeAt) {
		next.madeAt = known.madeAt
	}
	t.attestations[owner] = next
	return true
}

// marshalJSON returns the JSON of a value of this package, whose types can
// always be encoded.
func marshalJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return raw
}
