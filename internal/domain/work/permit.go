package work

import "cuminbay/internal/domain/code"

// SendPermit allows the send of an at-most-once request whose claim has been
// recorded.
type SendPermit interface {
	// AuthoriseSend returns nil if the request may be sent now. The sender
	// calls the method right before each send. After a long pause the method
	// releases the claim and returns an error with code.ClaimExpired.
	AuthoriseSend() error
	// Finish records the result of the request.
	Finish(code.Code)
	// Release records that the request was certainly not sent.
	Release()
}
