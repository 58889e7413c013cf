package catalog

import (
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// workLoad holds the expected cost of the requests in flight at a server, and how much later its
// first events arrive than its published times say. All fields are atomic.
type workLoad struct {
	// pendingPrefill counts the prompt tokens that are not prefilled yet, and work adds up the expected
	// slot time in nanoseconds, both of this daemon's requests. reserved counts the tokens that
	// these requests hold in the KV cache at their end.
	pendingPrefill atomic.Int64
	work           atomic.Int64
	reserved       atomic.Int64
	// peerPendingPrefill and peerWork are those of all peers together, as last reported.
	peerPendingPrefill atomic.Int64
	peerWork           atomic.Int64
	// correction is the moving average of the observed minus the published time to the first
	// event in nanoseconds, and correctedAt the time of the last observation as a clock.Instant,
	// zero before the first one.
	correction  atomic.Int64
	correctedAt atomic.Int64
}

// AddPendingPrefill adds prompt tokens of this daemon's requests that are not prefilled yet. A negative
// number removes them.
func (l *workLoad) AddPendingPrefill(n unit.Tokens) {
	l.pendingPrefill.Add(int64(n))
}

// AddWork adds expected slot time of this daemon's requests. A negative time removes it.
func (l *workLoad) AddWork(d time.Duration) {
	l.work.Add(int64(d))
}

// AddReserved adds tokens that this daemon's requests will hold in the KV cache at their end. A
// negative number removes them.
func (l *workLoad) AddReserved(n unit.Tokens) {
	l.reserved.Add(int64(n))
}

// PendingPrefill returns the prompt tokens of this daemon's requests that are not prefilled yet.
func (l *workLoad) PendingPrefill() unit.Tokens {
	return unit.Tokens(l.pendingPrefill.Load())
}

// Work returns the expected slot time of this daemon's requests in flight.
func (l *workLoad) Work() time.Duration {
	return time.Duration(l.work.Load())
}

// Reserved returns the tokens that this daemon's requests in flight will hold in the KV cache at
// their end.
func (l *workLoad) Reserved() unit.Tokens {
	return unit.Tokens(l.reserved.Load())
}

// SetPeerPendingPrefill sets the pending prefill tokens of all peers together.
func (l *workLoad) SetPeerPendingPrefill(n unit.Tokens) {
	l.peerPendingPrefill.Store(int64(n))
}

// SetPeerWork sets the expected slot time of the requests of all peers together.
func (l *workLoad) SetPeerWork(d time.Duration) {
	l.peerWork.Store(int64(d))
}

// PeerPendingPrefill returns the pending prefill tokens of the peers, as last reported.
func (l *workLoad) PeerPendingPrefill() unit.Tokens {
	return unit.Tokens(l.peerPendingPrefill.Load())
}

// TotalWork returns the expected slot time of the requests of this daemon and, as last reported, of
// its peers.
func (l *workLoad) TotalWork() time.Duration {
	return time.Duration(l.work.Load() + l.peerWork.Load())
}

// A correction is a moving average in which a new observation counts for one eighth. It loses its
// effect over correctionLifetime without observations, as an endpoint that was slow gets few
// requests, and would otherwise never be found to be quick again.
const (
	correctionDivisor  = 8
	correctionLifetime = 20 * time.Second
)

// RecordCorrection records by how much the observed time to the first event exceeded the published
// one. The usual excess is that of other endpoints, from which the average starts. The certainty, at
// most one, reduces the weight of the observation.
func (l *workLoad) RecordCorrection(now time.Time, excess, usual time.Duration, certainty float64) {
	// Two concurrent observations may overwrite each other, which an average tolerates.
	average := l.Correction(now, usual)
	l.correction.Store(int64(average) + int64(float64(excess-average)*certainty/correctionDivisor))
	l.correctedAt.Store(int64(clock.InstantOf(now)))
}

// Correction returns the expected excess of the time to the first event over the published one. It
// is the usual one without recent observations.
func (l *workLoad) Correction(now time.Time, usual time.Duration) time.Duration {
	at := l.correctedAt.Load()
	if at == 0 {
		return usual
	}
	left := int64(correctionLifetime) - max(int64(clock.InstantOf(now))-at, 0)
	if left <= 0 {
		return usual
	}
	own := time.Duration(l.correction.Load()) - usual
	return usual + time.Duration(float64(own)*float64(left)/float64(correctionLifetime))
}

// CorrectedAt returns the time of the last observation, zero before the first one.
func (l *workLoad) CorrectedAt() time.Time {
	at := l.correctedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return clock.Instant(at).Time()
}
