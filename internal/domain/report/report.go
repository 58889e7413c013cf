// Package report holds what engines report, what they are ordered, and what
// the owner of a replica attests to the other daemons.
package report

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
)

// Report is what an engine instance says of itself.
type Report struct {
	Instance ident.Instance `json:"instance"`
	// Incarnation and Sequence order the reports of an instance.
	Incarnation unit.Incarnation `json:"boot"`
	Sequence    unit.Sequence    `json:"sequence"`
	Placement
	// Ready says that the weights are loaded and the members connected.
	Ready bool `json:"ready"`
	// Cold says that the engine accepts only a little for now.
	Cold    bool          `json:"cold"`
	Running unit.Requests `json:"running"`
	Waiting unit.Requests `json:"waiting"`
	// Cache has changes of the prefix cache; some are missing or late.
	Cache []CacheEvent `json:"cache,omitempty"`
}

// Placement is the place of an instance in a replica. An idle instance has an
// empty Replica.
type Placement struct {
	Replica ident.Replica `json:"replica,omitempty"`
	// Epoch is the fencing number of the order that the instance obeyed.
	Epoch    unit.Epoch      `json:"epoch,omitempty"`
	Rank     unit.Rank       `json:"rank"`
	Model    ident.Model     `json:"model,omitempty"`
	Version  ident.Version   `json:"version,omitempty"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	Role     Role            `json:"role,omitempty"`
}

// Role is the part of a request that an engine runs.
type Role string

// The roles. The planner orders Complete only; an engine that reports another
// role does not support its replica until it has obeyed.
const (
	Complete Role = ""
	Prefill  Role = "prefill"
	Decode   Role = "decode"
)

// Check reports an unknown role.
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

// Check reports what is wrong with a report.
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

// Newer reports whether r was made after s, another report of the instance.
func (r *Report) Newer(s *Report) bool {
	if r.Incarnation != s.Incarnation {
		return r.Incarnation > s.Incarnation
	}
	return r.Sequence > s.Sequence
}

// Order tells an instance its place in a replica, or to be idle if Replica is
// empty. Epoch is the fencing number.
type Order struct {
	Placement
	Members []Member `json:"members,omitempty"`
}

// Member is an instance of a replica; its rank is its position in the list.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Address  string         `json:"address"`
}

// Check reports what is wrong with an order.
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
		return fmt.Errorf("order for replica %s: rank %d is not below the %d members", o.Replica, o.Rank, len(o.Members))
	}
	if o.Model == "" {
		return fmt.Errorf("order for replica %s: model is missing", o.Replica)
	}
	return nil
}

// Assignment is the value of one fabric domain: every replica of the domain.
// It is replaced by compare-and-swap, so no instance is in two replicas.
type Assignment struct {
	Domain     ident.FabricDomain `json:"domain"`
	DataCentre ident.DataCentre   `json:"dataCentre"`
	// Epoch rises with every write of the value.
	Epoch    unit.Epoch `json:"epoch"`
	Replicas []Replica  `json:"replicas"`
}

// Replica is one replica of an assignment.
type Replica struct {
	ID         ident.Replica    `json:"replica"`
	Deployment ident.Deployment `json:"deployment"`
	// Epoch is the assignment's epoch at which the replica was formed.
	Epoch    unit.Epoch      `json:"epoch"`
	Model    ident.Model     `json:"model"`
	Version  ident.Version   `json:"version"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	Members  []Member        `json:"members"`
	// Draining says that the replica gets no new work, since it will be taken
	// apart as soon as it is idle.
	Draining bool `json:"leaving,omitempty"`
}

// Check reports what is wrong with an assignment, an instance that is in two
// replicas among others.
func (a *Assignment) Check() error {
	placed := make(map[ident.Instance]ident.Replica)
	for _, r := range a.Replicas {
		if len(r.Members) == 0 {
			return fmt.Errorf("assignment of %s: replica %s has no members", a.Domain, r.ID)
		}
		if r.Epoch == 0 || r.Epoch > a.Epoch {
			return fmt.Errorf("assignment of %s: replica %s has epoch %d, want 1 to %d", a.Domain, r.ID, r.Epoch, a.Epoch)
		}
		for _, m := range r.Members {
			if other, duplicate := placed[m.Instance]; duplicate {
				return fmt.Errorf("assignment of %s: instance %s is in replicas %s and %s", a.Domain, m.Instance, other, r.ID)
			}
			placed[m.Instance] = r.ID
		}
	}
	return nil
}
