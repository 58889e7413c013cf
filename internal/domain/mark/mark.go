// Package mark holds the marks by which operators take data centres and
// instances out of service and back.
package mark

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/timeline"
)

// Kind says what a mark is about.
type Kind string

// The kinds.
const (
	DataCentre Kind = "datacentre"
	Instance   Kind = "instance"
)

// Target is a data centre or an instance.
type Target struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
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

// Mark says whether a target is out of service. Of two marks of a target the
// one with the higher stamp wins. Marks are never removed, since a lost one
// would let an older one win.
type Mark struct {
	Target Target         `json:"target"`
	Out    bool           `json:"out"`
	Stamp  timeline.Stamp `json:"stamp"`
	By     ident.Instance `json:"by"`
}

// Check reports what is wrong with a mark.
func (m *Mark) Check() error {
	if err := m.Target.Check(); err != nil {
		return err
	}
	if m.Stamp == 0 {
		return fmt.Errorf("mark of %s has no stamp", m.Target)
	}
	return nil
}

// Newer reports whether the mark wins over the other. Equal stamps of two
// daemons are ordered by the daemon's name.
func (m *Mark) Newer(other *Mark) bool {
	if m.Stamp != other.Stamp {
		return m.Stamp > other.Stamp
	}
	return m.By > other.By
}
