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

// beat is a heartbeat without names, as it is sent most of the time: every owner
// is in every digest and every interval has a new sequence of each.
type beat struct {
	key      beatKey
	sequence unit.Sequence
	changed  unit.Sequence
	age      time.Duration
}

func (a *attestation) beat(owner ident.Instance, age time.Duration) beat {
	return beat{key: keyOf(owner, a.boot), sequence: a.sequence, changed: a.changed, age: age}
}

// beatKey stands for owner and boot. Among the 60 owners of the largest data
// centre two have the same key with a probability of 1 in 2 million. Beats of
// such a key are ignored, so the replicas of both then count as not attested.
type beatKey uint32

func keyOf(owner ident.Instance, boot unit.Incarnation) beatKey {
	return beatKey(xxhash.Sum64String(string(owner) + " " + strconv.FormatUint(uint64(boot), 10)))
}

// append adds the packed beat: the key in 4 bytes, then as varints the sequence,
// the distance to the last change, and the age in milliseconds, rounded up.
func (b beat) append(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(b.key))
	raw = binary.AppendUvarint(raw, uint64(b.sequence))
	raw = binary.AppendUvarint(raw, uint64(b.sequence-b.changed))
	return binary.AppendUvarint(raw, uint64((b.age+time.Millisecond-1)/time.Millisecond))
}

// maxAge bounds the ages that are accepted; older beats are of no use.
const maxAge = time.Hour

// eachBeat unpacks beats and reports whether all were well formed.
func eachBeat(raw []byte, take func(beat)) bool {
	const keySize = 4
	for len(raw) > 0 {
		if len(raw) < keySize {
			return false
		}
		b := beat{key: beatKey(binary.LittleEndian.Uint32(raw))}
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
		b.changed = unit.Sequence(values[0] - values[1])
		b.age = time.Duration(values[2]) * time.Millisecond
		take(b)
	}
	return true
}

// packed is a message: a token, beats, and what follows them.
type packed struct {
	token
	beats, rest []byte
}

// packedVersion is the first byte of a message; others are refused.
const packedVersion = 2

func (p packed) append() []byte {
	raw := binary.AppendUvarint([]byte{packedVersion}, uint64(p.Boot))
	raw = binary.AppendUvarint(raw, uint64(p.Since))
	raw = binary.AppendUvarint(raw, uint64(len(p.beats)))
	return append(append(raw, p.beats...), p.rest...)
}

func unpack(raw []byte) (packed, bool) {
	if len(raw) == 0 || raw[0] != packedVersion {
		return packed{}, false
	}
	raw = raw[1:]
	var values [3]uint64
	for i := range values {
		v, n := binary.Uvarint(raw)
		if n <= 0 {
			return packed{}, false
		}
		values[i], raw = v, raw[n:]
	}
	if values[1] > math.MaxInt64 || values[2] > uint64(len(raw)) {
		return packed{}, false
	}
	return packed{
		token: token{Boot: unit.Incarnation(values[0]), Since: time.Duration(values[1])},
		beats: raw[:values[2]], rest: raw[values[2]:],
	}, true
}

// domainKey stands for a domain in a digest. Of two domains with the same key
// the lower epoch counts as the one known, so that both are sent.
type domainKey uint32

func keyOfDomain(d ident.FabricDomain) domainKey { return domainKey(xxhash.Sum64String(string(d))) }

func appendEpoch(raw []byte, d ident.FabricDomain, e unit.Epoch) []byte {
	raw = binary.LittleEndian.AppendUint32(raw, uint32(keyOfDomain(d)))
	return binary.AppendUvarint(raw, uint64(e))
}

// epochs unpacks the epochs of a digest and reports whether they were well
// formed.
func epochs(raw []byte) (map[domainKey]unit.Epoch, bool) {
	const keySize = 4
	all := make(map[domainKey]unit.Epoch)
	for len(raw) > keySize {
		k := domainKey(binary.LittleEndian.Uint32(raw))
		e, n := binary.Uvarint(raw[keySize:])
		if n <= 0 {
			return nil, false
		}
		raw = raw[keySize+n:]
		if old, twice := all[k]; !twice || unit.Epoch(e) < old {
			all[k] = unit.Epoch(e)
		}
	}
	return all, len(raw) == 0
}
