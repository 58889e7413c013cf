package claim

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"cuminbay/internal/domain/code"
)

// compactClaim is the compact form of a claim in the state Done. It lacks the
// fingerprint, the nonce and the holder, and has 96 bits of the hash: High and
// the upper half of Low, as the remainder of Low chooses the shard.
//
// A key that was never claimed is refused as already run if its 96 bits equal
// those of an ended claim of its shard. With the 56,000 claims that a shard can
// hold the chance is 56,000/2^96 = 7e-25 a call, as far as the hash spreads keys
// evenly: xxhash does so for keys that nobody has made up to collide. The
// refusal says that it rests on the hash.
type compactClaim struct {
	high     uint64
	lowUpper uint32
	code     uint16
	minute   uint32
}

// The compact format, little-endian: high 8, mid 4, then 4 bytes with the code
// in the upper 13 bits and the minutes since the shard's base in the lower 19.
const (
	compactSize      = 8 + 4 + 4
	minuteBits       = 19
	maxMinutes       = 1<<minuteBits - 1
	maxCode          = 1<<(32-minuteBits) - 1
	secondsPerMinute = 60
	// maxCompactRetention is the longest retention that the minutes can express, with
	// four days to spare for clocks that differ.
	maxCompactRetention = 360 * 24 * time.Hour
)

// compactOf returns the compact form. The minute is rounded up, so that the
// claim is not forgotten too early.
func compactOf(c *Claim) compactClaim {
	return compactClaim{
		high: c.Hash.High, lowUpper: uint32(c.Hash.Low >> 32),
		code: uint16(c.Code), minute: (c.Changed + secondsPerMinute - 1) / secondsPerMinute,
	}
}

// expand returns what is known of the claim.
func (e *compactClaim) expand(h Hash) Claim {
	return Claim{Hash: h, State: Done, Code: code.Code(e.code), Changed: e.minute * secondsPerMinute}
}

func compareCompact(a, b compactClaim) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.lowUpper, b.lowUpper))
}

// findCompact returns the ended claim with the 96 bits of the hash.
func (s *Shard) findCompact(h Hash) (Claim, bool) {
	i, found := slices.BinarySearchFunc(s.compact, compactClaim{high: h.High, lowUpper: uint32(h.Low >> 32)}, compareCompact)
	if !found {
		return Claim{}, false
	}
	return s.compact[i].expand(h), true
}

// shouldCompact reports whether the claim is to be kept in the compact form.
func (r Rules) shouldCompact(c *Claim, now time.Time) bool {
	return c.State == Done && c.Code >= 0 && c.Code <= maxCode && r.Retention < maxCompactRetention &&
		now.Sub(time.Unix(int64(c.Changed), 0)) > r.FullRetention
}

// prune returns a copy of the shard that leaves out what has expired, has older
// ended claims in the compact form, and has room for more claims.
func (r Rules) prune(s *Shard, now time.Time, room int) *Shard {
	next := &Shard{claims: make([]Claim, 0, len(s.claims)+room)}
	var fresh []compactClaim
	for i := range s.claims {
		c := &s.claims[i]
		switch {
		case r.expired(c, now):
		case r.shouldCompact(c, now):
			fresh = append(fresh, compactOf(c))
		default:
			next.claims = append(next.claims, *c)
		}
	}
	oldest := now.Add(-r.Retention - skewMargin).Unix()
	next.compact = make([]compactClaim, 0, len(s.compact)+len(fresh))
	for _, e := range s.compact {
		if int64(e.minute)*secondsPerMinute < oldest {
			continue
		}
		for len(fresh) > 0 && compareCompact(fresh[0], e) < 0 {
			next.addCompact(fresh[0])
			fresh = fresh[1:]
		}
		next.addCompact(e)
	}
	for _, e := range fresh {
		next.addCompact(e)
	}
	return next
}

// addCompact appends the ended claim. Of two with the same 96 bits the later one is
// kept, so that both keys stay refused for the retention.
func (s *Shard) addCompact(e compactClaim) {
	if n := len(s.compact); n > 0 && compareCompact(s.compact[n-1], e) == 0 {
		if s.compact[n-1].minute < e.minute {
			s.compact[n-1] = e
		}
		return
	}
	s.compact = append(s.compact, e)
}

// baseMinute returns the minute that those of the ended claims are counted from. If
// a wrong clock has left minutes too far apart, older claims count as of the
// base, and are kept for longer.
func (s *Shard) baseMinute() uint32 {
	if len(s.compact) == 0 {
		return 0
	}
	first, last := s.compact[0].minute, s.compact[0].minute
	for _, e := range s.compact {
		first, last = min(first, e.minute), max(last, e.minute)
	}
	if last-first > maxMinutes {
		first = last - maxMinutes
	}
	return first
}

func (s *Shard) appendCompact(raw []byte) []byte {
	le := binary.LittleEndian
	base := s.baseMinute()
	raw = le.AppendUint32(raw, base)
	raw = le.AppendUint32(raw, uint32(len(s.compact)))
	for i := range s.compact {
		e := &s.compact[i]
		raw = le.AppendUint64(raw, e.high)
		raw = le.AppendUint32(raw, e.lowUpper)
		raw = le.AppendUint32(raw, uint32(e.code)<<minuteBits|(max(e.minute, base)-base))
	}
	return raw
}

func (s *Shard) decodeCompact(raw []byte) error {
	const headSize = 4 + 4
	if len(raw) < headSize {
		return code.BadMessage.New("shard of claims: ends before the number of ended claims")
	}
	le := binary.LittleEndian
	base, count := le.Uint32(raw), int(le.Uint32(raw[4:]))
	raw = raw[headSize:]
	if len(raw) != count*compactSize {
		return code.BadMessage.New("shard of claims: %d bytes for %d ended claims, want %d", len(raw), count, count*compactSize)
	}
	s.compact = make([]compactClaim, count)
	for i := range s.compact {
		one := raw[i*compactSize:]
		last := le.Uint32(one[12:])
		s.compact[i] = compactClaim{
			high: le.Uint64(one), lowUpper: le.Uint32(one[8:]),
			code: uint16(last >> minuteBits), minute: base + last&maxMinutes,
		}
		if i > 0 && compareCompact(s.compact[i-1], s.compact[i]) >= 0 {
			return code.BadMessage.New("shard of claims: ended claim %d is out of order", i)
		}
	}
	return nil
}
