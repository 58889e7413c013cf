// Package drainstatus holds the marks by which operators take data centres and
// instances out of service and back.
package drainstatus

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/timeline"
)

// TargetKind says what a mark is about.
type TargetKind string

// The kinds.
const (
	DataCentre TargetKind = "datacentre"
	Instance   TargetKind = "instance"
)

// Target is a data centre or an instance.
type Target struct {
	Kind TargetKind `json:"kind"`
	ID   string     `json:"id"`
}

// String returns kind/id, which is also the end of the mark's platform key.
func (t Target) String() string { return string(t.Kind) + "/" + t.ID }

// Check reports what is wrong with a target.
func (t Target) Check() error {
	if t.Kind != DataCentre && t.Kind != Instance {
		return fmt.Errorf("kind %q is not one of %s, %s", t.Kind, DataCentre, Instance)
	}
	if err := ident.CheckName(t.ID); err != nil {
		return fmt.Errorf("id of %s: %w", t.Kind, err)
	}
	return nil
}

// Status says whether a target is out of service. Of two marks of a target the
// one with the higher stamp wins. Marks are never removed, since a lost one
// would let an older one win.
type Status struct {
	Target    Target             `json:"target"`
	Drained   bool               `json:"out"`
	Timestamp timeline.Timestamp `json:"stamp"`
	SetBy     ident.Instance     `json:"by"`
}

// Check reports what is wrong with a mark.
func (m *Status) Check() error {
	if err := m.Target.Check(); err != nil {
		return err
	}
	if m.Timestamp == 0 {
		return fmt.Errorf("mark of %s has no stamp", m.Target)
	}
	return nil
}

// Supersedes reports whether the mark wins over the other. Equal stamps of two
// daemons are ordered by the daemon's name.
func (m *Status) Supersedes(other *Status) bool {
	if m.Timestamp != other.Timestamp {
		return m.Timestamp > other.Timestamp
	}
	return m.SetBy > other.SetBy
}
