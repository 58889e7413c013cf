package mirror

import (
	"context"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
)

// ObserveCopy records the revision and the age of another daemon's copy. If that copy is recent and
// this daemon's is too old, as after an outage of the platform, the delay before the next call ends.
func (m *Mirror) ObserveCopy(from ident.Instance, revision unit.Revision, age time.Duration) {
	m.observeRevision(revision)
	if age >= m.MaxAge() || m.Age() < m.MaxAge() {
		return
	}
	if u, ok := m.Source.(*Upstream); ok {
		u.acceptCopyOf(from)
	}
	plugin.Wake(m.sourceRegained)
}

func (m *Mirror) observeRevision(revision unit.Revision) {
	for {
		current := m.peerRevision.Load()
		if current >= int64(revision) || m.peerRevision.CompareAndSwap(current, int64(revision)) {
			return
		}
	}
}

// maxLagTime is the time for which another daemon's copy may be ahead of this copy
// without a fault, since changes are batched and pass through several daemons.
const maxLagTime = 700 * time.Millisecond

// MonitorLag checks, until the context ends, whether other daemons have changes
// that this daemon has lacked for maxLagTime. Its source has then stalled or lost its
// connection to the platform: MonitorLag cancels the current call and avoids that source.
func (m *Mirror) MonitorLag(ctx context.Context) {
	var missingRevision int64
	for plugin.Sleep(ctx, m.Clock, maxLagTime) {
		ownRevision, peerRevision := m.revision.Load(), m.peerRevision.Load()
		if missingRevision == 0 || ownRevision >= missingRevision {
			missingRevision = 0
			if peerRevision > ownRevision {
				missingRevision = peerRevision
			}
			continue
		}
		u, isUpstream := m.Source.(*Upstream)
		if isUpstream && u.Feed.Transferring() {
			// A large change takes time over a slow link. A new call would start
			// the transfer again.
			continue
		}
		m.Log.Info().Stringer("revision", unit.Revision(ownRevision)).Stringer("heard", unit.Revision(peerRevision)).Msg("store-behind")
		missingRevision = 0
		if isUpstream {
			u.AvoidCurrentSource()
		}
		m.cancelCurrentCall()
	}
}

// MonitorAge ends, until the context ends, each wait for changes at another daemon during
// which the copy becomes too old. That daemon has lost its connection to the platform, and
// may not notice it soon enough to answer.
func (m *Mirror) MonitorAge(ctx context.Context) {
	for plugin.Sleep(ctx, m.Clock, max(m.freshness.maxAge-m.Age(), minAgeCheckInterval)) {
		u, isUpstream := m.Source.(*Upstream)
		if !isUpstream || m.Age() < m.freshness.maxAge || !u.LeaveOldCopy() {
			continue
		}
		m.Log.Info().Stringer("revision", m.Revision()).Dur("age_ms", m.Age()).Msg("store-copy-old")
		m.cancelCurrentCall()
	}
}
