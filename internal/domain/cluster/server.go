package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Server is an entry of the platform's list of servers.
type Server struct {
	ID         ident.Instance
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	// Incarnation is the start time of the server process in milliseconds since
	// 1970. It distinguishes a restarted server from its earlier incarnation.
	Incarnation unit.Incarnation
	// Draining says that the server gets no new requests.
	Draining bool
	// Unregistered says that the platform has removed the entry, and that the server is kept as a
	// member of a replica that serves. It may have left, or have lost its link to the platform.
	Unregistered bool
	Slots        unit.Requests
	// ColdFor is the time after ReceivedAt for which the server stays cold.
	ColdFor time.Duration
	// ReceivedAt is the time at which this daemon received the entry, by the
	// local clock.
	ReceivedAt time.Time
	// Domain is the fabric domain of a model server.
	Domain ident.FabricDomain
	// StagedModels are the models whose weights are on the server's host.
	StagedModels []ident.Model
	// Membership is the server's position in a replica, nil if the server is in
	// no replica.
	Membership *Membership
	// AsOf is the time, by the local clock, at which StagedModels and Membership are known to
	// have held. For a registration it is ReceivedAt, as its age is unknown.
	AsOf time.Time
	// HighestEpoch is the highest known epoch of the incarnation, from any source, and
	// ReportedEpoch the highest one that it has reported itself.
	HighestEpoch  unit.Epoch
	ReportedEpoch unit.Epoch
	// Sequence is, in a server's own report, the number of orders that the incarnation has
	// accepted. Registrations don't have it.
	Sequence unit.Sequence
}

// SameMembership reports whether both servers are in the same replica at the same epoch, or
// both in none.
func (s *Server) SameMembership(other *Server) bool {
	if s.Membership == nil || other.Membership == nil {
		return s.Membership == other.Membership
	}
	return s.Membership.Replica == other.Membership.Replica && s.Membership.Epoch == other.Membership.Epoch
}

// IncarnationID identifies the server's incarnation.
func (s *Server) IncarnationID() ident.ServerIncarnation {
	raw := binary.LittleEndian.AppendUint64([]byte(s.ID), uint64(s.Incarnation))
	return ident.ServerIncarnation(xxhash.Sum64(raw))
}

// HasStaged reports whether the model's weights are on the server's host.
func (s *Server) HasStaged(m ident.Model) bool {
	return slices.Contains(s.StagedModels, m)
}

// Membership is the position of a server in a replica.
type Membership struct {
	Replica ident.Replica
	Epoch   unit.Epoch
	Rank    unit.Rank
	Model   ident.Model
	State   MemberState
}

// MemberState is the state of a member. The state of the head is the state of
// the whole replica.
type MemberState string

// The states of members. Only the head of a replica becomes Open or Broken; a
// head is Broken if a member is missing.
const (
	Joining MemberState = "joining"
	Ready   MemberState = "ready"
	Open    MemberState = "open"
	Closing MemberState = "closing"
	Broken  MemberState = "broken"
)

// Formation is a replica that serves, as its members reported.
type Formation struct {
	Replica ident.Replica
	Epoch   unit.Epoch
	Model   ident.Model
	// Members are in order of their ranks.
	Members []FormationMember
}

// FormationMember is a server of a Formation.
type FormationMember struct {
	ID          ident.Instance
	Incarnation unit.Incarnation
}

// Operation is the action that an order requests.
type Operation string

// The operations. JoinReplica makes the server a member of a replica,
// OpenReplica makes the head serve requests, CloseReplica makes the head stop
// serving, LeaveReplica ends the membership, and StageModel loads a model's
// weights onto the host.
const (
	JoinReplica  Operation = "join"
	OpenReplica  Operation = "open"
	CloseReplica Operation = "close"
	LeaveReplica Operation = "leave"
	StageModel   Operation = "stage"
)

// Order is a command of the planner to a server.
type Order struct {
	Operation Operation
	// FencingToken is the generation of the planner. A server that checks the
	// token refuses an order with a lower token than an earlier order had.
	FencingToken unit.Revision
	Replica      ident.Replica
	Epoch        unit.Epoch
	Model        ident.Model
	// Members lists the members of the replica, the head first.
	Members []ident.Instance
	// ExpectedSequence, if set, is the sequence at which the server has to be. At another
	// one it rejects the order, as it has accepted an order that the planner doesn't know.
	ExpectedSequence *unit.Sequence
}

// OrderResult is the result of sending an order to a server.
type OrderResult int

// The results. A server may still carry out an Unanswered order later. Fenced
// means that the order came from a planner that has been replaced. OutOfDate means that the order
// was not sent, as the server reports another membership than the planner knew.
const (
	Unanswered OrderResult = iota
	InProgress
	Done
	Rejected
	Fenced
	OutOfDate
)

// String returns the name of the result.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "begun", "done", "rejected", "fenced", "out-of-date"}[r]
}
