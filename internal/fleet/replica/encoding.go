package replica

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// heartbeat stands for an attestation whose states the peer already has.
// Heartbeats are the most frequent content of messages: every digest has one of
// each owner, and every owner makes a new one in each interval. So they have a
// short key instead of names.
type heartbeat struct {
	key             ownerKey
	sequence        unit.Sequence
	changedSequence unit.Sequence
	age             time.Duration
}

// heartbeat returns the attestation's heartbeat for a message.
func (a *attestation) heartbeat(owner ident.Instance, age time.Duration) heartbeat {
	return heartbeat{key: newOwnerKey(owner, a.incarnation), sequence: a.sequence, changedSequence: a.changedSequence, age: age}
}

// ownerKey is a hash of an owner's name and incarnation. Among the 60 owners of
// the largest data centre two have the same key with a probability of 1 in 2
// million. Heartbeats with such a key are ignored, so the replicas of both
// owners then count as not attested.
type ownerKey uint32

func newOwnerKey(owner ident.Instance, incarnation unit.Incarnation) ownerKey {
	return ownerKey(xxhash.Sum64String(string(owner) + " " + strconv.FormatUint(uint64(incarnation), 10)))
}

// appendTo appends the encoded heartbeat: the key in 4 bytes, then as varints
// the sequence, the distance to the last change, and the age in milliseconds,
// rounded up.
func (h heartbeat) appendTo(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(h.key))
	raw = binary.AppendUvarint(raw, uint64(h.sequence))
	raw = binary.AppendUvarint(raw, uint64(h.sequence-h.changedSequence))
	return binary.AppendUvarint(raw, uint64((h.age+time.Millisecond-1)/time.Millisecond))
}

// maxHeartbeatAge bounds the ages that are accepted. Older heartbeats would be
// stale.
const maxHeartbeatAge = time.Hour

// decodeHeartbeats passes each heartbeat to handle. It returns false at the
// first malformed one.
func decodeHeartbeats(raw []byte, handle func(heartbeat)) bool {
	const keySize = 4
	for len(raw) > 0 {
		if len(raw) < keySize {
			return false
		}
		h := heartbeat{key: ownerKey(binary.LittleEndian.Uint32(raw))}
		raw = raw[keySize:]
		var values [3]uint64
		for i := range values {
			v, n := binary.Uvarint(raw)
			if n <= 0 {
				return false
			}
			values[i], raw = v, raw[n:]
		}
		if values[1] > values[0] || values[2] > uint64(maxHeartbeatAge/time.Millisecond) {
			return false
		}
		h.sequence = unit.Sequence(values[0])
		h.changedSequence = unit.Sequence(values[0] - values[1])
		h.age = time.Duration(values[2]) * time.Millisecond
		handle(h)
	}
	return true
}

// message is an encoded digest or delta. Its body follows the heartbeats:
// epochs in a digest, JSON in a delta.
type message struct {
	clockToken
	heartbeats, body []byte
}

// messageVersion is the first byte of a message. Messages of another version
// are rejected.
const messageVersion = 2

// encode returns the bytes of the message.
func (m message) encode() []byte {
	raw := binary.AppendUvarint([]byte{messageVersion}, uint64(m.Incarnation))
	raw = binary.AppendUvarint(raw, uint64(m.Elapsed))
	raw = binary.AppendUvarint(raw, uint64(len(m.heartbeats)))
	return append(append(raw, m.heartbeats...), m.body...)
}

// decodeMessage returns false if the header is malformed or of another version.
func decodeMessage(raw []byte) (message, bool) {
	if len(raw) == 0 || raw[0] != messageVersion {
		return message{}, false
	}
	raw = raw[1:]
	var values [3]uint64
	for i := range values {
		v, n := binary.Uvarint(raw)
		if n <= 0 {
			return message{}, false
		}
		values[i], raw = v, raw[n:]
	}
	if values[1] > math.MaxInt64 || values[2] > uint64(len(raw)) {
		return message{}, false
	}
	return message{
		clockToken: clockToken{Incarnation: unit.Incarnation(values[0]), Elapsed: time.Duration(values[1])},
		heartbeats: raw[:values[2]], body: raw[values[2]:],
	}, true
}

// domainKey is a hash of a domain's name in a digest. If two domains have the
// same key, the lower epoch counts as known, so that the assignments of both
// are sent.
type domainKey uint32

func newDomainKey(d ident.FabricDomain) domainKey { return domainKey(xxhash.Sum64String(string(d))) }

// appendEpoch appends the key of a domain and the epoch of its assignment.
func appendEpoch(raw []byte, d ident.FabricDomain, e unit.Epoch) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(newDomainKey(d)))
	return binary.AppendUvarint(raw, uint64(e))
}

// decodeEpochs returns the epochs of a digest. It returns false if they are
// malformed.
func decodeEpochs(raw []byte) (map[domainKey]unit.Epoch, bool) {
	const keySize = 4
	epochs := make(map[domainKey]unit.Epoch)
	for len(raw) > keySize {
		k := domainKey(binary.LittleEndian.Uint32(raw))
		e, n := binary.Uvarint(raw[keySize:])
		if n <= 0 {
			return nil, false
		}
		raw = raw[keySize+n:]
		if lowest, duplicate := epochs[k]; !duplicate || unit.Epoch(e) < lowest {
			epochs[k] = unit.Epoch(e)
		}
	}
	return epochs, len(raw) == 0
}
