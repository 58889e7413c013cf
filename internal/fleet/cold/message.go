// Package cold divides the few requests that a cold endpoint accepts among the
// daemons of a data centre. Every daemon has an equal quota of them and
// delegates it for a short time to the endpoint's owner. The owner grants whole
// requests to daemons that have demand.
package cold

import (
	"fmt"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// ClockToken is a reading of an owner's clock. A daemon returns the last token
// that it received with its next grant request. So its delegation counts from a
// time before the request was sent, however long the message takes.
type ClockToken struct {
	// Incarnation identifies the process that issued the token; zero stands for
	// no token.
	Incarnation uint64 `json:"b,omitempty"`
	// Elapsed is the time since the start of that process.
	Elapsed time.Duration `json:"a,omitempty"`
}

// GrantRequest is a daemon's message about an endpoint to the endpoint's owner.
type GrantRequest struct {
	Endpoint ident.Endpoint `json:"e"`
	// Limit and Daemons determine the quota: Limit / Daemons requests.
	Limit   unit.Requests `json:"l"`
	Daemons int64         `json:"n"`
	// Incarnation and Sequence order the grant requests of a daemon.
	Incarnation uint64        `json:"p"`
	Sequence    unit.Sequence `json:"s"`
	// Token is the owner's last token. Without one, nothing is delegated.
	Token ClockToken `json:"t"`
	// Delegates says that the daemon delegates its quota to the owner.
	Delegates bool          `json:"d,omitempty"`
	Demand    unit.Requests `json:"w,omitempty"`
	// Outstanding is the number of requests in flight or the number of requests
	// of the current grant, whichever is larger.
	Outstanding unit.Requests `json:"h,omitempty"`
}

// Check reports what is wrong with a request from a peer.
func (r *GrantRequest) Check() error {
	if err := ident.CheckName(string(r.Endpoint)); err != nil {
		return fmt.Errorf("grant request: endpoint: %w", err)
	}
	if r.Limit < 0 || r.Daemons < 1 || r.Demand < 0 || r.Outstanding < 0 {
		return fmt.Errorf("grant request for endpoint %s: limit %d, demand %d or outstanding %d is negative or daemons %d is below 1",
			r.Endpoint, r.Limit, r.Demand, r.Outstanding, r.Daemons)
	}
	return nil
}

// Grant is the owner's answer to a GrantRequest.
type Grant struct {
	Endpoint ident.Endpoint `json:"e"`
	Sequence unit.Sequence  `json:"s"`
	Token    ClockToken     `json:"t"`
	Requests unit.Requests  `json:"r,omitempty"`
	// Duration is how long the grant lasts, from the time at which the grant
	// request was sent.
	Duration time.Duration `json:"f,omitempty"`
}

// Options configure a Granter and a Delegator.
type Options struct {
	// Incarnation differs between two starts of a daemon.
	Incarnation uint64
	// Start is the time at which the process started.
	Start time.Time
	// TTL is the lifetime of a delegation.
	TTL time.Duration
	// MaxHold is the time for which the requests of a silent daemon count as in
	// flight. It should exceed the longest request.
	MaxHold time.Duration
}

// clockRateTolerance bounds the difference of the rates of two clocks: 1 in
// 100.
const clockRateTolerance = 100

// shortenForClockError and extendForClockError change a duration by the
// tolerance, so that it is a safe upper or lower bound on the other daemon's
// clock.
func shortenForClockError(d time.Duration) time.Duration { return d - d/clockRateTolerance }
func extendForClockError(d time.Duration) time.Duration  { return d + d/clockRateTolerance }
