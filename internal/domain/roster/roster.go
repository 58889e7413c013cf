// Package roster holds the entries of the platform's list of instances. Daemons
// read the list to find each other, the engines and the plain services; the
// list may be out of date.
package roster

import (
	"fmt"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Role says what an instance runs.
type Role string

// The roles of instances.
const (
	Daemon  Role = "daemon"
	Engine  Role = "engine"
	Service Role = "service"
)

// State says whether the platform is about to remove the instance.
type State string

// The states of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID         ident.Instance   `json:"instance"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Role       Role             `json:"role"`
	State      State            `json:"state"`
	// Address is the IP address and port of the instance: the peer listener of
	// a daemon, or the HTTP listener of an engine or service.
	Address string `json:"address"`
	// CallerAddress is the address of a daemon's listener for callers.
	CallerAddress string `json:"caller,omitempty"`
	// Service is the name of the plain service that an instance with the role
	// Service runs.
	Service ident.Service `json:"service,omitempty"`
	// Domain and Accelerators are set for engines only.
	Domain       ident.FabricDomain `json:"domain,omitempty"`
	Accelerators unit.Accelerators  `json:"accelerators,omitempty"`
}

// Check returns an error if the entry has an invalid value.
func (i *Instance) Check() error {
	if err := ident.CheckName(string(i.ID)); err != nil {
		return fmt.Errorf("instance: %w", err)
	}
	if err := ident.CheckName(string(i.DataCentre)); err != nil {
		return fmt.Errorf("dataCentre of %s: %w", i.ID, err)
	}
	switch i.Role {
	case Daemon, Engine, Service:
	default:
		return fmt.Errorf("role of %s: %q is not one of daemon, engine, service", i.ID, i.Role)
	}
	switch i.State {
	case Live, Leaving:
	default:
		return fmt.Errorf("state of %s: %q is not one of live, leaving", i.ID, i.State)
	}
	if i.Address == "" {
		return fmt.Errorf("address of %s: missing", i.ID)
	}
	return nil
}
