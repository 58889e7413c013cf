package work

import "cuminbay/internal/domain/code"

// SendPermit is a recorded claim to run an at-most-once request.
type SendPermit interface {
	// AuthoriseSend returns nil if the request may be sent now. It is called right
	// before each send; after a long pause the claim is released and the
	// error carries code.ClaimExpired.
	AuthoriseSend() error
	// Finish records how the request ended.
	Finish(code.Code)
	// Release records that the request was certainly not sent.
	Release()
}
