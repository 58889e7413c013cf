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

// heartbeat is a heartbeat without names, as it is sent most of the time: every owner
// is in every digest and every interval has a new sequence of each.
type heartbeat struct {
	key             ownerKey
	sequence        unit.Sequence
	changedSequence unit.Sequence
	age             time.Duration
}

func (a *attestation) heartbeat(owner ident.Instance, age time.Duration) heartbeat {
	return heartbeat{key: newOwnerKey(owner, a.incarnation), sequence: a.sequence, changedSequence: a.changedSequence, age: age}
}

// ownerKey stands for owner and boot. Among the 60 owners of the largest data
// centre two have the same key with a probability of 1 in 2 million. Beats of
// such a key are ignored, so the replicas of both then count as not attested.
type ownerKey uint32

func newOwnerKey(owner ident.Instance, boot unit.Incarnation) ownerKey {
	return ownerKey(xxhash.Sum64String(string(owner) + " " + strconv.FormatUint(uint64(boot), 10)))
}

// append adds the packed beat: the key in 4 bytes, then as varints the sequence,
// the distance to the last change, and the age in milliseconds, rounded up.
func (b heartbeat) append(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(b.key))
	raw = binary.AppendUvarint(raw, uint64(b.sequence))
	raw = binary.AppendUvarint(raw, uint64(b.sequence-b.changedSequence))
	return binary.AppendUvarint(raw, uint64((b.age+time.Millisecond-1)/time.Millisecond))
}

// maxAge bounds the ages that are accepted; older beats are of no use.
const maxAge = time.Hour

// decodeHeartbeats unpacks beats and reports whether all were well formed.
func decodeHeartbeats(raw []byte, handle func(heartbeat)) bool {
	const keySize = 4
	for len(raw) > 0 {
		if len(raw) < keySize {
			return false
		}
		b := heartbeat{key: ownerKey(binary.LittleEndian.Uint32(raw))}
		raw = raw[keySize:]
		var values [3]uint64
		for i := range values {
			v, n := binary.Uvarint(raw)
			if n <= 0 {
				return false
			}
			values[i], raw = v, raw[n:]
		}
		if values[1] > values[0] || values[2] > uint64(maxAge/time.Millisecond) {
			return false
		}
		b.sequence = unit.Sequence(values[0])
		b.changedSequence = unit.Sequence(values[0] - values[1])
		b.age = time.Duration(values[2]) * time.Millisecond
		handle(b)
	}
	return true
}

// message is a message: a token, beats, and what follows them.
type message struct {
	clockToken
	heartbeats, body []byte
}

// messageVersion is the first byte of a message; others are refused.
const messageVersion = 2

func (p message) encode() []byte {
	raw := binary.AppendUvarint([]byte{messageVersion}, uint64(p.Incarnation))
	raw = binary.AppendUvarint(raw, uint64(p.Elapsed))
	raw = binary.AppendUvarint(raw, uint64(len(p.heartbeats)))
	return append(append(raw, p.heartbeats...), p.body...)
}

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

// domainKey stands for a domain in a digest. Of two domains with the same key
// the lower epoch counts as the one known, so that both are sent.
type domainKey uint32

func newDomainKey(d ident.FabricDomain) domainKey { return domainKey(xxhash.Sum64String(string(d))) }

func appendEpoch(raw []byte, d ident.FabricDomain, e unit.Epoch) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(newDomainKey(d)))
	return binary.AppendUvarint(raw, uint64(e))
}

// decodeEpochs unpacks the epochs of a digest and reports whether they were well
// formed.
func decodeEpochs(raw []byte) (map[domainKey]unit.Epoch, bool) {
	const keySize = 4
	all := make(map[domainKey]unit.Epoch)
	for len(raw) > keySize {
		k := domainKey(binary.LittleEndian.Uint32(raw))
		e, n := binary.Uvarint(raw[keySize:])
		if n <= 0 {
			return nil, false
		}
		raw = raw[keySize+n:]
		if lowest, duplicate := all[k]; !duplicate || unit.Epoch(e) < lowest {
			all[k] = unit.Epoch(e)
		}
	}
	return all, len(raw) == 0
}
