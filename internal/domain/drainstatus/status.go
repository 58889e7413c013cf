// Package drainstatus holds the drain status of data centres and instances. An
// operator sets a status to take a data centre or an instance out of service or
// to return it; the daemons replicate the statuses and merge them by timestamp.
package drainstatus

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/timeline"
)

// TargetKind is the kind of a target.
type TargetKind string

// The kinds of targets.
const (
	DataCentre TargetKind = "datacentre"
	Instance   TargetKind = "instance"
)

// Target is a data centre or an instance.
type Target struct {
	Kind TargetKind `json:"kind"`
	ID   string     `json:"id"`
}

// String returns kind/id. The platform key of the status ends in the same text.
func (t Target) String() string { return string(t.Kind) + "/" + t.ID }

// Check returns an error if the kind is unknown or the id is not a valid name.
func (t Target) Check() error {
	if t.Kind != DataCentre && t.Kind != Instance {
		return fmt.Errorf("kind %q is not one of %s, %s", t.Kind, DataCentre, Instance)
	}
	if err := ident.CheckName(t.ID); err != nil {
		return fmt.Errorf("id of %s: %w", t.Kind, err)
	}
	return nil
}

// Status says whether a target is drained. Of two statuses of a target, the
// status with the higher timestamp takes effect. Daemons never delete a status:
// without the latest status, an older status that another daemon still has would
// take effect again.
type Status struct {
	Target    Target             `json:"target"`
	Drained   bool               `json:"out"`
	Timestamp timeline.Timestamp `json:"stamp"`
	SetBy     ident.Instance     `json:"by"`
}

// Check returns an error if the target is invalid or the timestamp is missing.
func (s *Status) Check() error {
	if err := s.Target.Check(); err != nil {
		return err
	}
	if s.Timestamp == 0 {
		return fmt.Errorf("drain status of %s has no timestamp", s.Target)
	}
	return nil
}

// Supersedes reports whether the status takes effect over another status of the
// target. If two daemons set statuses with equal timestamps, the greater name
// of the daemon decides.
func (s *Status) Supersedes(other *Status) bool {
	if s.Timestamp != other.Timestamp {
		return s.Timestamp > other.Timestamp
	}
	return s.SetBy > other.SetBy
}
