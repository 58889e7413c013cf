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
// the upper half of Low. The lower half distinguishes claims of one shard less well, as
// the remainder of Low modulo the number of shards selects the shard.
//
// A key that was never claimed is refused as already run if its 96 bits equal
// those of a compact claim of its shard. With the 56,000 claims that a shard can
// hold, the probability is 56,000/2^96 = 7e-25 for each call, provided that the
// hash spreads keys evenly. xxhash does so unless someone constructs keys that
// collide. The refusal states that it is based on the hash.
type compactClaim struct {
	high        uint64
	lowHighBits uint32
	code        uint16
	// minute is Claim.ChangedAt in minutes since 1970, rounded up.
	minute uint32
}

// The compact format, little-endian: high (8 bytes), lowHighBits (4), then 4
// bytes with the code in the upper 13 bits and the minutes since the shard's base
// minute in the lower 19.
const (
	compactSize      = 8 + 4 + 4
	minuteBits       = 19
	maxMinutes       = 1<<minuteBits - 1
	maxCode          = 1<<(32-minuteBits) - 1
	secondsPerMinute = 60
	// maxCompactRetention is the longest retention that 19 bits of minutes can
	// express, less four days for clocks that differ.
	maxCompactRetention = 360 * 24 * time.Hour
)

// compactOf returns the compact form of the claim. The minute is rounded up, so
// that the claim is not removed before the end of its retention.
func compactOf(c *Claim) compactClaim {
	return compactClaim{
		high: c.Hash.High, lowHighBits: uint32(c.Hash.Low >> 32),
		code: uint16(c.Code), minute: (c.ChangedAt + secondsPerMinute - 1) / secondsPerMinute,
	}
}

// expand returns the claim for the full hash, without the fields that the compact
// form lacks.
func (c *compactClaim) expand(h Hash) Claim {
	return Claim{Hash: h, State: Done, Code: code.Code(c.code), ChangedAt: c.minute * secondsPerMinute}
}

func compareCompact(a, b compactClaim) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.lowHighBits, b.lowHighBits))
}

// findCompact returns the compact claim with the 96 bits of the hash.
func (s *Shard) findCompact(h Hash) (Claim, bool) {
	i, found := slices.BinarySearchFunc(s.compactClaims, compactClaim{high: h.High, lowHighBits: uint32(h.Low >> 32)}, compareCompact)
	if !found {
		return Claim{}, false
	}
	return s.compactClaims[i].expand(h), true
}

// shouldCompact reports whether the claim is due for the compact form.
func (r Rules) shouldCompact(c *Claim, now time.Time) bool {
	return c.State == Done && c.Code >= 0 && c.Code <= maxCode && r.Retention < maxCompactRetention &&
		now.Sub(time.Unix(int64(c.ChangedAt), 0)) > r.FullRetention
}

// prunedCopy returns a copy of the shard without expired claims and with older Done
// claims in the compact form. The copy has capacity for the given number of
// additional claims.
func (r Rules) prunedCopy(s *Shard, now time.Time, additional int) *Shard {
	next := &Shard{claims: make([]Claim, 0, len(s.claims)+additional)}
	var compacted []compactClaim
	for i := range s.claims {
		c := &s.claims[i]
		switch {
		case r.hasExpired(c, now):
		case r.shouldCompact(c, now):
			compacted = append(compacted, compactOf(c))
		default:
			next.claims = append(next.claims, *c)
		}
	}
	oldest := now.Add(-r.Retention - skewMargin).Unix()
	next.compactClaims = make([]compactClaim, 0, len(s.compactClaims)+len(compacted))
	for _, c := range s.compactClaims {
		if int64(c.minute)*secondsPerMinute < oldest {
			continue
		}
		for len(compacted) > 0 && compareCompact(compacted[0], c) < 0 {
			next.addCompact(compacted[0])
			compacted = compacted[1:]
		}
		next.addCompact(c)
	}
	for _, c := range compacted {
		next.addCompact(c)
	}
	return next
}

// addCompact appends the compact claim. Of two claims with the same 96 bits the
// later one is kept, so that both keys are refused for the whole retention.
func (s *Shard) addCompact(c compactClaim) {
	if n := len(s.compactClaims); n > 0 && compareCompact(s.compactClaims[n-1], c) == 0 {
		if s.compactClaims[n-1].minute < c.minute {
			s.compactClaims[n-1] = c
		}
		return
	}
	s.compactClaims = append(s.compactClaims, c)
}

// baseMinute returns the minute from which the minutes of compact claims are
// counted. If a wrong clock has left minutes too far apart for 19 bits, older
// claims are stored with the base minute and are kept for longer.
func (s *Shard) baseMinute() uint32 {
	if len(s.compactClaims) == 0 {
		return 0
	}
	earliest, latest := s.compactClaims[0].minute, s.compactClaims[0].minute
	for _, c := range s.compactClaims {
		earliest, latest = min(earliest, c.minute), max(latest, c.minute)
	}
	if latest-earliest > maxMinutes {
		earliest = latest - maxMinutes
	}
	return earliest
}

func (s *Shard) appendCompact(raw []byte) []byte {
	le := binary.LittleEndian
	base := s.baseMinute()
	raw = le.AppendUint32(raw, base)
	raw = le.AppendUint32(raw, uint32(len(s.compactClaims)))
	for i := range s.compactClaims {
		c := &s.compactClaims[i]
		raw = le.AppendUint64(raw, c.high)
		raw = le.AppendUint32(raw, c.lowHighBits)
		raw = le.AppendUint32(raw, uint32(c.code)<<minuteBits|(max(c.minute, base)-base))
	}
	return raw
}

func (s *Shard) decodeCompact(raw []byte) error {
	const headerSize = 4 + 4
	if len(raw) < headerSize {
		return code.BadMessage.New("decode shard of claims: value ends before the base minute and the number of compact claims, expected 8 bytes")
	}
	le := binary.LittleEndian
	base, count := le.Uint32(raw), int(le.Uint32(raw[4:]))
	raw = raw[headerSize:]
	if len(raw) != count*compactSize {
		return code.BadMessage.New("decode shard of claims: got %d bytes for %d compact claims, expected %d", len(raw), count, count*compactSize)
	}
	s.compactClaims = make([]compactClaim, count)
	for i := range s.compactClaims {
		encoded := raw[i*compactSize:]
		codeAndMinute := le.Uint32(encoded[12:])
		s.compactClaims[i] = compactClaim{
			high: le.Uint64(encoded), lowHighBits: le.Uint32(encoded[8:]),
			code: uint16(codeAndMinute >> minuteBits), minute: base + codeAndMinute&maxMinutes,
		}
		if i > 0 && compareCompact(s.compactClaims[i-1], s.compactClaims[i]) >= 0 {
			return code.BadMessage.New("decode shard of claims: compact claim %d is not in ascending order", i)
		}
	}
	return nil
}
