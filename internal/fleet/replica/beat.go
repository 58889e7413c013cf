package replica

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// beat is a heartbeat without names, as it is sent most of the time: every owner
// is in every digest and every interval has a new sequence of each.
type beat struct {
	// key stands for owner and boot.
	key      uint64
	sequence unit.Sequence
	changed  unit.Sequence
	age      time.Duration
}

func (a *attestation) beat(owner ident.Instance, age time.Duration) beat {
	return beat{key: beatKey(owner, a.boot), sequence: a.sequence, changed: a.changed, age: age}
}

func beatKey(owner ident.Instance, boot unit.Boot) uint64 {
	return xxhash.Sum64String(string(owner) + " " + strconv.FormatUint(uint64(boot), 10))
}

// append adds the packed beat: the key in 8 bytes, then as varints the sequence,
// the distance to the last change, and the age in milliseconds, rounded up.
func (b beat) append(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint64(raw, b.key)
	raw = binary.AppendUvarint(raw, uint64(b.sequence))
	raw = binary.AppendUvarint(raw, uint64(b.sequence-b.changed))
	return binary.AppendUvarint(raw, uint64((b.age+time.Millisecond-1)/time.Millisecond))
}

// maxAge bounds the ages that are accepted; older beats are of no use.
const maxAge = time.Hour

// eachBeat unpacks beats and reports whether all were well formed.
func eachBeat(raw []byte, take func(beat)) bool {
	const keySize = 8
	for len(raw) > 0 {
		if len(raw) < keySize {
			return false
		}
		b := beat{key: binary.LittleEndian.Uint64(raw)}
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
