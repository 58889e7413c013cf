// Package cluster holds the operator's configuration of a deployment whose
// requests are forwarded unchanged, and the servers that its platform lists.
package cluster

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Config is one version of the operator's configuration. It does not change
// once it is published.
type Config struct {
	// Version rises with every change, in uneven steps.
	Version       uint64
	Routes        []Route
	Services      map[ident.Service]*Service
	Organisations []Organisation
	Limits        Limits
}

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds. A request on a Safe route may run more than once, one on an Unsafe
// route at most once for each attempt of its caller, and a Stream is answered
// with a series of events.
const (
	Safe   RouteKind = "safe"
	Unsafe RouteKind = "unsafe"
	Stream RouteKind = "stream"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which it is worth the most.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that is on time.
	MaxEventGap time.Duration
	Priority    unit.Priority
	Targets     []Target
	// MaxAttempts bounds the servers to which a request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target is a service of a route with its share of the requests.
type Target struct {
	Service ident.Service
	Weight  unit.Weight
}

// Service is a set of equal servers.
type Service struct {
	Name       ident.Service
	HealthPath string
	// MaxConnections bounds the connections to one server from all callers.
	MaxConnections int
	// ColdRate is the number of requests a second that a server bears while it
	// is cold, from all daemons together; zero is no bound.
	ColdRate float64
	// Engine is set for model servers.
	Engine *Engine
}

// Engine holds the published figures of a service's model servers.
type Engine struct {
	// Slots is the number of requests that a replica runs at once.
	Slots  unit.Requests
	Models []Model
	// StepTime is the time of a token step, PerSequence what each running request
	// adds to it, and Stride the number of steps in a pass.
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	StepsPerPass        int
	// PrefillRate is the number of prompt tokens read a second, and Chunk the most
	// that are read in one step.
	PrefillRate  float64
	PrefillChunk unit.Tokens
	// MaxLoadsPerSecond and LoadsAtOnce bound the loads from the weight store.
	MaxLoadsPerSecond  float64
	MaxConcurrentLoads int
	// FormationTime is the time that a complete replica takes to begin serving.
	FormationTime time.Duration
}

// Model is a model whose replicas span several servers.
type Model struct {
	Name ident.Model
	// ServersPerReplica is the number of servers of a replica.
	ServersPerReplica int
	// InitialShare is the model's share of the servers at the start.
	InitialShare float64
	// TimeFactor multiplies the engine's times.
	TimeFactor float64
	// LoadTime is the time of a load from the weight store, WarmTime that from
	// the server's own host.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// MaxPassInterval returns the longest time between two passes of a model's replica,
// when all slots write and every step reads as much as it may.
func (e *Engine) MaxPassInterval(m *Model) time.Duration {
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerSequence
	if e.PrefillRate > 0 {
		step += time.Duration(float64(e.PrefillChunk) / e.PrefillRate * float64(time.Second))
	}
	return time.Duration(float64(max(e.StepsPerPass, 1)) * float64(step) * m.TimeFactor)
}

// PrefillTime returns the time that a model's replica takes to read a prompt.
func (e *Engine) PrefillTime(m *Model, prompt unit.Tokens) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / e.PrefillRate * m.TimeFactor * float64(time.Second))
}

// Model returns the model of that name, or nil.
func (e *Engine) Model(name ident.Model) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Organisation is a customer with the keys that its callers present.
type Organisation struct {
	Name     ident.Organisation
	Keys     []string
	Priority unit.Priority
	// HasPriority says that Priority takes precedence over the route's.
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   unit.Bytes
	BodyBytes     unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
