// Package report holds the messages about replicas: the reports that engines
// send, the orders that the planner sends to engines, and the state that the
// owner of a replica attests to the other daemons.
package report

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// Report is the state of an engine instance, as the engine itself reports it.
type Report struct {
	Instance ident.Instance `json:"instance"`
	// Incarnation and Sequence order the reports of an instance.
	Incarnation unit.Incarnation `json:"boot"`
	Sequence    unit.Sequence    `json:"sequence"`
	Membership
	// Ready says that the weights are loaded and that all members are
	// connected.
	Ready bool `json:"ready"`
	// Cold says that the engine accepts only a few requests for now.
	Cold    bool          `json:"cold"`
	Running unit.Requests `json:"running"`
	Waiting unit.Requests `json:"waiting"`
	// Cache has changes of the engine's prefix cache. Some changes may be
	// missing or late.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Membership is the position of an instance in a replica. Replica is empty for
// an idle instance.
type Membership struct {
	Replica ident.Replica `json:"replica,omitempty"`
	// Epoch is the fencing token of the order that the instance last carried
	// out.
	Epoch    unit.Epoch      `json:"epoch,omitempty"`
	Rank     unit.Rank       `json:"rank"`
	Model    ident.Model     `json:"model,omitempty"`
	Version  ident.Version   `json:"version,omitempty"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	Role     Role            `json:"role,omitempty"`
}

// Role is the part of a request that an engine runs.
type Role string

// The roles. The planner orders the role Complete only. An engine that reports
// another role does not count as a member of its replica until it has carried
// out the order.
const (
	Complete Role = ""
	Prefill  Role = "prefill"
	Decode   Role = "decode"
)

// Check returns an error if the role is unknown.
func (r Role) Check() error {
	switch r {
	case Complete, Prefill, Decode:
		return nil
	}
	return fmt.Errorf("role %q is not one of prefill, decode or empty", r)
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Prefix  work.PrefixHash `json:"prefix"`
	Evicted bool            `json:"evicted,omitempty"`
}

// Check returns an error if the report has an invalid value.
func (r *Report) Check() error {
	if err := ident.CheckName(string(r.Instance)); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if r.Running < 0 || r.Waiting < 0 {
		return fmt.Errorf("report of %s: running %d or waiting %d is negative", r.Instance, r.Running, r.Waiting)
	}
	if r.Replica != "" && r.Rank < 0 {
		return fmt.Errorf("report of %s: rank %d is negative", r.Instance, r.Rank)
	}
	if err := r.Role.Check(); err != nil {
		return fmt.Errorf("report of %s: %w", r.Instance, err)
	}
	return nil
}

// Newer reports whether the engine made the report after another report of the
// same instance.
func (r *Report) Newer(other *Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Order assigns a position in a replica to an instance. An empty Replica makes the
// instance idle. Epoch is the fencing token.
type Order struct {
	Membership
	Members []Member `json:"members,omitempty"`
}

// Member is an instance of a replica. Its rank is its position in the list of
// members.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Address  string         `json:"address"`
}

// Check returns an error if the order has an invalid value.
func (o *Order) Check() error {
	if err := o.Role.Check(); err != nil {
		return fmt.Errorf("order for replica %s: %w", o.Replica, err)
	}
	if o.Replica == "" {
		return nil
	}
	if o.Epoch == 0 {
		return fmt.Errorf("order for replica %s: epoch is missing", o.Replica)
	}
	if int(o.Rank) < 0 || int(o.Rank) >= len(o.Members) {
		return fmt.Errorf("order for replica %s: got rank %d, expected at least 0 and less than the number of members, %d", o.Replica, o.Rank, len(o.Members))
	}
	if o.Model == "" {
		return fmt.Errorf("order for replica %s: model is missing", o.Replica)
	}
	return nil
}

// Assignment holds all replicas of one fabric domain. Daemons replace the
// assignment by compare-and-swap, so that no instance is in two replicas.
type Assignment struct {
	Domain     ident.FabricDomain `json:"domain"`
	DataCentre ident.DataCentre   `json:"dataCentre"`
	// Epoch rises with every write of the assignment.
	Epoch    unit.Epoch `json:"epoch"`
	Replicas []Replica  `json:"replicas"`
}

// Replica is one replica of an assignment.
type Replica struct {
	ID         ident.Replica    `json:"replica"`
	Deployment ident.Deployment `json:"deployment"`
	// Epoch is the epoch of the assignment that first contained the replica.
	Epoch    unit.Epoch      `json:"epoch"`
	Model    ident.Model     `json:"model"`
	Version  ident.Version   `json:"version"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	Members  []Member        `json:"members"`
	// Draining says that the replica gets no new requests. The planner
	// dissolves the replica when it is idle.
	Draining bool `json:"leaving,omitempty"`
}

// Check returns an error if the assignment is invalid, for example if two
// replicas contain the same instance.
func (a *Assignment) Check() error {
	replicaOf := make(map[ident.Instance]ident.Replica)
	for _, r := range a.Replicas {
		if len(r.Members) == 0 {
			return fmt.Errorf("assignment of %s: replica %s has no members", a.Domain, r.ID)
		}
		if r.Epoch == 0 || r.Epoch > a.Epoch {
			return fmt.Errorf("assignment of %s: replica %s has epoch %d, expected 1 to %d", a.Domain, r.ID, r.Epoch, a.Epoch)
		}
		for _, m := range r.Members {
			if other, duplicate := replicaOf[m.Instance]; duplicate {
				return fmt.Errorf("assignment of %s: instance %s is in replicas %s and %s", a.Domain, m.Instance, other, r.ID)
			}
			replicaOf[m.Instance] = r.ID
		}
	}
	return nil
}
