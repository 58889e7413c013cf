package budget

import (
	"cmp"
	"slices"
	"time"

	"cuminbay/internal/kernel/clock"
)

// rank is the place of a connection in the order in which connections are ended when the budget is
// used up. Requests that run are not ended for a new one, as their work would be lost.
type rank int

const (
	// rankStalled has connections that neither send nor read a byte.
	rankStalled rank = iota
	// rankIdle has connections without a request.
	rankIdle
	// rankSlow has connections that send more slowly than the lowest rate.
	rankSlow
	// rankYounger has requests that wait for room and began after the one that needs it. The
	// oldest request is never ended for another, so that one of them always goes on.
	rankYounger
	// rankOverQuota has requests of an address above its quota that are read for longer than the
	// grace period. They are ended for an address below its quota only.
	rankOverQuota
	rankNone
)

var rankNames = map[rank]string{
	rankStalled: "stalled", rankIdle: "idle", rankSlow: "slow", rankYounger: "younger", rankOverQuota: "over-quota",
}

// String returns the name of the rank in logs and metrics.
func (r rank) String() string {
	return rankNames[r]
}

// candidate is a connection that may be ended.
type candidate struct {
	account     *Account
	phase       phase
	rank        rank
	isOverQuota bool
}

// candidates returns the connections that may be ended for the account, first those to be ended
// first. The caller holds the lock.
func (b *Budget) candidates(requester *Account, isOver func(*address) bool) []candidate {
	now := b.Clock.Now()
	requesterIsOver := requester.address != nil && isOver(requester.address)
	var found []candidate
	for a := range b.accounts {
		if a == requester {
			continue
		}
		current := phase(a.phase.Load())
		c := candidate{account: a, phase: current, rank: b.rankOf(a, current, now), isOverQuota: isOver(a.address)}
		switch {
		case c.rank == rankYounger && a.startedAt.Load() <= requester.startedAt.Load():
			continue
		case c.rank == rankOverQuota && (!c.isOverQuota || requesterIsOver), c.rank == rankNone:
			continue
		}
		found = append(found, c)
	}
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), compareBool(y.isOverQuota, x.isOverQuota), cmp.Compare(y.account.held.Load(), x.account.held.Load()))
	})
	return found
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// rankOf returns the rank of an account in the given phase.
func (b *Budget) rankOf(a *Account, p phase, now time.Time) rank {
	since := func(i int64) time.Duration { return now.Sub(clock.Instant(i).Time()) }
	switch p {
	case phaseIdle:
		if since(a.progressAt.Load()) >= b.Grace {
			return rankIdle
		}
	case phaseReading:
		elapsed := since(a.startedAt.Load())
		switch {
		case since(a.progressAt.Load()) >= b.Grace:
			return rankStalled
		case elapsed < b.Grace:
			return rankNone
		case float64(a.received.Load()) < float64(b.MinRate)*elapsed.Seconds():
			return rankSlow
		}
		return rankOverQuota
	case phaseWaiting:
		return rankYounger
	case phaseRunning:
		if writing := a.writingSince.Load(); writing != 0 && since(writing) >= b.Grace {
			return rankStalled
		}
	case phaseEnded:
	}
	return rankNone
}
