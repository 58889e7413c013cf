// Package cluster holds the operator's configuration of a cluster and the
// entries of its list of servers. The platform adapter reads both from the
// platform; routing and the replica controller use them. The daemons of such a
// cluster forward requests unchanged.
package cluster

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Config is one version of the operator's configuration. A published version
// does not change.
type Config struct {
	// Version rises with every change, not always by one.
	Version       uint64
	Routes        []Route
	Services      map[ident.Service]*Service
	Organisations []Organisation
	// KeysRequired says that routes that are not public need an organisation's key. It holds
	// also if the last organisation was taken away.
	KeysRequired bool
	Limits       Limits
}

// RouteKind says whether the daemons may repeat the requests of a route.
type RouteKind string

// The kinds of routes. A request on a Safe route may run more than once. A
// request on an Unsafe route runs at most once for each attempt of its caller.
// A request on a Stream route is answered with a series of events.
const (
	Safe   RouteKind = "safe"
	Unsafe RouteKind = "unsafe"
	Stream RouteKind = "stream"
)

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyObjective is the desired time to the answer, or to the first event
	// of a stream. A later answer is worth less to the caller.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that
	// meets its objective.
	MaxEventGap time.Duration
	Priority    unit.Priority
	Targets     []Target
	// MaxAttempts is the highest number of servers to which a request may be
	// sent.
	MaxAttempts int
	// Public says that requests of the route need no key.
	Public bool
	// Resumable says that another server can continue a stream of the route.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target is a service that gets a share of a route's requests.
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
	// ColdRate is the highest number of requests a second that all daemons
	// together may send to a cold server; zero means no limit.
	ColdRate float64
	// Engine is set for model servers.
	Engine *Engine
}

// Engine holds the published performance figures of a service's model servers.
type Engine struct {
	// Slots is the number of requests that a replica runs at once.
	Slots  unit.Requests
	Models []Model
	// StepTime is the time of one token step without load, StepTimePerSequence
	// the time that each running request adds, and StepsPerPass the number of
	// steps in a pass.
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	StepsPerPass        int
	// PrefillRate is the number of prompt tokens that a replica reads a second,
	// and PrefillChunk the highest number that it reads in one step.
	PrefillRate  float64
	PrefillChunk unit.Tokens
	// MaxLoadsPerSecond and MaxConcurrentLoads bound the loads from the weight
	// store.
	MaxLoadsPerSecond  float64
	MaxConcurrentLoads int
	// ContextTime is the time that each 1,000 tokens of the context of a running request add to
	// a token step, and AttentionTime the prefill time of a million pairs of a prompt token and
	// an earlier one.
	ContextTime   time.Duration
	AttentionTime time.Duration
	// MeanPrompt and MeanOutput are the published mean numbers of tokens of a request; zero
	// means unknown.
	MeanPrompt unit.Tokens
	MeanOutput unit.Tokens
	// KVCapacity is the number of tokens that fit in the KV cache of a replica; zero means
	// unknown.
	KVCapacity unit.Tokens
	// ReportAge is the highest age of the state in a server's report.
	ReportAge time.Duration
	// FormationTime is the time that a complete replica takes until it serves
	// requests.
	FormationTime time.Duration
}

// Model is a model whose replicas span several servers.
type Model struct {
	Name ident.Model
	// ServersPerReplica is the number of servers in a replica.
	ServersPerReplica int
	// InitialShare is the model's share of the servers when the cluster starts.
	InitialShare float64
	// TimeFactor multiplies the engine's times.
	TimeFactor float64
	// LoadTime is the time of a load from the weight store, and StagedLoadTime
	// the time of a load from the server's own host.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// MaxPassInterval returns the longest time between two passes of a replica of
// the model: all slots generate tokens and every step reads a full prefill
// chunk.
func (e *Engine) MaxPassInterval(m *Model) time.Duration {
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerSequence
	if e.PrefillRate > 0 {
		step += time.Duration(float64(e.PrefillChunk) / e.PrefillRate * float64(time.Second))
	}
	return time.Duration(float64(max(e.StepsPerPass, 1)) * float64(step) * m.TimeFactor)
}

// PrefillTime returns the time that a replica of the model takes to read the
// prompt.
func (e *Engine) PrefillTime(m *Model, prompt unit.Tokens) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / e.PrefillRate * m.TimeFactor * float64(time.Second))
}

// Model returns the model with the name, or nil.
func (e *Engine) Model(name ident.Model) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Organisation is a customer with the keys that its callers send.
type Organisation struct {
	Name     ident.Organisation
	Keys     []string
	Priority unit.Priority
	// HasPriority says that Priority overrides the priority of the route.
	HasPriority bool
}

// Limits bound the size of a caller's request and the time to read it.
type Limits struct {
	HeaderBytes   unit.Bytes
	BodyBytes     unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
