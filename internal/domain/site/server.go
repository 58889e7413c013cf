package site

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
	// Born tells the lives of a server apart, in milliseconds since 1970.
	Born unit.Boot
	// Draining servers get no new requests.
	Draining bool
	Slots    unit.Requests
	// Cold is the time for which the server stays cold, counted from Heard.
	Cold time.Duration
	// Heard is when this entry was received, by the local clock.
	Heard time.Time
	// Orders is the number of orders that this life has accepted.
	Orders unit.Sequence
	// Domain is the fabric domain of a model server.
	Domain ident.Domain
	// Staged are the models whose weights are on the server's host.
	Staged []ident.Model
	// Member is the server's place in a replica, nil for none.
	Member *Membership
}

// HasStaged reports whether the model's weights are on the server's host.
func (s *Server) HasStaged(m ident.Model) bool {
	return slices.Contains(s.Staged, m)
}

// Membership is the place of a server in a replica.
type Membership struct {
	Replica ident.Replica
	Epoch   unit.Epoch
	Rank    unit.Rank
	Model   ident.Model
	State   State
}

// State is the state of a member, or of the whole replica at its head.
type State string

// The states. Only the head opens; Broken is a head that found a member missing.
const (
	Joining State = "joining"
	Ready   State = "ready"
	Open    State = "open"
	Closing State = "closing"
	Broken  State = "broken"
)

// Operation is what a server is ordered to do.
type Operation string

// The operations. Join makes the server a member of a replica, Open makes the
// head serve, Close stops that, Leave ends the membership, and Stage loads a
// model's weights onto the host.
const (
	Join  Operation = "join"
	Serve Operation = "open"
	Close Operation = "close"
	Leave Operation = "leave"
	Stage Operation = "stage"
)

// Order is an order to a server.
type Order struct {
	Operation Operation
	// Fence is the planner's generation number: servers that check it refuse
	// an order with a lower one than they have seen.
	Fence   unit.Revision
	Replica ident.Replica
	Epoch   unit.Epoch
	Model   ident.Model
	// Members are listed head first.
	Members []ident.Instance
}

// OrderResult is a server's answer to an order.
type OrderResult int

// The results. Unanswered orders may be carried out later; Fenced ones come
// from a planner that has been replaced.
const (
	Unanswered OrderResult = iota
	Begun
	Done
	Rejected
	Fenced
)

// String returns the result's name.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "begun", "done", "rejected", "fenced"}[r]
}
