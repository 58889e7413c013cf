package dispatch

import (
	"strings"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/route/table"
)

// progress is the sink that an endpoint protocol writes to. It passes the
// answer on to the caller's sink over all attempts, and keeps the text already
// passed on, so that another replica can resume it.
type progress struct {
	sink     work.Sink
	clock    clock.Clock
	policy   picker
	endpoint *table.Endpoint
	request  *work.Request

	started    bool
	resumed    bool
	callerGone bool
	sent       strings.Builder
	tokens     unit.Tokens

	begun time.Time
	first time.Duration
	last  time.Time
	gaps  []time.Duration
}

// begin marks the start of an attempt.
func (p *progress) begin(e *table.Endpoint, r *work.Request) {
	p.endpoint, p.request = e, r
	p.begun = p.clock.Now()
	p.last = time.Time{}
	p.first = 0
}

// Start passes on the first attempt's head; the caller has seen it when an
// answer is resumed.
func (p *progress) Start(h work.Head) error {
	if p.started {
		return nil
	}
	p.started = true
	return p.caller(p.sink.Start(h))
}

// Piece passes on a piece.
func (p *progress) Piece(piece work.Piece) error {
	now := p.clock.Now()
	if p.last.IsZero() {
		p.first = now.Sub(p.begun)
		// Without a stream the first piece is the whole answer, which says
		// nothing of the first token.
		if p.request.Operation != work.Call && (p.request.Stream || p.request.Resumable) {
			p.policy.FirstToken(p.endpoint, p.request, p.first)
		}
	} else {
		p.gaps = append(p.gaps, now.Sub(p.last))
	}
	p.last = now
	p.tokens += piece.Tokens
	p.sent.WriteString(piece.Text)
	return p.caller(p.sink.Piece(piece))
}

// End passes on the end, with the tokens of all attempts.
func (p *progress) End(e work.End) error {
	if p.resumed {
		e.Usage.Generated = p.tokens
	}
	return p.caller(p.sink.End(e))
}

func (p *progress) caller(err error) error {
	if err != nil {
		p.callerGone = true
	}
	return err
}

// outcome returns the failure as the caller has to see it: after a part of the
// answer was passed on, nothing may be called "not run".
func (p *progress) outcome(failure error) error {
	if p.started && code.OutcomeOf(failure) == code.NotRun {
		return code.CutOff.Wrap(failure, "the answer broke off after %d tokens and could not be resumed", p.tokens)
	}
	return failure
}

// refused returns what to tell the caller when no endpoint could be found for
// another attempt: the earlier failure, if that one may have run.
func (p *progress) refused(failure, refusal error) error {
	if failure != nil && (p.started || code.OutcomeOf(failure) != code.NotRun) {
		return p.outcome(failure)
	}
	return refusal
}
