// Package remote knows how much room other data centres have, offers their
// daemons as relays, and paces the return of the own data centre.
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

// Summary is what a data centre tells the others of itself. The names of its
// fields in JSON are short, since every daemon passes one of each data centre on
// in each interval.
type Summary struct {
	DataCentre ident.DataCentre `json:"c"`
	// Author, Boot and Sequence order the summaries of one daemon.
	Author   ident.Instance   `json:"a"`
	Boot     unit.Incarnation `json:"b"`
	Sequence unit.Sequence    `json:"s"`
	// Age is the time since the summary was made, in nanoseconds.
	Age time.Duration `json:"g"`
	// Drained says that the data centre is out of service.
	Drained    bool       `json:"o,omitempty"`
	Capacities []Capacity `json:"r,omitempty"`
}

// Capacity is what is free at the warm replicas of a deployment. The deployment's
// record, which every daemon has, gives the models and the organisations.
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
	for _, r := range s.Capacities {
		if r.FreeSlots < 0 || r.WarmReplicas < 0 {
			return fmt.Errorf("summary of %s: deployment %s: free %d or warm %d is negative", s.DataCentre, r.Deployment, r.FreeSlots, r.WarmReplicas)
		}
	}
	return nil
}

// newer reports whether s was made after the other, of the same author.
func (s *Summary) newer(boot unit.Incarnation, sequence unit.Sequence) bool {
	if s.Boot != boot {
		return s.Boot > boot
	}
	return s.Sequence > sequence
}

// maxSummaryBytes bounds a summary's encoding. Every daemon receives one summary of
// each data centre in each interval, within 10 kB/s in all.
const maxSummaryBytes = 768

// Summarise returns the rooms of the data centre's warm engines, the largest
// first. What does not fit in maxBytes is left out.
func Summarise(t *table.Table, dc ident.DataCentre, now time.Time) []Capacity {
	byName := make(map[ident.Deployment]*Capacity)
	for _, e := range t.Endpoints() {
		if e.Protocol != table.Engine || e.DataCentre != dc || e.Cold || e.Load.SuspectCold() {
			continue
		}
		r := byName[e.Deployment]
		if r == nil {
			r = &Capacity{Deployment: e.Deployment}
			byName[e.Deployment] = r
		}
		r.WarmReplicas++
		// The engine's own counts include the requests of all daemons, but
		// lag; the counts of this daemon don't.
		reported := e.Load.Reported()
		used := max(reported.Running+reported.Waiting, e.Load.InFlight())
		r.FreeSlots += max(0, e.EffectiveLimit(now)-used)
	}
	rooms := make([]Capacity, 0, len(byName))
	for _, r := range byName {
		rooms = append(rooms, *r)
	}
	sort.Slice(rooms, func(i, j int) bool {
		if rooms[i].FreeSlots != rooms[j].FreeSlots {
			return rooms[i].FreeSlots > rooms[j].FreeSlots
		}
		return rooms[i].Deployment < rooms[j].Deployment
	})
	return truncateToMaxBytes(rooms)
}

func truncateToMaxBytes(rooms []Capacity) []Capacity {
	size := 0
	for i := range rooms {
		raw, err := json.Marshal(rooms[i])
		if err != nil {
			return rooms[:i]
		}
		if size += len(raw) + 1; size > maxSummaryBytes {
			return rooms[:i]
		}
	}
	return rooms
}
