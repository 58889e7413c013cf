package ident

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxUnnamedCrashes bounds the crashes that are named for one number.
const maxUnnamedCrashes = 32

// UnnamedCrashes returns identities for crashes of which a daemon has told only the number, up
// to 32. They are the same each time it tells that number.
func UnnamedCrashes(observer Instance, count uint32) []Crash {
	count = min(count, maxUnnamedCrashes)
	crashes := make([]Crash, 0, count)
	for i := range count {
		raw := binary.LittleEndian.AppendUint32([]byte(observer), i)
		crashes = append(crashes, Crash(xxhash.Sum64(raw)))
	}
	return crashes
}
