package cluster

import (
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Server is what the platform's list says of one server.
type Server struct {
	ID         ident.Instance
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	// Incarnation tells the lives of a server apart, in milliseconds since 1970.
	Incarnation unit.Incarnation
	// Draining servers get no new requests.
	Draining bool
	Slots    unit.Requests
	// ColdFor is the time for which the server stays cold, counted from Heard.
	ColdFor time.Duration
	// ReceivedAt is when this entry was received, by the local clock.
	ReceivedAt time.Time
	// AcceptedOrders is the number of orders that this life has accepted.
	AcceptedOrders unit.Sequence
	// Domain is the fabric domain of a model server.
	Domain ident.FabricDomain
	// StagedModels are the models whose weights are on the server's host.
	StagedModels []ident.Model
	// Membership is the server's place in a replica, nil for none.
	Membership *Membership
}

// HasStaged reports whether the model's weights are on the server's host.
func (s *Server) HasStaged(m ident.Model) bool {
	return slices.Contains(s.StagedModels, m)
}

// Membership is the place of a server in a replica.
type Membership struct {
	Replica ident.Replica
	Epoch   unit.Epoch
	Rank    unit.Rank
	Model   ident.Model
	State   MemberState
}

// MemberState is the state of a member, or of the whole replica at its head.
type MemberState string

// The states. Only the head opens; Broken is a head that found a member missing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)

// Operation is what a server is ordered to do.
type Operation string

// The operations. Join makes the server a member of a replica, Open makes the
// head serve, Close stops that, Leave ends the membership, and Stage loads a
// model's weights onto the host.
const (
	JoinReplica  Operation = "join"
	OpenReplica  Operation = "open"
	CloseReplica Operation = "close"
	LeaveReplica Operation = "leave"
	StageModel   Operation = "stage"
)

// Order is an order to a server.
type Order struct {
	Operation Operation
	// FencingToken is the planner's generation number: servers that check it refuse
	// an order with a lower one than they have seen.
	FencingToken unit.Revision
	Replica      ident.Replica
	Epoch        unit.Epoch
	Model        ident.Model
	// Members are listed head first.
	Members []ident.Instance
}

// OrderResult is a server's answer to an order.
type OrderResult int

// The results. Unanswered orders may be carried out later; Fenced ones come
// from a planner that has been replaced.
const (
	Unanswered OrderResult = iota
	InProgress
	Done
	Rejected
	Fenced
)

// String returns the result's name.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "begun", "done", "rejected", "fenced"}[r]
}
