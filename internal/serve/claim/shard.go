// Package claim ensures that an at-most-once request runs at most once. Before the
// dispatcher sends such a request, it records a claim for the request's idempotency
// key in the platform's key-value store; a request whose key has a claim is refused.
// Claims are spread over shards, each of them one key of the store, and changes of
// a shard are written in batches by compare-and-swap.
package claim

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/work"
)

// State is the state of a claim in the store.
type State uint8

// The states. Done and Released are terminal. Only the holder moves a claim from
// Sent to a terminal state.
const (
	// Sent means that the holder may have sent the request.
	Sent State = iota + 1
	// Done means that the request ended with the code of the claim.
	Done
	// Released means that the holder did not and will not send the request.
	Released
)

// Hash identifies an organisation's idempotency key in the store. Equal hashes of
// different keys lead to a refusal, never to a second run.
type Hash struct {
	High, Low uint64
}

// lowSeed makes the second half of a Hash independent of the first.
const lowSeed = 0x9e3779b97f4a7c15

// HashOf returns the hash of the organisation's key.
func HashOf(o ident.Organisation, k ident.IdempotencyKey) Hash {
	low := xxhash.NewWithSeed(lowSeed)
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(o)))
	_, _ = low.Write(length[:])
	_, _ = low.WriteString(string(o))
	_, _ = low.WriteString(string(k))
	return Hash{High: uint64(work.FingerprintOf(o, []byte(k))), Low: low.Sum64()}
}

// less reports whether h sorts before the other hash.
func (h Hash) less(other Hash) bool {
	if h.High != other.High {
		return h.High < other.High
	}
	return h.Low < other.Low
}

// Claim is the stored record that a holder may have sent the request with a key.
type Claim struct {
	Hash        Hash
	Fingerprint ident.Fingerprint
	// Nonce is random and identifies one attempt of one holder.
	Nonce uint64
	// Holder is the daemon that made the claim.
	Holder ident.Instance
	State  State
	// Code is the result code of the request in the state Done.
	Code code.Code
	// ChangedAt is the time of the last change by the holder's wall clock, in
	// seconds since 1970.
	ChangedAt uint32
}

// Shard is the decoded value of one store key: claims in full and compact claims,
// both in ascending order of hash.
type Shard struct {
	claims        []Claim
	compactClaims []compactClaim
}

// The format of a shard's value, little-endian: version (1 byte), number of
// holders (2), each holder as length (1) and name, number of claims (4), the
// claims in ascending order of hash, base minute (4) and number (4) of compact
// claims, the compact claims in ascending order. A claim takes 41 bytes: hash 16,
// fingerprint 8, nonce 8, index of its holder 2, state 1, code 2, time 4. A
// compact claim takes 16 bytes. Version 1 had no compact claims and is still
// decoded.
//
// With the default limit of 900,000 bytes, claims in full for 10 min and a
// retention of 24 h, a shard has capacity for a mean of
// 900,000/(610*41+86,400*16) = 0.64 at-most-once calls per second over the day,
// which are about 55,600 claims, and 32 shards for 20 calls per second. More calls
// need more shards or a shorter retention.
const (
	formatVersion = 2
	firstVersion  = 1
	fixedSize     = 1 + 2 + 4 + 4 + 4
	claimSize     = 16 + 8 + 8 + 2 + 1 + 2 + 4
	maxHolders    = 1<<16 - 1
	maxHolderName = 1<<8 - 1
)

// Decode decodes a shard's value. An empty value is an empty shard.
//
// Errors carry code.BadMessage.
func Decode(raw []byte) (*Shard, error) {
	if len(raw) == 0 {
		return &Shard{}, nil
	}
	version := raw[0]
	if version != formatVersion && version != firstVersion {
		return nil, code.BadMessage.New("decode shard of claims: got format version %d, expected at most %d", version, formatVersion)
	}
	holders, remaining, err := decodeHolders(raw[1:])
	if err != nil {
		return nil, err
	}
	const countSize = 4
	if len(remaining) < countSize {
		return nil, code.BadMessage.New("decode shard of claims: value ends before the number of claims, expected 4 bytes")
	}
	count := int(binary.LittleEndian.Uint32(remaining))
	remaining = remaining[countSize:]
	if len(remaining) < count*claimSize || version == firstVersion && len(remaining) > count*claimSize {
		return nil, code.BadMessage.New("decode shard of claims: got %d bytes for %d claims, expected %d", len(remaining), count, count*claimSize)
	}
	s := &Shard{claims: make([]Claim, count)}
	for i := range s.claims {
		if err := s.claims[i].decode(remaining[i*claimSize:], holders); err != nil {
			return nil, code.BadMessage.Wrap(err, "decode shard of claims: claim %d", i)
		}
	}
	if version != firstVersion {
		if err := s.decodeCompact(remaining[count*claimSize:]); err != nil {
			return nil, err
		}
	}
	return s, s.Check()
}

func decodeHolders(raw []byte) ([]ident.Instance, []byte, error) {
	const countSize = 2
	if len(raw) < countSize {
		return nil, nil, code.BadMessage.New("decode shard of claims: value ends before the number of holders, expected 2 bytes")
	}
	holders := make([]ident.Instance, binary.LittleEndian.Uint16(raw))
	raw = raw[countSize:]
	for i := range holders {
		if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
			return nil, nil, code.BadMessage.New("decode shard of claims: value ends within holder %d", i)
		}
		end := 1 + int(raw[0])
		holders[i] = ident.Instance(raw[1:end])
		raw = raw[end:]
	}
	return holders, raw, nil
}

func (c *Claim) decode(raw []byte, holders []ident.Instance) error {
	le := binary.LittleEndian
	holder := int(le.Uint16(raw[32:]))
	if holder >= len(holders) {
		return fmt.Errorf("holder index %d is not below the number of holders, %d", holder, len(holders))
	}
	*c = Claim{
		Hash:        Hash{High: le.Uint64(raw), Low: le.Uint64(raw[8:])},
		Fingerprint: ident.Fingerprint(le.Uint64(raw[16:])),
		Nonce:       le.Uint64(raw[24:]),
		Holder:      holders[holder],
		State:       State(raw[34]),
		Code:        code.Code(le.Uint16(raw[35:])),
		ChangedAt:   le.Uint32(raw[37:]),
	}
	return nil
}

// Check returns an error for claims that are out of order, repeated or in an
// unknown state.
//
// Errors carry code.BadMessage.
func (s *Shard) Check() error {
	for i, c := range s.claims {
		if i > 0 && !s.claims[i-1].Hash.less(c.Hash) {
			return code.BadMessage.New("shard of claims: claim %d is not in ascending order", i)
		}
		if c.State < Sent || c.State > Released {
			return code.BadMessage.New("shard of claims: claim %d has unknown state %d", i, c.State)
		}
	}
	return nil
}

// Encode returns the encoded value of the shard.
func (s *Shard) Encode() []byte {
	le := binary.LittleEndian
	holders, index := s.holders()
	raw := make([]byte, 0, s.encodedSize(holders))
	raw = append(raw, formatVersion)
	raw = le.AppendUint16(raw, uint16(len(holders)))
	for _, h := range holders {
		raw = append(raw, byte(len(h)))
		raw = append(raw, h...)
	}
	raw = le.AppendUint32(raw, uint32(len(s.claims)))
	for i := range s.claims {
		c := &s.claims[i]
		raw = le.AppendUint64(raw, c.Hash.High)
		raw = le.AppendUint64(raw, c.Hash.Low)
		raw = le.AppendUint64(raw, uint64(c.Fingerprint))
		raw = le.AppendUint64(raw, c.Nonce)
		raw = le.AppendUint16(raw, index[c.Holder])
		raw = append(raw, byte(c.State))
		raw = le.AppendUint16(raw, uint16(c.Code))
		raw = le.AppendUint32(raw, c.ChangedAt)
	}
	return s.appendCompact(raw)
}

// holders returns the holders of the claims, and the index of each in that list.
func (s *Shard) holders() ([]ident.Instance, map[ident.Instance]uint16) {
	var holders []ident.Instance
	index := make(map[ident.Instance]uint16)
	for i := range s.claims {
		h := s.claims[i].Holder
		if _, known := index[h]; !known {
			index[h] = uint16(len(holders))
			holders = append(holders, h)
		}
	}
	return holders, index
}

// encodedSize returns the encoded size in bytes.
func (s *Shard) encodedSize(holders []ident.Instance) int {
	size := fixedSize + len(s.claims)*claimSize + len(s.compactClaims)*compactSize
	for _, h := range holders {
		size += 1 + len(h)
	}
	return size
}

// Len returns the number of claims, compact ones included.
func (s *Shard) Len() int {
	return len(s.claims) + len(s.compactClaims)
}

// indexOf returns the index at which the hash is or would be inserted, and whether the
// shard has a claim with it.
func (s *Shard) indexOf(h Hash) (int, bool) {
	i := sort.Search(len(s.claims), func(i int) bool { return !s.claims[i].Hash.less(h) })
	return i, i < len(s.claims) && s.claims[i].Hash == h
}

// Find returns the claim with the hash. A compact claim has no fingerprint, nonce
// and holder.
func (s *Shard) Find(h Hash) (Claim, bool) {
	i, found := s.indexOf(h)
	if !found {
		return s.findCompact(h)
	}
	return s.claims[i], true
}

// putClaim inserts the claim or replaces the claim with the same hash.
func (s *Shard) putClaim(c Claim) {
	i, found := s.indexOf(c.Hash)
	if found {
		s.claims[i] = c
		return
	}
	s.claims = slices.Insert(s.claims, i, c)
}

// unixSeconds returns the time in the unit of Claim.ChangedAt.
func unixSeconds(t time.Time) uint32 {
	return uint32(t.Unix())
}
