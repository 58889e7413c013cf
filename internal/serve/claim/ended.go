package claim

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
)

// ended is the compact form of a claim in the state Done. It lacks the
// fingerprint, the nonce and the holder, and has 96 bits of the hash: High and
// the upper half of Low, as the remainder of Low chooses the shard.
//
// A key that was never claimed is refused as already run if its 96 bits equal
// those of an ended claim of its shard. With the 56,000 claims that a shard can
// hold the chance is 56,000/2^96 = 7e-25 a call, as far as the hash spreads keys
// evenly: xxhash does so for keys that nobody has made up to collide. The
// refusal says that it rests on the hash.
type ended struct {
	high   uint64
	mid    uint32
	code   uint16
	minute uint32
}

// The compact format, little-endian: high 8, mid 4, then 4 bytes with the code
// in the upper 13 bits and the minutes since the shard's base in the lower 19.
const (
	endedSize   = 8 + 4 + 4
	minuteBits  = 19
	maxMinutes  = 1<<minuteBits - 1
	maxCode     = 1<<(32-minuteBits) - 1
	minuteUnits = 60
	// maxCompact is the longest retention that the minutes can express, with
	// four days to spare for clocks that differ.
	maxCompact = 360 * 24 * time.Hour
)

// endedOf returns the compact form. The minute is rounded up, so that the
// claim is not forgotten too early.
func endedOf(c *Claim) ended {
	return ended{
		high: c.Hash.High, mid: uint32(c.Hash.Low >> 32),
		code: uint16(c.Code), minute: (c.Changed + minuteUnits - 1) / minuteUnits,
	}
}

// claim returns what is known of the claim.
func (e *ended) claim(h Hash) Claim {
	return Claim{Hash: h, State: Done, Code: code.Code(e.code), Changed: e.minute * minuteUnits}
}

func compareEnded(a, b ended) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.mid, b.mid))
}

// findEnded returns the ended claim with the 96 bits of the hash.
func (s *Shard) findEnded(h Hash) (Claim, bool) {
	i, found := slices.BinarySearchFunc(s.ended, ended{high: h.High, mid: uint32(h.Low >> 32)}, compareEnded)
	if !found {
		return Claim{}, false
	}
	return s.ended[i].claim(h), true
}

// compacts reports whether the claim is to be kept in the compact form.
func (r Rules) compacts(c *Claim, now time.Time) bool {
	return c.State == Done && c.Code >= 0 && c.Code <= maxCode && r.Retention < maxCompact &&
		now.Sub(time.Unix(int64(c.Changed), 0)) > r.Recent
}

// prune returns a copy of the shard that leaves out what has expired, has older
// ended claims in the compact form, and has room for more claims.
func (r Rules) prune(s *Shard, now time.Time, room int) *Shard {
	next := &Shard{claims: make([]Claim, 0, len(s.claims)+room)}
	var fresh []ended
	for i := range s.claims {
		c := &s.claims[i]
		switch {
		case r.expired(c, now):
		case r.compacts(c, now):
			fresh = append(fresh, endedOf(c))
		default:
			next.claims = append(next.claims, *c)
		}
	}
	oldest := now.Add(-r.Retention - skewMargin).Unix()
	next.ended = make([]ended, 0, len(s.ended)+len(fresh))
	for _, e := range s.ended {
		if int64(e.minute)*minuteUnits < oldest {
			continue
		}
		for len(fresh) > 0 && compareEnded(fresh[0], e) < 0 {
			next.add(fresh[0])
			fresh = fresh[1:]
		}
		next.add(e)
	}
	for _, e := range fresh {
		next.add(e)
	}
	return next
}

// add appends the ended claim. Of two with the same 96 bits the later one is
// kept, so that both keys stay refused for the retention.
func (s *Shard) add(e ended) {
	if n := len(s.ended); n > 0 && compareEnded(s.ended[n-1], e) == 0 {
		if s.ended[n-1].minute < e.minute {
			s.ended[n-1] = e
		}
		return
	}
	s.ended = append(s.ended, e)
}

// base returns the minute that those of the ended claims are counted from. If
// a wrong clock has left minutes too far apart, older claims count as of the
// base, and are kept for longer.
func (s *Shard) base() uint32 {
	if len(s.ended) == 0 {
		return 0
	}
	first, last := s.ended[0].minute, s.ended[0].minute
	for _, e := range s.ended {
		first, last = min(first, e.minute), max(last, e.minute)
	}
	if last-first > maxMinutes {
		first = last - maxMinutes
	}
	return first
}

func (s *Shard) appendEnded(raw []byte) []byte {
	le := binary.LittleEndian
	base := s.base()
	raw = le.AppendUint32(raw, base)
	raw = le.AppendUint32(raw, uint32(len(s.ended)))
	for i := range s.ended {
		e := &s.ended[i]
		raw = le.AppendUint64(raw, e.high)
		raw = le.AppendUint32(raw, e.mid)
		raw = le.AppendUint32(raw, uint32(e.code)<<minuteBits|(max(e.minute, base)-base))
	}
	return raw
}

func (s *Shard) decodeEnded(raw []byte) error {
	const headSize = 4 + 4
	if len(raw) < headSize {
		return code.BadMessage.New("shard of claims: ends before the number of ended claims")
	}
	le := binary.LittleEndian
	base, count := le.Uint32(raw), int(le.Uint32(raw[4:]))
	raw = raw[headSize:]
	if len(raw) != count*endedSize {
		return code.BadMessage.New("shard of claims: %d bytes for %d ended claims, want %d", len(raw), count, count*endedSize)
	}
	s.ended = make([]ended, count)
	for i := range s.ended {
		one := raw[i*endedSize:]
		last := le.Uint32(one[12:])
		s.ended[i] = ended{
			high: le.Uint64(one), mid: le.Uint32(one[8:]),
			code: uint16(last >> minuteBits), minute: base + last&maxMinutes,
		}
		if i > 0 && compareEnded(s.ended[i-1], s.ended[i]) >= 0 {
			return code.BadMessage.New("shard of claims: ended claim %d is out of order", i)
		}
	}
	return nil
}
