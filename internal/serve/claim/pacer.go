package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"cuminbay/internal/kernel/clock"
)

// writePriority orders the write requests of the shard writers, the most urgent
// first.
type writePriority int

const (
	// retryWrite is a write whose predecessor had a conflict or no reply.
	retryWrite writePriority = iota
	// claimWrite is a write of new claims, whose callers wait for it.
	claimWrite
	// terminalWrite is a write that only records terminal states of claims.
	terminalWrite
	// writePriorities is the number of priorities.
	writePriorities
)

// pacer bounds the rate of store writes of all shard writers in this process with
// a token bucket. A shard writer has at most one write request at a time, and
// requests of equal priority are granted in order of arrival. A shard with many
// claims therefore gets no more writes than another shard.
type pacer struct {
	clock clock.Clock

	mu              sync.Mutex
	limiter         *rate.Limiter
	waitingRequests [writePriorities][]*writeRequest
	// timer grants the next write request.
	timer clockwork.Timer
}

// writeRequest is a shard writer's request for one write. The channel granted is
// closed when the shard writer may write.
type writeRequest struct {
	priority writePriority
	granted  chan struct{}
}

func newPacer(clk clock.Clock, perSecond float64, burst int) *pacer {
	return &pacer{clock: clk, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// requestWrite queues a request for one write.
func (p *pacer) requestWrite(priority writePriority) *writeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &writeRequest{priority: priority, granted: make(chan struct{})}
	p.waitingRequests[priority] = append(p.waitingRequests[priority], r)
	p.grantAvailable()
	return r
}

// promoteRequest raises a waiting terminalWrite to a claimWrite, because a claim for its
// shard has arrived.
func (p *pacer) promoteRequest(r *writeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.priority == terminalWrite && p.removeRequest(r) {
		r.priority = claimWrite
		p.waitingRequests[claimWrite] = append(p.waitingRequests[claimWrite], r)
		p.grantAvailable()
	}
}

// cancelRequest withdraws the write request. A grant that it has already received
// goes to the next request.
func (p *pacer) cancelRequest(r *writeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.removeRequest(r) {
		p.grantNext()
	}
}

// returnGrant gives back an unused grant, which goes to the next write request.
// If no request waits, the grant is lost, as tokens can't be returned to the limiter.
func (p *pacer) returnGrant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantNext()
}

// removeRequest removes a waiting request. It reports false if the request was
// granted before.
func (p *pacer) removeRequest(r *writeRequest) bool {
	i := slices.Index(p.waitingRequests[r.priority], r)
	if i < 0 {
		return false
	}
	p.waitingRequests[r.priority] = slices.Delete(p.waitingRequests[r.priority], i, i+1)
	return true
}

// grantNext grants the first request of the highest priority, if any waits.
func (p *pacer) grantNext() {
	for priority, requests := range p.waitingRequests {
		if len(requests) > 0 {
			close(requests[0].granted)
			p.waitingRequests[priority] = slices.Delete(requests, 0, 1)
			return
		}
	}
}

func (p *pacer) noneWaiting() bool {
	for _, requests := range p.waitingRequests {
		if len(requests) > 0 {
			return false
		}
	}
	return true
}

// requiredTokens returns the tokens that the bucket must hold for the next grant.
// A terminalWrite must leave half of the bucket to claims, so that terminal writes
// don't delay a claim while the writes of claims alone stay below the rate.
func (p *pacer) requiredTokens() int {
	if len(p.waitingRequests[retryWrite])+len(p.waitingRequests[claimWrite]) > 0 {
		return 1
	}
	return 1 + p.limiter.Burst()/2
}

// grantAvailable grants as many requests as the limiter allows and sets a timer
// for the next one. It replaces a timer that was set for a terminalWrite, as a
// claimWrite is due earlier.
func (p *pacer) grantAvailable() {
	now := p.clock.Now()
	for !p.noneWaiting() && p.limiter.TokensAt(now) >= float64(p.requiredTokens()) && p.limiter.AllowN(now, 1) {
		p.grantNext()
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if p.noneWaiting() {
		return
	}
	next := p.limiter.ReserveN(now, p.requiredTokens())
	delay := next.DelayFrom(now)
	next.CancelAt(now)
	// The limiter rounds its delay, so the timer may fire before a whole token
	// is available.
	p.timer = p.clock.AfterFunc(max(delay, time.Millisecond), p.onTimer)
}

func (p *pacer) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantAvailable()
}
