// Package scenario describes the served systems of the two users, scaled to one
// machine, and their traffic. All of it follows from a seed.
package scenario

import (
	"fmt"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Site is a served system.
type Site struct {
	Name        string
	DataCentres []DataCentre
	Deployments []Deployment
	// Service is the plain service, with its one call that may not be repeated.
	Service ident.Service
	Engine  Engine
	// Policy selects endpoints; empty takes the daemon's default.
	Policy string
	// DrainLimit bounds the daemons' wait at planned stops.
	DrainLimit time.Duration
}

// DataCentre is a data centre with its processes.
type DataCentre struct {
	Name     ident.DataCentre
	Daemons  int
	Services int
	// Domains has the number of engines of each fabric domain.
	Domains []int
}

// Deployment is a deployment that is placed in every data centre.
type Deployment struct {
	Name     ident.Deployment
	Model    ident.Model
	Size     int
	Replicas int
	Priority unit.Priority
	// Share is the deployment's share of the generated answers.
	Share float64
}

// Engine sets the speed of the stand-in engines. A zero takes the stand-in's
// default and a negative duration stands for none.
type Engine struct {
	LoadTime, ColdTime, FirstToken, BlockTime, TokenTime time.Duration
	CacheBlocks                                          int
}

// slowEngine has the proportions of a large model at a tenth of its times. The
// cache holds about a third of the organisations' prefixes, so that where a
// request goes matters.
var slowEngine = Engine{
	LoadTime: time.Second, ColdTime: 2 * time.Second, FirstToken: 20 * time.Millisecond,
	BlockTime: 4 * time.Millisecond, TokenTime: 10 * time.Millisecond, CacheBlocks: 220,
}

// Shrestha is the site whose first concern is quality of service during moves
// of data centres. Of about 50 model servers 27 are modelled.
func Shrestha() Site {
	s := Site{
		Name: "shrestha", Service: "ledger", Engine: slowEngine,
		Deployments: []Deployment{{Name: "dealer", Model: "dealer", Size: 2, Replicas: 4, Share: 1}},
	}
	for _, name := range []ident.DataCentre{"kirtipur", "lalitpur", "thimi"} {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, Daemons: 2, Services: 1, Domains: []int{5, 4}})
	}
	return s
}

// Revelado is the site whose first concerns are replica downtime and stranded
// accelerators. Of about 50 model servers 30 are modelled.
func Revelado() Site {
	s := Site{
		Name: "revelado", Service: "orders", Engine: slowEngine,
		Deployments: []Deployment{
			{Name: "retoque", Model: "retoque", Size: 4, Replicas: 1, Priority: 10, Share: 0.4},
			{Name: "texto", Model: "texto", Size: 2, Replicas: 2, Priority: 1, Share: 0.6},
		},
	}
	for i, name := range []ident.DataCentre{"scl-a", "scl-b", "scl-c"} {
		daemons := 2
		if i == 0 {
			daemons = 3
		}
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, Daemons: daemons, Services: 1, Domains: []int{10}})
	}
	return s
}

// UniformSite is a site of equal data centres, for slopes.
func UniformSite(centres, daemons, engines, services int) Site {
	s := Site{
		Name: fmt.Sprintf("plain-%dx%d", centres, daemons), Service: "ledger", Engine: slowEngine,
		Deployments: []Deployment{{Name: "plain", Model: "plain", Size: 1, Replicas: engines, Share: 1}},
	}
	for i := range centres {
		s.DataCentres = append(s.DataCentres, DataCentre{
			Name: ident.DataCentre(fmt.Sprintf("centre-%d", i+1)), Daemons: daemons, Services: services, Domains: []int{engines},
		})
	}
	return s
}

// SiteByName returns the site of a user.
func SiteByName(name string) (Site, error) {
	switch name {
	case "shrestha":
		return Shrestha(), nil
	case "revelado":
		return Revelado(), nil
	}
	return Site{}, fmt.Errorf("site %q: not one of shrestha, revelado", name)
}

// ProcessCount counts the processes of the site, with the platform.
func (s *Site) ProcessCount() int {
	n := 1
	for _, c := range s.DataCentres {
		n += c.Daemons + c.Services
		for _, engines := range c.Domains {
			n += engines
		}
	}
	return n
}

// TargetReplicas counts the replicas that each data centre should have.
func (s *Site) TargetReplicas() int {
	n := 0
	for _, d := range s.Deployments {
		n += d.Replicas
	}
	return n
}

// PossibleReplicas returns how many of the wanted replicas the live engines of a data
// centre's domains suffice for, and how many engines those replicas use.
// Deployments of higher priority and larger replicas go first; the record of
// deployments is in that order.
func (s *Site) PossibleReplicas(live []int) (replicas, engines int) {
	free := append([]int(nil), live...)
	for _, d := range s.Deployments {
		for range d.Replicas {
			// The fullest domain is taken, as the smaller ones may still
			// hold a smaller replica.
			best := -1
			for i, n := range free {
				if n >= d.Size && (best < 0 || n > free[best]) {
					best = i
				}
			}
			if best >= 0 {
				free[best] -= d.Size
				replicas++
				engines += d.Size
			}
		}
	}
	return replicas, engines
}
