package site

import (
	"context"
	"sync"
	"time"

	"cuminbay/internal/domain/ident"
)

// DataCentreState counts the replicas and accelerators of a data centre.
type DataCentreState struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	// TargetReplicas is the number of replicas that the records specify, or zero
	// while the data centre is drained. PossibleReplicas is the number of target
	// replicas that the live engines are sufficient for.
	TargetReplicas   int `json:"wanted"`
	PossibleReplicas int `json:"possible"`
	ServingReplicas  int `json:"serving"`
	// StrandedAccelerators is the number of live accelerators outside serving
	// replicas. SpareAccelerators is the number of stranded accelerators that no
	// target replica could use.
	StrandedAccelerators int `json:"stranded"`
	SpareAccelerators    int `json:"spare"`
}

// Observation holds the state of each data centre at one time of the run.
type Observation struct {
	At          time.Duration     `json:"at"`
	DataCentres []DataCentreState `json:"centres"`
}

// observeInterval is the interval between two observations.
const observeInterval = 250 * time.Millisecond

// CollectObservations records the state of the site at an interval until the context
// ends.
func (s *Site) CollectObservations(ctx context.Context, start time.Time) []Observation {
	var list []Observation
	ticker := s.Clock.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		list = append(list, s.takeObservation(start))
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return list
		}
	}
}

func (s *Site) takeObservation(start time.Time) Observation {
	o := Observation{At: s.Clock.Since(start), DataCentres: make([]DataCentreState, len(s.Spec.DataCentres))}
	var group sync.WaitGroup
	for c := range o.DataCentres {
		group.Go(func() { o.DataCentres[c] = s.observeDataCentre(c) })
	}
	group.Wait()
	return o
}

// observeDataCentre returns the state of the data centre with the given index in the
// scenario.
func (s *Site) observeDataCentre(index int) DataCentreState {
	state := DataCentreState{DataCentre: s.Spec.DataCentres[index].Name}
	liveEngines := make(map[ident.Instance]bool)
	livePerDomain := make([]int, len(s.Spec.DataCentres[index].EnginesPerDomain))
	s.mu.Lock()
	for i := range s.engines {
		e := &s.engines[i]
		if p := s.processes[e.Instance]; e.dataCentreIndex == index && p.running() && !p.paused {
			liveEngines[e.Instance] = true
			livePerDomain[e.domainIndex]++
		}
	}
	drained := s.drained[state.DataCentre]
	s.mu.Unlock()
	serving, usedEngines := s.servingIn(state.DataCentre, liveEngines)
	possible, neededEngines := s.Spec.PossibleReplicas(livePerDomain)
	state.ServingReplicas = serving
	state.StrandedAccelerators = (len(liveEngines) - usedEngines) * int(engineAccelerators)
	state.SpareAccelerators = (len(liveEngines) - neededEngines) * int(engineAccelerators)
	if drained {
		// A drained data centre has no target replicas, so its accelerators
		// do not count as stranded.
		state.StrandedAccelerators, state.SpareAccelerators = 0, 0
		return state
	}
	state.TargetReplicas, state.PossibleReplicas = s.Spec.TargetReplicas(), possible
	return state
}

// servingIn returns the number of serving replicas of a data centre and of the live
// engines in them. It uses the status of the first daemon of the data centre that
// answers.
func (s *Site) servingIn(dataCentre ident.DataCentre, liveEngines map[ident.Instance]bool) (serving, usedEngines int) {
	for i := range s.daemons {
		d := &s.daemons[i]
		s.mu.Lock()
		p := s.processes[d.Instance]
		usable := d.DataCentre == dataCentre && p.running() && !p.paused
		s.mu.Unlock()
		if !usable {
			continue
		}
		status, err := s.fetchStatus(d)
		if err != nil {
			continue
		}
		for j := range status.Replicas {
			if !status.Replicas[j].Serving {
				continue
			}
			serving++
			for _, m := range status.Replicas[j].Members {
				if liveEngines[m] {
					usedEngines++
				}
			}
		}
		return serving, usedEngines
	}
	return 0, 0
}
