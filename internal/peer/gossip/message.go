package gossip

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/fleet/demand"
	"cuminbay/internal/route/ratelimit"
)

// message is the decoded content of a datagram.
type message struct {
	From        ident.Instance
	Incarnation unit.Incarnation
	Sequence    unit.Sequence
	// CopyRevision is the revision of the sender's copy of the platform's keys,
	// and CopyAge the time since the platform confirmed that copy.
	CopyRevision unit.Revision
	CopyAge      time.Duration
	// Loads has the load of the sender's requests in flight by endpoint.
	Loads map[endpointHash]endpointLoad
	// DataCentreSum is the load of all daemons of the sender's data centre, nil if the datagram
	// has none.
	DataCentreSum *dataCentreSum
	// FailureAges has the endpoints whose failure the sender observed recently, with
	// the time since the last failure.
	FailureAges map[endpointHash]time.Duration
	// Crashes has, by request, the recent crashes of endpoints while they ran the request
	// for the sender.
	Crashes map[ident.Fingerprint][]ident.Crash
	// ClearedRequests has the requests that other daemons suspect and that have run to
	// their end at the sender.
	ClearedRequests []ident.Fingerprint
	// PartCrashes has, by prompt part, crashes of endpoints that had not begun to answer
	// a prompt with the part.
	PartCrashes map[ident.PromptPart][]ident.Crash
	// SoundParts are parts that other daemons suspect, and that an endpoint has begun to
	// answer a prompt with.
	SoundParts []ident.PromptPart
	// Limits says which endpoints named a limit of requests in their recent answers to the
	// sender.
	Limits []ratelimit.Observation
	// CutOff says that the sender can't connect to any server.
	CutOff bool
	// Demand is the load that callers offer to the sender.
	Demand demand.Report
	// Formations are replicas that serve, as their members reported to the sender.
	Formations []cluster.Formation
}

// endpointHash identifies a server at one epoch of its replica, so that a report
// about one epoch does not count for the next. Names would make up most of a
// datagram, so endpoints are identified by a hash. Two endpoints with the same hash
// share their load, which is tolerable.
type endpointHash uint32

func hashOf(e *catalog.Endpoint) endpointHash {
	return hashEndpoint(e.ID, e.Epoch)
}

func hashEndpoint(id ident.Instance, epoch unit.Epoch) endpointHash {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio: odd, without a pattern in its bits
	return endpointHash((xxhash.Sum64String(string(id)) ^ uint64(epoch)*multiplier) >> 32)
}

func (m *message) encode() ([]byte, error) {
	d := &Datagram{
		From: string(m.From), Boot: uint64(m.Incarnation), Sequence: uint64(m.Sequence),
		Revision: int64(m.CopyRevision), Age: encodeAge(m.CopyAge), CutOff: m.CutOff,
	}
	d.Endpoints, d.Requests, d.PendingPrefill, d.Work = encodeLoads(m.Loads)
	if m.DataCentreSum != nil {
		d.SumAge = encodeAge(m.DataCentreSum.Age) + 1
		d.SumEndpoints, d.SumRequests, d.SumPendingPrefill, d.SumWork = encodeLoads(m.DataCentreSum.Loads)
	}
	for e, age := range m.FailureAges {
		d.Failed = append(d.Failed, uint32(e))
		d.FailedAges = append(d.FailedAges, encodeAge(age))
	}
	for f, ids := range m.Crashes {
		d.Crashing = append(d.Crashing, uint64(f))
		d.Crashes = append(d.Crashes, uint32(len(ids)))
		for _, crash := range ids {
			d.CrashIds = append(d.CrashIds, uint64(crash))
		}
	}
	for _, f := range m.ClearedRequests {
		d.Proven = append(d.Proven, uint64(f))
	}
	for part, crashes := range m.PartCrashes {
		for _, crash := range crashes {
			d.CrashParts = append(d.CrashParts, uint64(part))
			d.PartCrashes = append(d.PartCrashes, uint64(crash))
		}
	}
	for _, part := range m.SoundParts {
		d.SoundParts = append(d.SoundParts, uint64(part))
	}
	for _, o := range m.Limits {
		d.Limited = append(d.Limited, uint64(o.Server))
		d.Limits = append(d.Limits, uint32(math.Round(float64(o.Limit)*limitScale)))
		d.LimitAges = append(d.LimitAges, encodeAge(o.Age))
	}
	encodeDemand(d, &m.Demand)
	for i := range m.Formations {
		d.Formations = append(d.Formations, encodeFormation(&m.Formations[i]))
	}
	return proto.Marshal(d)
}

// limitScale is the number of units of an encoded limit per request a second.
const limitScale = 1000

func decodeLimits(d *Datagram) []ratelimit.Observation {
	var observations []ratelimit.Observation
	for i, server := range d.GetLimited() {
		observations = append(observations, ratelimit.Observation{
			Server: ident.ServerIncarnation(server), Limit: unit.RequestRate(d.GetLimits()[i]) / limitScale,
			Age: time.Duration(d.GetLimitAges()[i]) * time.Millisecond,
		})
	}
	return observations
}

// decodeCrashes returns the crashes by request. A daemon of an earlier version sends only their
// numbers.
//
// Errors carry code.BadMessage.
func decodeCrashes(d *Datagram) (map[ident.Fingerprint][]ident.Crash, error) {
	if len(d.GetCrashing()) != len(d.GetCrashes()) {
		return nil, code.BadMessage.New("datagram: field crashes has %d values for %d requests", len(d.GetCrashes()), len(d.GetCrashing()))
	}
	ids := d.GetCrashIds()
	if len(d.GetCrashing()) == 0 && len(ids) == 0 {
		return nil, nil
	}
	isNamed := len(ids) > 0
	crashes := make(map[ident.Fingerprint][]ident.Crash, len(d.GetCrashing()))
	for i, f := range d.GetCrashing() {
		count := d.GetCrashes()[i]
		if !isNamed {
			crashes[ident.Fingerprint(f)] = ident.UnnamedCrashes(ident.Instance(d.GetFrom()), count)
			continue
		}
		if uint64(count) > uint64(len(ids)) {
			return nil, code.BadMessage.New("datagram: field crash_ids has %d values, fewer than field crashes counts", len(d.GetCrashIds()))
		}
		for _, id := range ids[:count] {
			crashes[ident.Fingerprint(f)] = append(crashes[ident.Fingerprint(f)], ident.Crash(id))
		}
		ids = ids[count:]
	}
	if len(ids) > 0 {
		return nil, code.BadMessage.New("datagram: field crash_ids has %d values more than field crashes counts", len(ids))
	}
	return crashes, nil
}

func decodeParts(d *Datagram) (crashes map[ident.PromptPart][]ident.Crash, sound []ident.PromptPart) {
	if len(d.GetCrashParts()) > 0 {
		crashes = make(map[ident.PromptPart][]ident.Crash)
	}
	for i, p := range d.GetCrashParts() {
		part := ident.PromptPart(p)
		crashes[part] = append(crashes[part], ident.Crash(d.GetPartCrashes()[i]))
	}
	for _, p := range d.GetSoundParts() {
		sound = append(sound, ident.PromptPart(p))
	}
	return crashes, sound
}

func encodeAge(d time.Duration) uint32 {
	return uint32(max(0, min(d, maxEncodedAge)).Milliseconds())
}

// maxEncodedAge is the largest age in a datagram. Larger ages are encoded as
// maxEncodedAge.
const maxEncodedAge = time.Hour

// decodeMessage decodes a datagram.
//
// Errors carry code.BadMessage.
func decodeMessage(raw []byte) (*message, error) {
	d := new(Datagram)
	if err := proto.Unmarshal(raw, d); err != nil {
		return nil, code.BadMessage.Wrap(err, "decode datagram of %d bytes", len(raw))
	}
	if err := ident.CheckName(d.GetFrom()); err != nil {
		return nil, code.BadMessage.Wrap(err, "datagram: field from")
	}
	if len(d.GetFailed()) != len(d.GetFailedAges()) {
		return nil, code.BadMessage.New("datagram: field failed_ages has %d values for %d endpoints", len(d.GetFailedAges()), len(d.GetFailed()))
	}
	crashes, err := decodeCrashes(d)
	if err != nil {
		return nil, err
	}
	if len(d.GetCrashParts()) != len(d.GetPartCrashes()) {
		return nil, code.BadMessage.New("datagram: field part_crashes has %d values for %d parts", len(d.GetPartCrashes()), len(d.GetCrashParts()))
	}
	if len(d.GetLimits()) != len(d.GetLimited()) || len(d.GetLimitAges()) != len(d.GetLimited()) {
		return nil, code.BadMessage.New("datagram: fields limits and limit_ages have %d and %d values for %d endpoints", len(d.GetLimits()), len(d.GetLimitAges()), len(d.GetLimited()))
	}
	m := &message{
		From: ident.Instance(d.GetFrom()), Incarnation: unit.Incarnation(d.GetBoot()), Sequence: unit.Sequence(d.GetSequence()),
		CopyRevision: unit.Revision(d.GetRevision()), CopyAge: time.Duration(d.GetAge()) * time.Millisecond,
		FailureAges: make(map[endpointHash]time.Duration, len(d.GetFailed())),
	}
	if m.Loads, err = decodeLoads(d.GetEndpoints(), d.GetRequests(), d.GetPendingPrefill(), d.GetWork()); err != nil {
		return nil, err
	}
	if m.DataCentreSum, err = decodeSum(d); err != nil {
		return nil, err
	}
	for i, e := range d.GetFailed() {
		m.FailureAges[endpointHash(e)] = time.Duration(d.GetFailedAges()[i]) * time.Millisecond
	}
	m.CutOff = d.GetCutOff()
	m.Crashes = crashes
	m.PartCrashes, m.SoundParts = decodeParts(d)
	m.Limits = decodeLimits(d)
	if m.Demand, err = decodeDemand(d); err != nil {
		return nil, err
	}
	for _, f := range d.GetProven() {
		m.ClearedRequests = append(m.ClearedRequests, ident.Fingerprint(f))
	}
	for _, encoded := range d.GetFormations() {
		f, err := decodeFormation(encoded)
		if err != nil {
			return nil, err
		}
		m.Formations = append(m.Formations, f)
	}
	return m, nil
}
