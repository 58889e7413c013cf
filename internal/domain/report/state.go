package report

import (
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// ReplicaState is the state of a replica that its owner attests to the other
// daemons.
type ReplicaState struct {
	Replica    ident.Replica      `json:"replica"`
	Epoch      unit.Epoch         `json:"epoch"`
	Domain     ident.FabricDomain `json:"domain"`
	Deployment ident.Deployment   `json:"deployment"`
	Model      ident.Model        `json:"model"`
	Version    ident.Version      `json:"version"`
	Adapters   []ident.Adapter    `json:"adapters,omitempty"`
	// Address is the address of the member with rank 0, which receives the
	// requests.
	Address string           `json:"address"`
	Members []ident.Instance `json:"members"`
	Serving bool             `json:"serving"`
	Cold    bool             `json:"cold,omitempty"`
	// Draining is copied from the assignment: the replica gets no new requests.
	Draining bool          `json:"leaving,omitempty"`
	Running  unit.Requests `json:"running,omitempty"`
	Waiting  unit.Requests `json:"waiting,omitempty"`
	// UnreadyMembers lists the members that keep the replica from serving.
	UnreadyMembers []UnreadyMember `json:"missing,omitempty"`
}

// UnreadyMember is a member that is not ready to serve in its replica, with the
// reason.
type UnreadyMember struct {
	Instance ident.Instance `json:"instance"`
	Reason   string         `json:"reason"`
}
