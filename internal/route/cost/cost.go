// Package cost estimates what a request will cost before it runs: the tokens of its answer
// and the work that it causes at a replica. Package forward uses the estimates to admit
// requests, package demand to measure what callers ask for, and package balance to choose
// an endpoint. Estimates use this daemon's own observations, without querying other daemons.
package cost

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Profile is what is known of a request before it runs.
type Profile struct {
	Service ident.Service
	Model   ident.Model
	// Route is the name of the route in the configuration.
	Route        string
	PromptTokens unit.Tokens
	// MaxOutputTokens is the caller's upper bound, and LengthHint the caller's own estimate
	// of the output tokens; zero means that the caller gives none.
	MaxOutputTokens unit.Tokens
	LengthHint      unit.Tokens
}

// Estimate is the expected cost of a request.
type Estimate struct {
	// OutputTokens is the expected number of output tokens.
	OutputTokens unit.Tokens
	// Work is the time for which the request occupies a slot of an idle replica; zero if the
	// service publishes no engine times.
	Work time.Duration
}

// Model estimates the costs of requests. Its methods may be called from several goroutines and
// take no lock.
type Model struct{}

// New returns a Model without observations.
func New() *Model {
	return &Model{}
}

// Predict returns the expected cost of a request to a replica of the engine. The engine is nil for
// a plain service.
func (m *Model) Predict(p Profile, engine *cluster.Engine) Estimate {
	e := Estimate{OutputTokens: expectedOutput(p, engine)}
	if engine == nil {
		return e
	}
	if model := engine.Model(p.Model); model != nil {
		steps := time.Duration(float64(engine.StepTime) * float64(e.OutputTokens) * model.TimeFactor)
		e.Work = engine.PrefillTime(model, p.PromptTokens) + steps
	}
	return e
}

// expectedOutput returns the caller's own estimate, else the published mean, else the caller's
// bound.
func expectedOutput(p Profile, engine *cluster.Engine) unit.Tokens {
	switch {
	case p.LengthHint > 0:
		return p.LengthHint
	case engine != nil && engine.MeanOutput > 0:
		return engine.MeanOutput
	}
	return p.MaxOutputTokens
}
