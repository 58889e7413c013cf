package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// message is what a daemon tells the others, in one datagram.
type message struct {
	From        ident.Instance
	Incarnation unit.Incarnation
	Sequence    unit.Sequence
	// Revision is that of the sender's copy of the platform's keys, and Age the
	// time since the platform confirmed it.
	Revision unit.Revision
	Age      time.Duration
	// InFlight has the sender's requests in flight by endpoint.
	InFlight map[endpointHash]unit.Requests
	// FailureAges has the endpoints that failed lately, with the time since.
	FailureAges map[endpointHash]time.Duration
	// Crashes has the endpoints that crashed at the sender lately, counted by the
	// request that they ran.
	Crashes map[ident.Fingerprint]uint32
	// Completed has the requests that others suspect and that have run to their end
	// at the sender.
	Completed []ident.Fingerprint
}

// endpointHash names a server's part in a replica, so that what is said of one
// epoch doesn't count for the next. It is a hash, as names would make up most of
// a datagram. Two endpoints with one hash share their load, which does no harm.
type endpointHash uint32

func hashOf(e *catalog.Endpoint) endpointHash {
	return hashEndpoint(e.ID, e.Epoch)
}

func hashEndpoint(id ident.Instance, epoch unit.Epoch) endpointHash {
	const mix = 0x9e3779b97f4a7c15 // an odd number without a pattern in its bits
	return endpointHash((xxhash.Sum64String(string(id)) ^ uint64(epoch)*mix) >> 32)
}

func (m *message) encode() ([]byte, error) {
	d := &Datagram{
		From: string(m.From), Boot: uint64(m.Incarnation), Sequence: uint64(m.Sequence),
		Revision: int64(m.Revision), Age: encodeAge(m.Age),
	}
	for e, n := range m.InFlight {
		d.Endpoints = append(d.Endpoints, uint32(e))
		d.Requests = append(d.Requests, uint32(n))
	}
	for e, age := range m.FailureAges {
		d.Failed = append(d.Failed, uint32(e))
		d.FailedAges = append(d.FailedAges, encodeAge(age))
	}
	for f, n := range m.Crashes {
		d.Crashing = append(d.Crashing, uint64(f))
		d.Crashes = append(d.Crashes, n)
	}
	for _, f := range m.Completed {
		d.Proven = append(d.Proven, uint64(f))
	}
	return proto.Marshal(d)
}

func encodeAge(d time.Duration) uint32 {
	return uint32(max(0, min(d, maxEncodedAge)).Milliseconds())
}

// maxEncodedAge bounds the ages in a datagram; what is older counts the same.
const maxEncodedAge = time.Hour

// decodeMessage reads a datagram.
//
// Errors carry code.BadMessage.
func decodeMessage(raw []byte) (*message, error) {
	d := new(Datagram)
	if err := proto.Unmarshal(raw, d); err != nil {
		return nil, code.BadMessage.Wrap(err, "datagram of %d bytes", len(raw))
	}
	if err := ident.CheckName(d.GetFrom()); err != nil {
		return nil, code.BadMessage.Wrap(err, "from")
	}
	if len(d.GetEndpoints()) != len(d.GetRequests()) {
		return nil, code.BadMessage.New("requests: %d for %d endpoints", len(d.GetRequests()), len(d.GetEndpoints()))
	}
	if len(d.GetFailed()) != len(d.GetFailedAges()) {
		return nil, code.BadMessage.New("failed_ages: %d for %d endpoints", len(d.GetFailedAges()), len(d.GetFailed()))
	}
	if len(d.GetCrashing()) != len(d.GetCrashes()) {
		return nil, code.BadMessage.New("crashes: %d for %d requests", len(d.GetCrashes()), len(d.GetCrashing()))
	}
	m := &message{
		From: ident.Instance(d.GetFrom()), Incarnation: unit.Incarnation(d.GetBoot()), Sequence: unit.Sequence(d.GetSequence()),
		Revision: unit.Revision(d.GetRevision()), Age: time.Duration(d.GetAge()) * time.Millisecond,
		InFlight: make(map[endpointHash]unit.Requests, len(d.GetEndpoints())), FailureAges: make(map[endpointHash]time.Duration, len(d.GetFailed())),
	}
	for i, e := range d.GetEndpoints() {
		m.InFlight[endpointHash(e)] += unit.Requests(d.GetRequests()[i])
	}
	for i, e := range d.GetFailed() {
		m.FailureAges[endpointHash(e)] = time.Duration(d.GetFailedAges()[i]) * time.Millisecond
	}
	if len(d.GetCrashing()) > 0 {
		m.Crashes = make(map[ident.Fingerprint]uint32, len(d.GetCrashing()))
	}
	for i, f := range d.GetCrashing() {
		m.Crashes[ident.Fingerprint(f)] = d.GetCrashes()[i]
	}
	for _, f := range d.GetProven() {
		m.Completed = append(m.Completed, ident.Fingerprint(f))
	}
	return m, nil
}
