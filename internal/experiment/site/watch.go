package site

import (
	"context"
	"sync"
	"time"

	"cuminbay/internal/domain/ident"
)

// Centre is what a data centre had at a time.
type Centre struct {
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Wanted is what the records ask for, none while the data centre is out
	// of service; Possible is how many of those the live engines suffice for.
	Wanted   int `json:"wanted"`
	Possible int `json:"possible"`
	Serving  int `json:"serving"`
	// Stranded counts live accelerators outside serving replicas; Spare is
	// the part of them that no wanted replica could use.
	Stranded int `json:"stranded"`
	Spare    int `json:"spare"`
}

// Observation is a look at the whole site.
type Observation struct {
	At      time.Duration `json:"at"`
	Centres []Centre      `json:"centres"`
}

const lookInterval = 250 * time.Millisecond

// Watch looks at the site until the context ends.
func (s *Site) Watch(ctx context.Context, start time.Time) []Observation {
	var list []Observation
	ticker := s.Clock.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		list = append(list, s.look(start))
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return list
		}
	}
}

func (s *Site) look(start time.Time) Observation {
	o := Observation{At: s.Clock.Since(start), Centres: make([]Centre, len(s.Model.DataCentres))}
	var group sync.WaitGroup
	for c := range o.Centres {
		group.Go(func() { o.Centres[c] = s.lookAt(c) })
	}
	group.Wait()
	return o
}

// lookAt asks a daemon of the data centre, another one if it doesn't answer.
func (s *Site) lookAt(c int) Centre {
	centre := Centre{DataCentre: s.Model.DataCentres[c].Name}
	live := make(map[ident.Instance]bool)
	domains := make([]int, len(s.Model.DataCentres[c].Domains))
	s.mu.Lock()
	for i := range s.engines {
		e := &s.engines[i]
		if p := s.processes[e.Instance]; e.centre == c && p.running() && !p.paused {
			live[e.Instance] = true
			domains[e.domain]++
		}
	}
	out := s.out[centre.DataCentre]
	s.mu.Unlock()
	serving, used := s.servingIn(centre.DataCentre, live)
	possible, engines := s.Model.Possible(domains)
	centre.Serving = serving
	centre.Stranded = (len(live) - used) * int(accelerators)
	centre.Spare = (len(live) - engines) * int(accelerators)
	if out {
		// What is out of service isn't wanted, so none of it is stranded.
		centre.Stranded, centre.Spare = 0, 0
		return centre
	}
	centre.Wanted, centre.Possible = s.Model.Wanted(), possible
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
		v, err := s.status(d)
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
