package site

import (
	"context"
	"sync"
	"time"

	"cuminbay/internal/domain/ident"
)

// DataCentreState is what a data centre had at a time.
type DataCentreState struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	// TargetReplicas is what the records ask for, none while the data centre is out
	// of service; Possible is how many of those the live engines suffice for.
	TargetReplicas   int `json:"wanted"`
	PossibleReplicas int `json:"possible"`
	ServingReplicas  int `json:"serving"`
	// StrandedAccelerators counts live accelerators outside serving replicas; Spare is
	// the part of them that no wanted replica could use.
	StrandedAccelerators int `json:"stranded"`
	SpareAccelerators    int `json:"spare"`
}

// Observation is a look at the whole site.
type Observation struct {
	At          time.Duration     `json:"at"`
	DataCentres []DataCentreState `json:"centres"`
}

const observeInterval = 250 * time.Millisecond

// Observe looks at the site until the context ends.
func (s *Site) Observe(ctx context.Context, start time.Time) []Observation {
	var list []Observation
	ticker := s.Clock.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		list = append(list, s.observe(start))
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return list
		}
	}
}

func (s *Site) observe(start time.Time) Observation {
	o := Observation{At: s.Clock.Since(start), DataCentres: make([]DataCentreState, len(s.Spec.DataCentres))}
	var group sync.WaitGroup
	for c := range o.DataCentres {
		group.Go(func() { o.DataCentres[c] = s.observeDataCentre(c) })
	}
	group.Wait()
	return o
}

// observeDataCentre asks a daemon of the data centre, another one if it doesn't answer.
func (s *Site) observeDataCentre(c int) DataCentreState {
	centre := DataCentreState{DataCentre: s.Spec.DataCentres[c].Name}
	live := make(map[ident.Instance]bool)
	domains := make([]int, len(s.Spec.DataCentres[c].Domains))
	s.mu.Lock()
	for i := range s.engines {
		e := &s.engines[i]
		if p := s.processes[e.Instance]; e.centreIndex == c && p.running() && !p.paused {
			live[e.Instance] = true
			domains[e.domainIndex]++
		}
	}
	out := s.drained[centre.DataCentre]
	s.mu.Unlock()
	serving, used := s.servingIn(centre.DataCentre, live)
	possible, engines := s.Spec.PossibleReplicas(domains)
	centre.ServingReplicas = serving
	centre.StrandedAccelerators = (len(live) - used) * int(engineAccelerators)
	centre.SpareAccelerators = (len(live) - engines) * int(engineAccelerators)
	if out {
		// What is out of service isn't wanted, so none of it is stranded.
		centre.StrandedAccelerators, centre.SpareAccelerators = 0, 0
		return centre
	}
	centre.TargetReplicas, centre.PossibleReplicas = s.Spec.TargetReplicas(), possible
	return centre
}

// servingIn counts the serving replicas and their live engines.
func (s *Site) servingIn(c ident.DataCentre, live map[ident.Instance]bool) (serving, used int) {
	for i := range s.daemons {
		d := &s.daemons[i]
		s.mu.Lock()
		p := s.processes[d.Instance]
		up := d.DataCentre == c && p.running() && !p.paused
		s.mu.Unlock()
		if !up {
			continue
		}
		v, err := s.fetchStatus(d)
		if err != nil {
			continue
		}
		for j := range v.Replicas {
			if !v.Replicas[j].Serving {
				continue
			}
			serving++
			for _, m := range v.Replicas[j].Members {
				if live[m] {
					used++
				}
			}
		}
		return serving, used
	}
	return 0, 0
}
