// Package remote lets a data centre use the free capacity of others. Data
// centres exchange summaries of their free capacity. From these the package
// offers the daemons of other data centres as relay endpoints to the routing
// table, and it limits the use of the local engines while the data centre
// returns to service.
package remote

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/table"
)

// Summary is the information that a data centre sends to the others. The names of its
// fields in JSON are short, since every daemon sends the summary of each data
// centre in each interval.
type Summary struct {
	DataCentre ident.DataCentre `json:"c"`
	// Author, Incarnation and Sequence order the summaries of one daemon.
	Author      ident.Instance   `json:"a"`
	Incarnation unit.Incarnation `json:"b"`
	Sequence    unit.Sequence    `json:"s"`
	// Age is the time since the summary was made, in nanoseconds.
	Age time.Duration `json:"g"`
	// Drained says that the data centre is out of service.
	Drained    bool       `json:"o,omitempty"`
	Capacities []Capacity `json:"r,omitempty"`
}

// Capacity is the free capacity of a deployment's warm replicas. Every daemon
// has the deployment's record with its models and organisations.
type Capacity struct {
	Deployment   ident.Deployment `json:"d"`
	WarmReplicas int              `json:"w"`
	FreeSlots    unit.Requests    `json:"f"`
}

// Check reports what is wrong with a summary from a peer.
func (s *Summary) Check() error {
	if err := ident.CheckName(string(s.DataCentre)); err != nil {
		return fmt.Errorf("summary: dataCentre: %w", err)
	}
	if err := ident.CheckName(string(s.Author)); err != nil {
		return fmt.Errorf("summary of %s: author: %w", s.DataCentre, err)
	}
	if s.Age < 0 {
		return fmt.Errorf("summary of %s: age %s is negative", s.DataCentre, s.Age)
	}
	for _, c := range s.Capacities {
		if c.FreeSlots < 0 || c.WarmReplicas < 0 {
			return fmt.Errorf("summary of %s: deployment %s: free slots %d or warm replicas %d is negative", s.DataCentre, c.Deployment, c.FreeSlots, c.WarmReplicas)
		}
	}
	return nil
}

// isNewer reports whether s was made after the version of the same author.
func (s *Summary) isNewer(incarnation unit.Incarnation, sequence unit.Sequence) bool {
	if s.Incarnation != incarnation {
		return s.Incarnation > incarnation
	}
	return s.Sequence > sequence
}

// maxSummaryBytes bounds the encoded capacities of a summary. Every daemon
// receives a summary of each data centre in each interval, in all at most 10
// kB/s.
const maxSummaryBytes = 768

// Summarise returns the free capacity of the data centre's warm engines by
// deployment, the largest first. Deployments beyond maxSummaryBytes are left out.
func Summarise(t *table.Table, dc ident.DataCentre, now time.Time) []Capacity {
	byName := make(map[ident.Deployment]*Capacity)
	for _, e := range t.Endpoints() {
		if e.Protocol != table.Engine || e.DataCentre != dc || e.Cold || e.Load.IsSuspectedCold() {
			continue
		}
		c := byName[e.Deployment]
		if c == nil {
			c = &Capacity{Deployment: e.Deployment}
			byName[e.Deployment] = c
		}
		c.WarmReplicas++
		// The counts that the engine reports include the requests of all
		// daemons but are delayed. This daemon's own count is current.
		reported := e.Load.ReportedCounts()
		used := max(reported.Running+reported.Waiting, e.Load.InFlight())
		c.FreeSlots += max(0, e.EffectiveLimit(now)-used)
	}
	capacities := make([]Capacity, 0, len(byName))
	for _, c := range byName {
		capacities = append(capacities, *c)
	}
	sort.Slice(capacities, func(i, j int) bool {
		if capacities[i].FreeSlots != capacities[j].FreeSlots {
			return capacities[i].FreeSlots > capacities[j].FreeSlots
		}
		return capacities[i].Deployment < capacities[j].Deployment
	})
	return truncateToMaxBytes(capacities)
}

// truncateToMaxBytes returns the first capacities whose JSON fits into
// maxSummaryBytes.
func truncateToMaxBytes(capacities []Capacity) []Capacity {
	size := 0
	for i := range capacities {
		raw, err := json.Marshal(capacities[i])
		if err != nil {
			return capacities[:i]
		}
		if size += len(raw) + 1; size > maxSummaryBytes {
			return capacities[:i]
		}
	}
	return capacities
}
