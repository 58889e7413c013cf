// Package timeline records events with a hybrid logical clock, so that the
// events of all processes merge into one order in which causes come first.
package timeline

import (
	"fmt"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/clock"
)

// logicalBits is the width of the logical counter in a Stamp. The remaining
// 48 bits hold milliseconds since 1970, enough for 8,900 years.
const logicalBits = 16

// Timestamp is a hybrid logical time: milliseconds since 1970 above a counter that
// orders what happened within one millisecond.
type Timestamp uint64

// TimestampAt returns the stamp of a wall-clock time with a zero counter.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli()) << logicalBits
}

// Time returns the wall-clock part of the stamp.
func (s Timestamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits))
}

// Logical returns the counter part of the stamp.
func (s Timestamp) Logical() uint16 {
	return uint16(s)
}

// maxClockSkew bounds how far a peer's stamp may be ahead of the local clock. A
// peer with a broken clock would otherwise drag every daemon's stamps along.
const maxClockSkew = time.Minute

// HybridClock is a hybrid logical clock. It is safe for concurrent use and takes no
// lock.
type HybridClock struct {
	clock clock.Clock
	last  atomic.Uint64
}

// NewHybrid returns a hybrid clock over the given physical one.
func NewHybrid(clk clock.Clock) *HybridClock {
	return &HybridClock{clock: clk}
}

// Now returns a stamp later than every one returned or observed before.
func (h *HybridClock) Now() Timestamp {
	for {
		last := h.last.Load()
		next := max(last+1, uint64(TimestampAt(h.clock.Now())))
		if h.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe moves the clock past a stamp received from a peer. A stamp more than
// a minute ahead of the local clock is refused with code.BadMessage.
func (h *HybridClock) Observe(s Timestamp) error {
	if skew := s.Time().Sub(h.clock.Now()); skew > maxClockSkew {
		return code.BadMessage.New("timeline: peer's stamp is %s ahead of the local clock, over the bound of %s", skew, maxClockSkew)
	}
	for {
		last := h.last.Load()
		if last >= uint64(s) || h.last.CompareAndSwap(last, uint64(s)) {
			return nil
		}
	}
}

// String returns the stamp as time and counter.
func (s Timestamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().UTC().Format("15:04:05.000"), s.Logical())
}
