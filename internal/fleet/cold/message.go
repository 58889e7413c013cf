// Package cold divides the few requests that a cold endpoint accepts among the
// daemons of a data centre. Every daemon has an equal quota and delegates it
// for a short time to the endpoint's owner, which grants whole requests.
package cold

import (
	"fmt"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// ClockToken is a reading of an owner's clock. A daemon sends back the last one it
// got, so that a delegation runs from a time before it was sent, however long
// the message took.
type ClockToken struct {
	// Incarnation identifies the process that issued the token; zero is no token.
	Incarnation uint64 `json:"b,omitempty"`
	// Elapsed is the time since the start of that process.
	Elapsed time.Duration `json:"a,omitempty"`
}

// GrantRequest is one daemon's message about one endpoint to the endpoint's owner.
type GrantRequest struct {
	Endpoint ident.Endpoint `json:"e"`
	// Limit and Daemons determine the quota: Limit / Daemons requests.
	Limit   unit.Requests `json:"l"`
	Daemons int64         `json:"n"`
	// Incarnation and Sequence order the asks of a daemon.
	Incarnation uint64        `json:"p"`
	Sequence    unit.Sequence `json:"s"`
	// Token is the owner's last token; without one nothing is delegated.
	Token ClockToken `json:"t"`
	// Delegates says that the daemon delegates its quota to the owner.
	Delegates bool          `json:"d,omitempty"`
	Demand    unit.Requests `json:"w,omitempty"`
	// Outstanding is the larger of the requests in flight and the grant in force.
	Outstanding unit.Requests `json:"h,omitempty"`
}

// Check reports what is wrong with an ask from a peer.
func (a *GrantRequest) Check() error {
	if err := ident.CheckName(string(a.Endpoint)); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	if a.Limit < 0 || a.Daemons < 1 || a.Demand < 0 || a.Outstanding < 0 {
		return fmt.Errorf("ask for %s: limit %d, demand %d or held %d is negative or daemons %d below 1",
			a.Endpoint, a.Limit, a.Demand, a.Outstanding, a.Daemons)
	}
	return nil
}

// Grant is the owner's answer to an Ask.
type Grant struct {
	Endpoint ident.Endpoint `json:"e"`
	Sequence unit.Sequence  `json:"s"`
	Token    ClockToken     `json:"t"`
	Requests unit.Requests  `json:"r,omitempty"`
	// Duration is how long the grant lasts, counted from the sending of the ask.
	Duration time.Duration `json:"f,omitempty"`
}

// Options are the parts that both sides share.
type Options struct {
	// Incarnation differs between two starts of a daemon.
	Incarnation uint64
	// Start is the time of the process's start.
	Start time.Time
	// TTL is the time of a delegation.
	TTL time.Duration
	// MaxHold is how long the requests of a silent daemon are taken to be
	// still in flight. It should exceed the longest request.
	MaxHold time.Duration
}

// clockRateTolerance is the fraction by which the rates of two clocks may differ.
const clockRateTolerance = 100

// shortenForClockError and longer move a duration to its safe side under the rate error.
func shortenForClockError(d time.Duration) time.Duration { return d - d/clockRateTolerance }
func extendForClockError(d time.Duration) time.Duration  { return d + d/clockRateTolerance }
