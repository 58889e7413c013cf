package claim

import (
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// phase is what this process knows of one of its own attempts. It only moves
// forward, by compare-and-swap, as the caller, the ticket and the keeper of the
// shard race for it.
type phase = int32

const (
	// waiting: not confirmed in the platform; nothing was sent.
	waiting phase = iota
	// confirmed: the ticket was handed out; nothing was sent yet.
	confirmed
	// sending: MaySend has allowed the send.
	sending
	// finished: the request ended with a code.
	finished
	// released: the ticket's holder did not send and will not.
	released
	// abandoned: refused before it was confirmed; it will not be sent, though
	// a delayed write may still bring it into the platform.
	abandoned
)

// attempt is one try of this process to claim a key.
type attempt struct {
	proposal  Proposal
	startedAt time.Time
	// unresolvedNonce is the nonce of a claim whose holder could not say what became of
	// it; if it is still there unchanged the outcome is unknown.
	unresolvedNonce uint64
	phase           atomic.Int32
	code            atomic.Int32
	result          chan result

	// maybeWritten and old belong to the keeper: whether a write of unknown result
	// may hold the nonce, and the revision it was conditional on.
	maybeWritten  bool
	writeRevision unit.Revision
}

// result is what the keeper tells the caller of an attempt.
type result struct {
	verdict  Verdict
	existing Claim
	err      error
}

func newAttempt(w Proposal, now time.Time) *attempt {
	return &attempt{proposal: w, startedAt: now, result: make(chan result, 1)}
}

// abandon gives the attempt up unless it was confirmed.
func (a *attempt) abandon() bool {
	return a.phase.CompareAndSwap(waiting, abandoned)
}

// reject gives the attempt up and tells its caller why.
func (a *attempt) reject(r result) {
	if a.abandon() {
		a.result <- r
	}
}

// confirm hands the claim to the caller. It reports false if the caller has
// gone meanwhile.
func (a *attempt) confirm() bool {
	if !a.phase.CompareAndSwap(waiting, confirmed) {
		return false
	}
	a.result <- result{verdict: Confirmed}
	return true
}

// stateChange returns the new state for the platform, if there is one.
func (a *attempt) stateChange() (StateChange, bool) {
	c := Claim{Hash: a.proposal.Hash, Nonce: a.proposal.Nonce}
	switch a.phase.Load() {
	case finished:
		c.State, c.Code = Done, code.Code(a.code.Load())
	case released:
		c.State = Released
	default:
		return StateChange{}, false
	}
	return StateChange{c}, true
}

// SendPermit is the right to send one claimed request.
//
// MaySend is called right before each send and returns an error that carries
// code.ClaimExpired if the process was paused for too long since the claim; the
// claim is then released. Finish records the end of a request that was or may
// have been sent; a code whose outcome is not-run releases the claim instead.
// Release says that the request was certainly not sent. After Finish or Release
// the ticket is spent.
type SendPermit = work.SendPermit

// sendPermit implements Ticket for a confirmed attempt.
type sendPermit struct {
	*attempt
	claims *Claims
}

// AuthoriseSend implements Ticket. The time runs from the start of the claim, before
// the write that confirmed it, so that a pause between the platform's write and
// this process's reading of the answer counts too.
func (t *sendPermit) AuthoriseSend() error {
	limit := t.claims.PauseLimit
	if age := t.claims.Clock.Since(t.startedAt); age > limit {
		t.Release()
		return code.ClaimExpired.New("claim of %s is older than %s and was released", age, limit)
	}
	if t.phase.CompareAndSwap(confirmed, sending) || t.phase.Load() == sending {
		return nil
	}
	return code.ClaimExpired.New("claim was released or finished before")
}

// Finish implements Ticket.
func (t *sendPermit) Finish(c code.Code) {
	if c.Spec().Outcome == code.NotRun {
		t.Release()
		return
	}
	t.code.Store(int32(c))
	t.end(finished)
}

// Release implements Ticket.
func (t *sendPermit) Release() {
	t.end(released)
}

func (t *sendPermit) end(p phase) {
	if t.phase.CompareAndSwap(confirmed, p) || t.phase.CompareAndSwap(sending, p) {
		t.claims.writerOf(t.proposal.Hash).submit(t.attempt)
	}
}

// Progress is the answer of a holder about one of its claims.
type Progress string

// The answers.
const (
	// Running: the holder has it in flight or may still send it.
	Running Progress = "running"
	// Ended: it ended with the code.
	Ended Progress = "ended"
	// Unsent: the holder did not send it and will not.
	Unsent Progress = "unsent"
	// NotFound: the holder does not know the claim, as after a restart.
	NotFound Progress = "unheard"
)

// progress describes the attempt to another daemon.
func (a *attempt) progress() Reply {
	switch a.phase.Load() {
	case waiting, confirmed, sending:
		return Reply{Progress: Running}
	case finished:
		return Reply{Progress: Ended, Code: code.Code(a.code.Load())}
	default:
		return Reply{Progress: Unsent}
	}
}

// Query asks a holder about a claim, on the topic "claim".
type Query struct {
	Nonce uint64 `json:"nonce"`
}

// Check reports a query without a nonce.
func (q Query) Check() error {
	if q.Nonce == 0 {
		return code.BadMessage.New("claim query: nonce is zero")
	}
	return nil
}

// Reply is the answer to a Query.
type Reply struct {
	Progress Progress  `json:"progress"`
	Code     code.Code `json:"code,omitempty"`
}

// Check reports an unknown progress.
func (r Reply) Check() error {
	switch r.Progress {
	case Running, Ended, Unsent, NotFound:
		return nil
	}
	return code.BadMessage.New("claim reply: unknown progress %q", r.Progress)
}

// refusal returns the reply's error for another request with the same key.
func (r Reply) refusal(holder ident.Instance) error {
	if r.Progress == Running {
		return code.KeyInProgress.New("a request with this key is in flight at %s", holder)
	}
	return refusalOf(r.Code, holder)
}

// refusalOf refuses a request whose key ended with the code. Without a holder
// the claim was kept in the compact form.
func refusalOf(c code.Code, holder ident.Instance) error {
	if holder == "" {
		const text = "an earlier request, whose key has the same 96-bit hash, ended with %s; its content was not kept for comparison"
		if c.Spec().Outcome == code.Unknown {
			return code.OutcomeUnknown.New(text, c)
		}
		return code.AlreadyRan.New(text, c)
	}
	if c.Spec().Outcome == code.Unknown {
		return code.OutcomeUnknown.New("an earlier request with this key at %s ended with %s", holder, c)
	}
	return code.AlreadyRan.New("an earlier request with this key at %s ended with %s", holder, c)
}
