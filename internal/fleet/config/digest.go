package config

import (
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
)

// A digest consists of the version, the flags, the highest revision, the hash of
// all records and, if a peer has requested them, the hashes of the buckets. A daemon
// sends up to 16 digests a second, so it usually sends the short form of 18 bytes; the
// long form with the bucket hashes has 530 bytes.
const (
	digestVersion   = 1
	bucketCount     = 64
	hashSize        = 8
	shortDigestSize = 2 + 2*hashSize
	longDigestSize  = shortDigestSize + bucketCount*hashSize
	flagReady       = 1
)

// detailedDigestCount is the number of digests that are sent with bucket hashes
// after a peer has requested the hashes. One digest would be enough for that peer,
// but the next digests may go to other peers first.
const detailedDigestCount = 8

// digest is the decoded form of a peer's digest.
type digest struct {
	ready           bool
	highestRevision unit.Revision
	rootHash        uint64
	// buckets is nil in the short form.
	buckets []uint64
}

// delta is the message that Delta encodes and Merge decodes.
type delta struct {
	Ready        bool           `json:"ready,omitempty"`
	NeedsBuckets bool           `json:"detail,omitempty"`
	Records      []StoredRecord `json:"records,omitempty"`
}

// Section returns the name of the section that daemons exchange.
func (s *State) Section() string {
	return "config"
}

// IsGlobal reports that the section is exchanged with other data centres too.
func (s *State) IsGlobal() bool {
	return true
}

// Digest returns a summary of this daemon's records, by which a peer finds the
// records that this daemon lacks.
func (s *State) Digest() []byte {
	detailed := s.remainingDetailedDigests.Load() > 0 && s.remainingDetailedDigests.Add(-1) >= 0
	s.mu.Lock()
	buckets := s.buckets
	s.mu.Unlock()
	var flags byte
	if s.Ready() {
		flags = flagReady
	}
	raw := make([]byte, 0, longDigestSize)
	raw = append(raw, digestVersion, flags)
	raw = binary.BigEndian.AppendUint64(raw, uint64(s.Revision()))
	raw = binary.BigEndian.AppendUint64(raw, rootHash(buckets))
	if detailed {
		for _, h := range buckets {
			raw = binary.BigEndian.AppendUint64(raw, h)
		}
	}
	return raw
}

// Delta returns, encoded, the records that the sender of the digest lacks and,
// if this daemon is ready and the sender is not, that it is ready. It returns
// nil if there is neither, or if the digest is malformed. If the sender's
// highest revision is lower than this daemon's, the delta has the records above
// the sender's revision. If the revisions are equal and the contents differ,
// the delta has the records of the buckets that differ, or a request for the
// bucket hashes if the digest has none. If the sender's revision is higher, the
// delta has no records: the sender returns its newer records, and the next
// exchange finds the remaining differences.
func (s *State) Delta(raw []byte) []byte {
	remote, err := parseDigest(raw)
	if err != nil {
		return nil
	}
	response := s.deltaFor(remote)
	response.Ready = s.Ready() && (!remote.ready || len(response.Records) > 0)
	if !response.Ready && !response.NeedsBuckets && len(response.Records) == 0 {
		return nil
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return nil
	}
	return encoded
}

func (s *State) deltaFor(remote digest) delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	if remote.rootHash == rootHash(s.buckets) {
		return delta{}
	}
	ownRevision := s.Revision()
	switch {
	case remote.highestRevision < ownRevision:
		return delta{Records: s.recordsNewerThanLocked(remote.highestRevision)}
	case remote.highestRevision > ownRevision:
		return delta{}
	case remote.buckets == nil:
		return delta{NeedsBuckets: true}
	}
	return delta{Records: s.recordsOfDifferingBucketsLocked(remote.buckets)}
}

func (s *State) recordsNewerThanLocked(after unit.Revision) []StoredRecord {
	var records []StoredRecord
	for _, versions := range s.records {
		if versions.newestRevision() > after {
			records = versions.appendTo(records)
		}
	}
	return records
}

func (s *State) recordsOfDifferingBucketsLocked(buckets []uint64) []StoredRecord {
	var records []StoredRecord
	for name, versions := range s.records {
		if bucket := bucketOf(name); buckets[bucket] != s.buckets[bucket] {
			records = versions.appendTo(records)
		}
	}
	return records
}

// appendTo appends the active record and the rejected record, in this order. A
// daemon that received only the rejected record would have no active one.
func (v *recordVersions) appendTo(records []StoredRecord) []StoredRecord {
	if v.active.Revision > 0 {
		records = append(records, v.active)
	}
	if v.rejected.Revision > 0 {
		records = append(records, v.rejected)
	}
	return records
}

// Merge applies a delta from a peer.
//
// Errors carry code.BadMessage.
func (s *State) Merge(from ident.Instance, raw []byte) error {
	var d delta
	if err := json.Unmarshal(raw, &d); err != nil {
		return code.BadMessage.Wrap(err, "config: merge delta from %s", from)
	}
	for _, r := range d.Records {
		if r.Revision <= 0 {
			return code.BadMessage.New("config: merge delta from %s: record %s has revision %d, expected a positive one", from, r.Name, r.Revision)
		}
	}
	if d.NeedsBuckets {
		s.remainingDetailedDigests.Store(detailedDigestCount)
	}
	s.Apply(FromPeer, d.Records)
	if d.Ready {
		s.SetReady()
	}
	return nil
}

func parseDigest(raw []byte) (digest, error) {
	if len(raw) != shortDigestSize && len(raw) != longDigestSize || raw[0] != digestVersion {
		return digest{}, code.BadMessage.New("config: decode digest of %d bytes: invalid length or format version, expected version %d", len(raw), digestVersion)
	}
	d := digest{
		ready:           raw[1]&flagReady != 0,
		highestRevision: unit.Revision(binary.BigEndian.Uint64(raw[2:])),
		rootHash:        binary.BigEndian.Uint64(raw[2+hashSize:]),
	}
	for offset := shortDigestSize; offset < len(raw); offset += hashSize {
		d.buckets = append(d.buckets, binary.BigEndian.Uint64(raw[offset:]))
	}
	return d, nil
}

func rootHash(buckets [bucketCount]uint64) uint64 {
	var raw [bucketCount * hashSize]byte
	for i, h := range buckets {
		binary.BigEndian.PutUint64(raw[i*hashSize:], h)
	}
	return xxhash.Sum64(raw[:])
}

func bucketOf(name record.Name) int {
	return int(xxhash.Sum64String(name.String()) % bucketCount)
}

// hash covers the name and the revisions of the active and the rejected record.
// The hash of a bucket is the exclusive or of its records' hashes, so that it can
// be updated without hashing the other records.
func (v *recordVersions) hash(name record.Name) uint64 {
	if v.newestRevision() == 0 {
		return 0
	}
	return xxhash.Sum64String(name.String() + " " + revisionText(v.active.Revision) + " " + revisionText(v.rejected.Revision))
}

func revisionText(r unit.Revision) string {
	return strconv.FormatInt(int64(r), 10)
}
