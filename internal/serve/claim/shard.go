// Package claim makes at-most-once requests run at most once: a request is
// claimed in the platform before it is sent, and a claimed key is not sent
// again.
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

// State is the state of a claim in the platform.
type State uint8

// The states. Only the holder changes a claim from Sent to another state.
const (
	// Sent says that the holder may have sent the request.
	Sent State = iota + 1
	// Done says that the request ended; the claim has its code.
	Done
	// Released says that the holder did not and will not send it.
	Released
)

// Hash identifies a key of an organisation within the platform. Equal hashes
// of different keys lead to a refusal, never to a second run.
type Hash struct {
	High, Low uint64
}

// lowSeed makes the second half of a Hash independent of the first.
const lowSeed = 0x9e3779b97f4a7c15

// HashOf returns the hash of the organisation's key.
func HashOf(o ident.Organisation, k ident.RequestKey) Hash {
	low := xxhash.NewWithSeed(lowSeed)
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(o)))
	_, _ = low.Write(length[:])
	_, _ = low.WriteString(string(o))
	_, _ = low.WriteString(string(k))
	return Hash{High: uint64(work.FingerprintOf(o, []byte(k))), Low: low.Sum64()}
}

// less orders hashes.
func (h Hash) less(other Hash) bool {
	if h.High != other.High {
		return h.High < other.High
	}
	return h.Low < other.Low
}

// Claim is one entry of a shard.
type Claim struct {
	Hash        Hash
	Fingerprint ident.Fingerprint
	// Nonce is random and names one attempt of one holder.
	Nonce  uint64
	Holder ident.Instance
	State  State
	// Code is set for Done.
	Code code.Code
	// Changed is the holder's wall-clock time of the last change in seconds
	// since 1970.
	Changed uint32
}

// Shard is the decoded value of one platform key: claims in order of hash, and
// claims that ended longer ago.
type Shard struct {
	claims  []Claim
	compact []compactClaim
}

// The format of a shard's value, little-endian: version (1 byte), number of
// holders (2), each holder as length (1) and name, number of claims (4), then
// the claims in ascending order of hash, base minute (4) and number (4) of ended
// claims, then these in ascending order. A claim takes 41 bytes: hash 16,
// fingerprint 8, nonce 8, index of its holder 2, state 1, code 2, time 4. An
// ended claim takes 16. Version 1 had no ended claims and is still read.
//
// With the default limit of 900,000 bytes, claims in full for 10 min and 24 h of
// retention, a shard has room for a mean of 900,000/(610*41+86,400*16) = 0.64
// at-most-once calls a second over the day, about 55,600 claims, and 32 shards
// for 20. More calls need more shards, or a shorter retention.
const (
	formatVersion = 2
	firstVersion  = 1
	fixedSize     = 1 + 2 + 4 + 4 + 4
	claimSize     = 16 + 8 + 8 + 2 + 1 + 2 + 4
	maxHolders    = 1<<16 - 1
	maxHolderName = 1<<8 - 1
)

// Decode reads a shard's value; an empty one is an empty shard.
//
// Errors carry code.BadMessage.
func Decode(raw []byte) (*Shard, error) {
	if len(raw) == 0 {
		return &Shard{}, nil
	}
	version := raw[0]
	if version != formatVersion && version != firstVersion {
		return nil, code.BadMessage.New("shard of claims: version %d, want %d", version, formatVersion)
	}
	holders, rest, err := decodeHolders(raw[1:])
	if err != nil {
		return nil, err
	}
	const countSize = 4
	if len(rest) < countSize {
		return nil, code.BadMessage.New("shard of claims: ends before the number of claims")
	}
	count := int(binary.LittleEndian.Uint32(rest))
	rest = rest[countSize:]
	if len(rest) < count*claimSize || version == firstVersion && len(rest) > count*claimSize {
		return nil, code.BadMessage.New("shard of claims: %d bytes for %d claims, want %d", len(rest), count, count*claimSize)
	}
	s := &Shard{claims: make([]Claim, count)}
	for i := range s.claims {
		if err := s.claims[i].decode(rest[i*claimSize:], holders); err != nil {
			return nil, code.BadMessage.Wrap(err, "shard of claims: claim %d", i)
		}
	}
	if version != firstVersion {
		if err := s.decodeCompact(rest[count*claimSize:]); err != nil {
			return nil, err
		}
	}
	return s, s.Check()
}

func decodeHolders(raw []byte) ([]ident.Instance, []byte, error) {
	const countSize = 2
	if len(raw) < countSize {
		return nil, nil, code.BadMessage.New("shard of claims: ends before the number of holders")
	}
	holders := make([]ident.Instance, binary.LittleEndian.Uint16(raw))
	raw = raw[countSize:]
	for i := range holders {
		if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
			return nil, nil, code.BadMessage.New("shard of claims: ends within holder %d", i)
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
		return fmt.Errorf("holder %d of %d", holder, len(holders))
	}
	*c = Claim{
		Hash:        Hash{High: le.Uint64(raw), Low: le.Uint64(raw[8:])},
		Fingerprint: ident.Fingerprint(le.Uint64(raw[16:])),
		Nonce:       le.Uint64(raw[24:]),
		Holder:      holders[holder],
		State:       State(raw[34]),
		Code:        code.Code(le.Uint16(raw[35:])),
		Changed:     le.Uint32(raw[37:]),
	}
	return nil
}

// Check reports claims out of order, repeated or in an unknown state.
//
// Errors carry code.BadMessage.
func (s *Shard) Check() error {
	for i, c := range s.claims {
		if i > 0 && !s.claims[i-1].Hash.less(c.Hash) {
			return code.BadMessage.New("shard of claims: claim %d is out of order", i)
		}
		if c.State < Sent || c.State > Released {
			return code.BadMessage.New("shard of claims: claim %d has the unknown state %d", i, c.State)
		}
	}
	return nil
}

// Encode returns the shard's value.
func (s *Shard) Encode() []byte {
	le := binary.LittleEndian
	holders, index := s.holders()
	raw := make([]byte, 0, s.size(holders))
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
		raw = le.AppendUint32(raw, c.Changed)
	}
	return s.appendCompact(raw)
}

// holders returns the holders of the claims and the index of each.
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

func (s *Shard) size(holders []ident.Instance) int {
	size := fixedSize + len(s.claims)*claimSize + len(s.compact)*compactSize
	for _, h := range holders {
		size += 1 + len(h)
	}
	return size
}

// Len returns the number of claims.
func (s *Shard) Len() int {
	return len(s.claims) + len(s.compact)
}

// find returns the place of the hash and whether a claim is there.
func (s *Shard) find(h Hash) (int, bool) {
	i := sort.Search(len(s.claims), func(i int) bool { return !s.claims[i].Hash.less(h) })
	return i, i < len(s.claims) && s.claims[i].Hash == h
}

// Find returns the claim of the hash. One that ended longer ago has no
// fingerprint, nonce and holder.
func (s *Shard) Find(h Hash) (Claim, bool) {
	i, found := s.find(h)
	if !found {
		return s.findCompact(h)
	}
	return s.claims[i], true
}

// put adds the claim or replaces that of the same hash.
func (s *Shard) put(c Claim) {
	i, found := s.find(c.Hash)
	if found {
		s.claims[i] = c
		return
	}
	s.claims = slices.Insert(s.claims, i, c)
}

// seconds returns a wall-clock time as claims hold it.
func seconds(t time.Time) uint32 {
	return uint32(t.Unix())
}
