// Package capacity holds the benchmarks whose results docs/CAPACITY.md is computed
// from. They measure the bytes exchanged, the CPU time and the heap of each part
// of a daemon, by the number of daemons, data centres, replicas, records and drain
// statuses.
package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/config"
	"cuminbay/internal/fleet/drain"
	"cuminbay/internal/fleet/member"
	"cuminbay/internal/fleet/remote"
	"cuminbay/internal/fleet/replica"
	"cuminbay/internal/kernel/timeline"
	"cuminbay/internal/serve/poison"
)

// section is a part of the replicated state that daemons exchange: a daemon sends
// its digest, and a peer returns the delta that the daemon lacks.
type section interface {
	Digest() []byte
	Delta(digest []byte) []byte
}

// measureExchange measures an exchange between two daemons and reports the bytes
// of both digests and of both deltas. Neither daemon merges the delta, so every
// iteration sends the same.
func measureExchange(b *testing.B, local, peer section) {
	b.ReportAllocs()
	digests, deltas := 0, 0
	for b.Loop() {
		localDigest, peerDigest := local.Digest(), peer.Digest()
		digests = len(localDigest) + len(peerDigest)
		deltas = len(peer.Delta(localDigest)) + len(local.Delta(peerDigest))
	}
	b.ReportMetric(float64(digests), "digest-B")
	b.ReportMetric(float64(deltas), "delta-B")
}

// memberViews returns the views of the first two daemons. Both contain all daemons.
func memberViews(dataCentres, daemons int) []*member.View {
	clk := clockwork.NewFakeClock()
	var views []*member.View
	for i := range dataCentres * daemons {
		id, dataCentre := fmt.Sprintf("dc%02d-entry-%02d", i/daemons, i%daemons), fmt.Sprintf("dc%02d", i/daemons)
		views = append(views, member.New(member.Options{
			Self: member.DaemonInfo{
				Instance: ident.Instance(id), DataCentre: ident.DataCentre(dataCentre), Incarnation: unit.Incarnation(i + 1),
				Address: fmt.Sprintf("10.%d.0.%d:7700", i/daemons, i%daemons), CallerAddress: fmt.Sprintf("10.%d.0.%d:8080", i/daemons, i%daemons),
			},
			Clock: clk, FailureTimeout: 3 * time.Second, RemoteFailureTimeout: 15 * time.Second,
		}))
	}
	for range 3 {
		for _, v := range views {
			for _, reader := range views[:2] {
				reader.Delta(v.Digest())
				_ = reader.Merge("peer", v.Delta(reader.Digest()))
			}
		}
	}
	return views[:2]
}

func BenchmarkMember(b *testing.B) {
	for _, size := range [][2]int{{3, 3}, {1, 15}, {1, 60}, {7, 60}, {14, 60}} {
		b.Run(fmt.Sprintf("data-centres=%d/daemons=%d", size[0], size[1]), func(b *testing.B) {
			views := memberViews(size[0], size[1])
			measureExchange(b, views[0], views[1])
		})
	}
}

// newAssignment returns the assignment of a fabric domain with the given number of
// replicas, each with the given number of members.
func newAssignment(domain, replicas, members int) report.Assignment {
	a := report.Assignment{Domain: ident.FabricDomain(fmt.Sprintf("dc00-rack-%02d", domain)), DataCentre: "dc00", Epoch: 1}
	for r := range replicas {
		assigned := report.Replica{
			ID: ident.Replica(fmt.Sprintf("%s/chat-large/%d", a.Domain, r)), Epoch: 1,
			Deployment: "chat-large", Model: "chat-large", Version: "2026-01",
		}
		for m := range members {
			id := ident.Instance(fmt.Sprintf("%s-server-%02d", a.Domain, r*members+m))
			assigned.Members = append(assigned.Members, report.Member{Instance: id, Address: fmt.Sprintf("10.0.%d.%d:8000", domain, r*members+m)})
		}
		a.Replicas = append(a.Replicas, assigned)
	}
	return a
}

// sequenceNumber is large enough to be encoded in as many bytes as the sequence
// numbers of a daemon that has run for some hours.
const sequenceNumber = 20_000

// trackers returns the trackers of two daemons. Each has merged the newest
// attestations of half of the owners, and all earlier ones. The owner of a replica
// is chosen by hash, so that some daemons own no replica, as with rendezvous
// hashing.
func trackers(daemons, replicas int) [2]*replica.Tracker {
	clk := clockwork.NewFakeClock()
	newTracker := func(n int) *replica.Tracker {
		return replica.NewTracker(replica.Options{
			Clock: clk, Self: ident.Instance(fmt.Sprintf("dc00-entry-%02d", n)), DataCentre: "dc00",
			Incarnation: unit.Incarnation(clk.Now().UnixMilli()), StaleAfter: 2 * time.Second, AttestStaleAfter: 3 * time.Second,
		})
	}
	readers := [2]*replica.Tracker{newTracker(1000), newTracker(1001)}
	for n := range daemons {
		owner := newTracker(n)
		for range sequenceNumber {
			owner.PublishAttestation(func(ident.Replica) bool { return false })
		}
		owned := make(map[ident.Replica]bool)
		for d := 0; d*4 < replicas; d++ {
			a := newAssignment(d, min(4, replicas-d*4), 16)
			_, _ = owner.UpdateAssignment(a)
			for _, r := range a.Replicas {
				if owned[r.ID] = xxhash.Sum64String(string(r.ID))%uint64(daemons) == uint64(n); !owned[r.ID] {
					continue
				}
				for rank, m := range r.Members {
					owner.ObserveReport(&report.Report{Instance: m.Instance, Incarnation: 1, Sequence: 1, Ready: true, Membership: report.Membership{
						Replica: r.ID, Epoch: 1, Rank: unit.Rank(rank), Model: r.Model, Version: r.Version,
					}}, clk.Now())
				}
			}
		}
		for range 2 {
			owner.PublishAttestation(func(r ident.Replica) bool { return owned[r] })
			for _, r := range readers {
				_ = r.Merge("peer", owner.Delta(r.Digest()))
			}
		}
		owner.PublishAttestation(func(r ident.Replica) bool { return owned[r] })
		r := readers[n%2]
		_ = r.Merge("peer", owner.Delta(r.Digest()))
	}
	return readers
}

func BenchmarkReplica(b *testing.B) {
	for _, size := range [][2]int{{3, 16}, {15, 54}, {60, 1}, {60, 54}, {60, 108}} {
		b.Run(fmt.Sprintf("daemons=%d/replicas=%d", size[0], size[1]), func(b *testing.B) {
			pair := trackers(size[0], size[1])
			measureExchange(b, pair[0], pair[1])
		})
	}
}

// discardEvents is a recorder that drops all events.
type discardEvents struct{}

func (discardEvents) Record(string, string, ...string) {}

func storedRecord(i int, revision unit.Revision) config.StoredRecord {
	return config.StoredRecord{
		Name: record.Name{Kind: record.OrganisationKind, Name: fmt.Sprintf("organisation-%05d", i)}, Revision: revision,
		Raw: fmt.Appendf(nil, `{"schema":2,"keys":["key-of-organisation-%05d"],"weight":1,"limit":100}`, i),
	}
}

// configState returns the state of a daemon with n records.
func configState(n int) *config.State {
	s := config.NewState(clockwork.NewFakeClock(), discardEvents{})
	s.SetReady()
	var stored []config.StoredRecord
	for i := range n {
		stored = append(stored, storedRecord(i, unit.Revision(i+1)))
	}
	s.Apply(config.FromList, stored)
	return s
}

// BenchmarkConfig measures an exchange between equal states, an exchange in which
// one record differs, and the application of one changed record.
func BenchmarkConfig(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		local, peer := configState(n), configState(n)
		b.Run(fmt.Sprintf("records=%d/no-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
		revision := unit.Revision(n)
		b.Run(fmt.Sprintf("records=%d/apply", n), func(b *testing.B) {
			for b.Loop() {
				revision++
				local.Apply(config.FromPeer, []config.StoredRecord{storedRecord(1, revision)})
			}
		})
		local.Apply(config.FromPeer, []config.StoredRecord{storedRecord(1, revision+1)})
		b.Run(fmt.Sprintf("records=%d/one-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
	}
}

// drainState returns the state of a daemon with n drained instances.
func drainState(clk clockwork.Clock, n int) *drain.State {
	s := drain.New(drain.Options{Self: "dc00-entry-00", HybridClock: timeline.NewHybridClock(clk)})
	for i := range n {
		_, _ = s.SetStatus(drainstatus.Target{Kind: drainstatus.Instance, ID: fmt.Sprintf("dc00-server-%03d", i)}, true)
	}
	return s
}

func BenchmarkDrain(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		clk := clockwork.NewFakeClock()
		local, peer := drainState(clk, n), drainState(clk, n)
		b.Run(fmt.Sprintf("statuses=%d/no-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
		_, _ = local.SetStatus(drainstatus.Target{Kind: drainstatus.Instance, ID: "dc00-server-000"}, false)
		b.Run(fmt.Sprintf("statuses=%d/one-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
	}
}

// detectorWith returns a detector with the crash counts of n requests.
func detectorWith(n int) *poison.Detector {
	d := poison.New(poison.Options{Clock: clockwork.NewFakeClock(), Self: "dc00-entry-00", Lifetime: 10 * time.Minute, Limit: 4096})
	for i := range n {
		d.RecordCrash(ident.Fingerprint(uint64(i+1)*0x9e3779b97f4a7c15), ident.Crash(i))
	}
	return d
}

func BenchmarkPoison(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		local, peer := detectorWith(n), detectorWith(n)
		b.Run(fmt.Sprintf("crash-counts=%d/no-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
		local.RecordCrash(1, 1)
		b.Run(fmt.Sprintf("crash-counts=%d/one-change", n), func(b *testing.B) { measureExchange(b, local, peer) })
	}
}

// dataCentreSummaries returns one summary for each data centre, with ten
// deployments. The first changedCount summaries have a sequence number that is
// higher by one than the sequence number of the other summaries.
func dataCentreSummaries(dataCentres, changedCount int) *remote.Summaries {
	summaries := remote.NewSummaries(clockwork.NewFakeClock(), 5*time.Second)
	for i := range dataCentres {
		summary := remote.Summary{
			DataCentre: ident.DataCentre(fmt.Sprintf("dc%02d", i)), Author: ident.Instance(fmt.Sprintf("dc%02d-entry-07", i)),
			Incarnation: 1_790_000_000_000_000_000, Sequence: sequenceNumber, Age: 700 * time.Millisecond,
		}
		for d := range 10 {
			summary.Capacities = append(summary.Capacities, remote.Capacity{Deployment: ident.Deployment(fmt.Sprintf("deployment-%02d", d)), WarmReplicas: 5, FreeSlots: 320})
		}
		if i < changedCount {
			summary.Sequence++
		}
		summaries.Put(summary)
	}
	return summaries
}

// BenchmarkRemote measures exchanges of summaries without a change and with one
// changed summary.
func BenchmarkRemote(b *testing.B) {
	for _, n := range []int{3, 14} {
		for changedCount := range 2 {
			b.Run(fmt.Sprintf("data-centres=%d/changed=%d", n, changedCount), func(b *testing.B) {
				measureExchange(b, dataCentreSummaries(n, changedCount), dataCentreSummaries(n, 0))
			})
		}
	}
}

// BenchmarkAssignment reports the size of the platform value that holds the
// assignment of one fabric domain.
func BenchmarkAssignment(b *testing.B) {
	a := newAssignment(0, 4, 16)
	for b.Loop() {
		raw, _ := json.Marshal(a)
		b.ReportMetric(float64(len(raw)), "value-B")
	}
}
