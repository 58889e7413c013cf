// Package timeline records the events of a process with timestamps of a hybrid
// logical clock. The events of all processes merge into one order in which a
// cause comes before its effects.
package timeline

import (
	"fmt"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/clock"
)

// logicalBits is the width of the logical counter in a Timestamp. The remaining
// 48 bits hold milliseconds since 1970, which is enough for 8,900 years.
const logicalBits = 16

// Timestamp is a hybrid logical time. The high bits are milliseconds since
// 1970; the low bits are a counter that orders events of one millisecond.
type Timestamp uint64

// TimestampAt returns the timestamp of a wall-clock time with a counter of
// zero.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli()) << logicalBits
}

// Time returns the wall-clock part of the timestamp.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(int64(t >> logicalBits))
}

// Logical returns the counter of the timestamp.
func (t Timestamp) Logical() uint16 {
	return uint16(t)
}

// maxClockSkew bounds how far a peer's timestamp may be ahead of the local
// clock. Without the bound, a peer with a wrong clock would move the timestamps
// of all daemons into the future.
const maxClockSkew = time.Minute

// HybridClock is a hybrid logical clock. It is safe for concurrent use and
// takes no lock.
type HybridClock struct {
	clock clock.Clock
	last  atomic.Uint64
}

// NewHybridClock returns a hybrid logical clock that reads the given physical
// clock.
func NewHybridClock(clk clock.Clock) *HybridClock {
	return &HybridClock{clock: clk}
}

// Now returns a timestamp later than all timestamps that the clock returned or
// observed before.
func (h *HybridClock) Now() Timestamp {
	for {
		last := h.last.Load()
		next := max(last+1, uint64(TimestampAt(h.clock.Now())))
		if h.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe advances the clock past a timestamp received from a peer. It rejects
// a timestamp that is more than a minute ahead of the local clock with
// code.BadMessage.
func (h *HybridClock) Observe(t Timestamp) error {
	if skew := t.Time().Sub(h.clock.Now()); skew > maxClockSkew {
		return code.BadMessage.New("timeline: peer's timestamp is %s ahead of the local clock, limit is %s", skew, maxClockSkew)
	}
	for {
		last := h.last.Load()
		if last >= uint64(t) || h.last.CompareAndSwap(last, uint64(t)) {
			return nil
		}
	}
}

// String returns the time of day and the counter.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", t.Time().UTC().Format("15:04:05.000"), t.Logical())
}
