package forward

import (
	"errors"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/kernel/budget"
)

// Limits of what is held of one reply. A faulty server may send bytes without end or announce any length.
// The memory of all replies together has a limit of its own, Options.Replies.
const (
	maxReplyBytes = 4 << 20
	maxEventBytes = 1 << 20
)

// readBody reads the body of a reply that is not streamed.
//
// Errors carry code.CutOff or code.RepliesFull.
func (x *exchange) readBody(e *catalog.Endpoint, reply Reply) ([]byte, error) {
	x.memory.StartRead(reply.Abort)
	defer x.memory.EndRead()
	body, err := budget.ReadReply(x.memory, reply, reply.ContentLength(), maxReplyBytes)
	if err != nil {
		return nil, x.readError(err, code.CutOff, e)
	}
	return body, nil
}

// readError returns the error of a read that failed. It carries the code, or code.RepliesFull if the
// budget of replies has ended the read.
func (x *exchange) readError(err error, otherwise code.Code, e *catalog.Endpoint) error {
	if x.memory.IsEnded() || errors.Is(err, budget.ErrRepliesFull) {
		return code.RepliesFull.Wrap(err, "read reply of endpoint %s", e.ID)
	}
	return otherwise.Wrap(err, "read reply of endpoint %s: cut off before its end", e.ID)
}

// discard returns the memory of a reply that is not forwarded.
func (x *exchange) discard(r *completeReply) {
	if r != nil {
		x.memory.Release(unit.Bytes(cap(r.body)))
	}
}
