package claim

import (
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// phase is the progress of an attempt within this process. The caller, the
// send permit and the shard writer compete to advance the phase by
// compare-and-swap; it never goes back.
type phase = int32

const (
	// phaseWaiting means that the claim is not confirmed in the store and that the
	// request was not sent.
	phaseWaiting phase = iota
	// phaseConfirmed means that the send permit was handed out and that the request
	// was not sent yet.
	phaseConfirmed
	// phaseSending means that AuthoriseSend has allowed the send.
	phaseSending
	// phaseFinished means that the request ended with a code.
	phaseFinished
	// phaseReleased means that the user of the send permit did not and will not
	// send the request.
	phaseReleased
	// phaseAbandoned means that the attempt was given up before it was confirmed.
	// The request will not be sent, but a delayed write may still store the
	// claim.
	phaseAbandoned
)

// attempt is one try of this process to claim a key.
type attempt struct {
	proposal  Proposal
	startedAt time.Time
	// unresolvedNonce is the nonce of a conflicting claim whose holder could
	// not report how the request ended. If the conflicting claim is still
	// stored unchanged, the outcome is unknown.
	unresolvedNonce uint64
	phase           atomic.Int32
	code            atomic.Int32
	result          chan attemptResult

	// maybeWritten and writeRevision belong to the shard writer. maybeWritten
	// says that a write of unknown result may store the claim, writeRevision is
	// the revision that the write was conditional on.
	maybeWritten  bool
	writeRevision unit.Revision
}

// attemptResult is the shard writer's result for the caller of an attempt.
type attemptResult struct {
	decision Decision
	existing Claim
	err      error
}

func newAttempt(p Proposal, now time.Time) *attempt {
	return &attempt{proposal: p, startedAt: now, result: make(chan attemptResult, 1)}
}

// abandon gives up the attempt. It reports false if the attempt is no longer in
// the phase waiting.
func (a *attempt) abandon() bool {
	return a.phase.CompareAndSwap(phaseWaiting, phaseAbandoned)
}

// reject abandons the attempt and passes the result to its caller.
func (a *attempt) reject(r attemptResult) {
	if a.abandon() {
		a.result <- r
	}
}

// confirm passes the confirmation to the caller. It reports false if the caller
// has abandoned the attempt.
func (a *attempt) confirm() bool {
	if !a.phase.CompareAndSwap(phaseWaiting, phaseConfirmed) {
		return false
	}
	a.result <- attemptResult{decision: Confirmed}
	return true
}

// stateChange returns the terminal state of the claim to store. It reports false
// if the attempt is neither finished nor released.
func (a *attempt) stateChange() (StateChange, bool) {
	c := Claim{Hash: a.proposal.Hash, Nonce: a.proposal.Nonce}
	switch a.phase.Load() {
	case phaseFinished:
		c.State, c.Code = Done, code.Code(a.code.Load())
	case phaseReleased:
		c.State = Released
	default:
		return StateChange{}, false
	}
	return StateChange{c}, true
}

// SendPermit is the right to send one claimed request.
//
// AuthoriseSend is called right before each send. It returns an error that
// carries code.ClaimExpired if the process was paused for too long since the
// claim was started; the claim is then released. Finish records the result code
// of a request that was or may have been sent; a code with the outcome not-run
// releases the claim instead. Release records that the request was certainly not
// sent. After Finish or Release the permit allows no more sends.
type SendPermit = work.SendPermit

// sendPermit implements SendPermit for a confirmed attempt.
type sendPermit struct {
	*attempt
	claims *Claims
}

// AuthoriseSend implements SendPermit. The age of the claim counts from the start
// of the attempt, before the write that confirmed it. It therefore includes a
// pause between the store's write and this process's reading of the reply.
func (p *sendPermit) AuthoriseSend() error {
	limit := p.claims.PauseLimit
	if age := p.claims.Clock.Since(p.startedAt); age > limit {
		p.Release()
		return code.ClaimExpired.New("authorise send: the claim is %s old, more than the pause limit of %s, and was released", age, limit)
	}
	if p.phase.CompareAndSwap(phaseConfirmed, phaseSending) || p.phase.Load() == phaseSending {
		return nil
	}
	return code.ClaimExpired.New("authorise send: the claim is already finished or released")
}

// Finish implements SendPermit.
func (p *sendPermit) Finish(c code.Code) {
	if c.Spec().Outcome == code.NotRun {
		p.Release()
		return
	}
	p.code.Store(int32(c))
	p.setTerminalPhase(phaseFinished)
}

// Release implements SendPermit.
func (p *sendPermit) Release() {
	p.setTerminalPhase(phaseReleased)
}

// setTerminalPhase sets the phase finished or released and queues the attempt, so that
// the terminal state is written. It does nothing if the permit was used up before.
func (p *sendPermit) setTerminalPhase(terminal phase) {
	if p.phase.CompareAndSwap(phaseConfirmed, terminal) || p.phase.CompareAndSwap(phaseSending, terminal) {
		p.claims.writerOf(p.proposal.Hash).submitAttempt(p.attempt)
	}
}

// Progress is what a holder reports about one of its claims.
type Progress string

const (
	// Running means that the request is in flight or may still be sent.
	Running Progress = "running"
	// Ended means that the request ended with the code of the reply.
	Ended Progress = "ended"
	// Unsent means that the request was not and will not be sent.
	Unsent Progress = "unsent"
	// NotFound means that the holder has no attempt for the claim, for example
	// after a restart.
	NotFound Progress = "unheard"
)

// progressReply returns the reply to another daemon's query about the attempt.
func (a *attempt) progressReply() Reply {
	switch a.phase.Load() {
	case phaseWaiting, phaseConfirmed, phaseSending:
		return Reply{Progress: Running}
	case phaseFinished:
		return Reply{Progress: Ended, Code: code.Code(a.code.Load())}
	default:
		return Reply{Progress: Unsent}
	}
}

// Query asks the holder of a claim for its progress, on the topic "claim".
type Query struct {
	Nonce uint64 `json:"nonce"`
}

// Check returns an error for a query without a nonce.
func (q Query) Check() error {
	if q.Nonce == 0 {
		return code.BadMessage.New("claim query: the nonce is 0, expected a random one")
	}
	return nil
}

// Reply is the reply to a Query.
type Reply struct {
	Progress Progress  `json:"progress"`
	Code     code.Code `json:"code,omitempty"`
}

// Check returns an error for an unknown progress.
func (r Reply) Check() error {
	switch r.Progress {
	case Running, Ended, Unsent, NotFound:
		return nil
	}
	return code.BadMessage.New("claim reply: unknown progress %q", r.Progress)
}

// refusal returns the error for another request with the key of the claim.
func (r Reply) refusal(holder ident.Instance) error {
	if r.Progress == Running {
		return code.KeyInProgress.New("claim key: another request with this key is in flight at daemon %s", holder)
	}
	return refusalOf(r.Code, holder)
}

// refusalOf returns the error for a request whose key was used by a request that
// ended with the code. The holder is empty for a claim in the compact form.
func refusalOf(c code.Code, holder ident.Instance) error {
	if holder == "" {
		const text = "claim key: an earlier request whose key has the same 96-bit hash ended with %s; its fingerprint is no longer stored for comparison"
		if c.Spec().Outcome == code.Unknown {
			return code.OutcomeUnknown.New(text, c)
		}
		return code.AlreadyRan.New(text, c)
	}
	if c.Spec().Outcome == code.Unknown {
		return code.OutcomeUnknown.New("claim key: an earlier request with this key at daemon %s ended with %s", holder, c)
	}
	return code.AlreadyRan.New("claim key: an earlier request with this key at daemon %s ended with %s", holder, c)
}
