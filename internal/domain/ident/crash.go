package ident

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxCrashes bounds the crashes that are kept for one request and the daemon that observed them.
const MaxCrashes = 32

// UnnamedCrashes returns identities for crashes of which a daemon has told only the number, at
// most MaxCrashes. A higher number has the identities of the lower ones and more.
func UnnamedCrashes(observer Instance, count uint32) []Crash {
	count = min(count, MaxCrashes)
	crashes := make([]Crash, 0, count)
	for i := range count {
		raw := binary.LittleEndian.AppendUint32([]byte(observer), i)
		crashes = append(crashes, Crash(xxhash.Sum64(raw)))
	}
	return crashes
}
