// Package cost estimates what a request will cost before it runs: the tokens of its answer, the
// work that it causes at a replica, and the time to its first event there. Package forward uses the
// estimates to admit requests, package demand to measure what callers ask for, and package balance
// to choose an endpoint. Estimates use this daemon's own observations, without querying other
// daemons.
package cost

import (
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/rcu"
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
	// OutputTokens is the expected number of output tokens, MedianOutput its median and
	// HighOutput its 90th percentile.
	OutputTokens unit.Tokens
	MedianOutput unit.Tokens
	HighOutput   unit.Tokens
	// Work is the slot time that the request costs a replica a quarter of whose slots are in use; zero if
	// the service publishes no engine times.
	Work time.Duration
}

// Model estimates the costs of requests. Its methods may be called from several goroutines, and
// estimates take no lock.
type Model struct {
	outputs outputTable
	// times has a *learnedTimes for each modelKey.
	times  rcu.Map
	errors errorMeasures
}

// New returns a Model without observations.
func New() *Model {
	return &Model{times: rcu.Map{Limit: maxLearnedModels}}
}

// Predict returns the expected cost of a request to a replica of the engine. The engine is nil for
// a plain service.
func (m *Model) Predict(p Profile, engine *cluster.Engine) Estimate {
	output := m.outputs.predict(p, expectedOutput(p, engine))
	e := Estimate{
		OutputTokens: tokens(output.mean), MedianOutput: tokens(output.median), HighOutput: tokens(output.high),
	}
	if engine == nil {
		return e
	}
	if model := engine.Model(p.Model); model != nil {
		e.Work = work(engine, model, p.PromptTokens, output.mean)
	}
	return e
}

// usualUtilisation is the utilisation of a replica at which work is counted. At a higher one, long prompts
// weigh more, and the planner gives too few replicas to models with short prompts.
const usualUtilisation = 0.25

// work returns the slot time of a request at a replica of the usual utilisation. A replica
// prefills one prompt after the other, and its running requests wait meanwhile, so the prefill
// counts for each of them. In slots of an idle replica, long prompts would seem cheap.
func work(e *cluster.Engine, m *cluster.Model, prompt unit.Tokens, output float64) time.Duration {
	running := max(1, usualUtilisation*float64(e.Slots))
	step := float64(e.StepTime) + running*float64(e.StepTimePerSequence)
	return time.Duration(running*float64(e.PrefillTime(m, prompt)) + output*step*m.TimeFactor)
}

// tokens rounds to whole tokens.
func tokens(n float64) unit.Tokens {
	return unit.Tokens(n + 0.5)
}

// Record records the output tokens of a request whose stream has ended.
func (m *Model) Record(now time.Time, p Profile, predicted Estimate, output unit.Tokens) {
	if output <= 0 {
		return
	}
	m.outputs.record(now, p, output)
	m.errors.output.record(float64(predicted.MedianOutput), float64(output))
}

// expectedOutput returns the caller's own estimate, else the published mean, else the caller's
// bound. It is used before there are observations.
func expectedOutput(p Profile, engine *cluster.Engine) unit.Tokens {
	switch {
	case p.LengthHint > 0:
		return p.LengthHint
	case engine != nil && engine.MeanOutput > 0:
		return engine.MeanOutput
	}
	return p.MaxOutputTokens
}

// StreamTokens returns the number of output tokens in a stream of the given number of events. An
// engine sends an event for each pass, which has a token of each of its steps; the last pass is on
// average half used.
func StreamTokens(engine *cluster.Engine, events int) unit.Tokens {
	if engine == nil || engine.StepsPerPass <= 1 || events == 0 {
		return unit.Tokens(events)
	}
	return unit.Tokens(events*engine.StepsPerPass - engine.StepsPerPass/2)
}
